package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// endPhase is the progress of an owner in recording the end of a job.
type endPhase int

const (
	// endNone means that the job has no end to record.
	endNone endPhase = iota
	// endRequested means that an end is to be recorded.
	endRequested
	// endInFlight means that the transaction that records the end, or a read that resolves its
	// outcome, was sent and not answered yet.
	endInFlight
)

var endPhaseNames = [...]string{
	endNone:      "none",
	endRequested: "requested",
	endInFlight:  "in_flight",
}

// String returns the name of the phase.
func (p endPhase) String() string { return endPhaseNames[p] }

// jobEnd is the owner's state of recording a job's end.
type jobEnd struct {
	phase endPhase
	// state is the final state to record; "" in phase endNone.
	state wire.JobState
	// inDoubt is set if a transaction was sent whose outcome is unknown. A late copy of it may be
	// executed at any time and other controllers may read what it wrote, so the job's status may no
	// longer be answered from memory.
	inDoubt bool
	// nextAttemptAt is when to send the transaction next, or the read that resolves its outcome.
	nextAttemptAt micros.Micros
	// waiters are the callbacks of requests to cancel the job. They are called with the answer.
	waiters []func(peer.JobResponse)
}

// requested reports whether an end was requested.
func (e *jobEnd) requested() bool { return e.phase != endNone }

// inFlight reports whether a transaction, or a read that resolves its outcome, is in flight.
func (e *jobEnd) inFlight() bool { return e.phase == endInFlight }

// unresolved reports whether the stored record may say that the job has ended without this node
// knowing it.
func (e *jobEnd) unresolved() bool { return e.inFlight() || e.inDoubt }

// due reports whether an end is requested and its next transaction or read is due.
func (e *jobEnd) due(now micros.Micros) bool { return e.requested() && now >= e.nextAttemptAt }

// request requests that the job end in a state. It does nothing if an end was requested already.
func (e *jobEnd) request(state wire.JobState) {
	if e.requested() {
		return
	}
	e.phase = endRequested
	e.state = state
}

// markSent records that the transaction that writes the state was sent.
func (e *jobEnd) markSent(state wire.JobState) {
	e.phase = endInFlight
	e.state = state
	e.nextAttemptAt = micros.Never
}

// retryAt schedules the next transaction for a time.
func (e *jobEnd) retryAt(at micros.Micros) {
	e.phase = endRequested
	e.nextAttemptAt = at
}

// markResolving records that a condition of the transaction was not met, so that a read must find
// out whether the job has ended.
func (e *jobEnd) markResolving() {
	e.phase = endInFlight
	e.inDoubt = true
}

// takeWaiters removes and returns the waiters.
func (e *jobEnd) takeWaiters() []func(peer.JobResponse) {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}
