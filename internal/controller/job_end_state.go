package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// endPhase is how far an owner is with recording the end of a job.
type endPhase int

const (
	// endNone means that the job has no end to record.
	endNone endPhase = iota
	// endRequested means that an end is to be recorded.
	endRequested
	// endInFlight means that a transaction that records it was sent, or a read that resolves one.
	endInFlight
)

var endPhaseNames = [...]string{
	endNone:      "none",
	endRequested: "requested",
	endInFlight:  "in_flight",
}

// String returns the name of the phase.
func (p endPhase) String() string { return endPhaseNames[p] }

// jobEnd is what the owner of a job knows of the job's end.
type jobEnd struct {
	phase endPhase
	// state is the final state to record; "" in phase endNone.
	state wire.JobState
	// inDoubt is set if a transaction was sent whose outcome stays unknown. A late copy of it may
	// be executed at any time, while others read what it wrote, so the job's status is
	// answered from memory no more.
	inDoubt bool
	// nextAttemptAt is when to send the transaction, or to read what came of it.
	nextAttemptAt micros.Micros
	// waiters are called with the answer to those who cancel the job.
	waiters []func(peer.JobResponse)
}

// requested reports whether the job is to end.
func (e *jobEnd) requested() bool { return e.phase != endNone }

// inFlight reports whether a transaction or a read that resolves one is under way.
func (e *jobEnd) inFlight() bool { return e.phase == endInFlight }

// unresolved reports whether the record may say that the job has ended.
func (e *jobEnd) unresolved() bool { return e.inFlight() || e.inDoubt }

// due reports whether the next attempt is due.
func (e *jobEnd) due(now micros.Micros) bool { return e.requested() && now >= e.nextAttemptAt }

// request has the job end in a state, unless another is already requested.
func (e *jobEnd) request(state wire.JobState) {
	if e.requested() {
		return
	}
	e.phase = endRequested
	e.state = state
}

// markSent takes note that a transaction with the state was markSent.
func (e *jobEnd) markSent(state wire.JobState) {
	e.phase = endInFlight
	e.state = state
	e.nextAttemptAt = micros.Never
}

// retryAt puts the next transaction off.
func (e *jobEnd) retryAt(at micros.Micros) {
	e.phase = endRequested
	e.nextAttemptAt = at
}

// markResolving takes note that a condition of the transaction was not met, so that a read is to
// find out whether the job has ended.
func (e *jobEnd) markResolving() {
	e.phase = endInFlight
	e.inDoubt = true
}

// takeWaiters returns the waiters and forgets them.
func (e *jobEnd) takeWaiters() []func(peer.JobResponse) {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}
