package controller

import "garnethitch/internal/micros"

// driftPPM is how far two steady clocks may part, in millionths: each runs up
// to 0.05% fast.
const driftPPM = 500

// Bounds are the times that keep an old owner and its successor apart. They
// are worked out here and nowhere else, from settings alone.
type Bounds struct {
	// LeaseValidity: after the last successful renewal was sent, an owner may answer
	// users from memory, take on jobs and record for this long.
	LeaseValidity micros.Micros
	// CommandValidity: for this long it may answer heartbeats and command its machines.
	CommandValidity micros.Micros
	// StaleViewGrace: for this long after its view of jobs was last complete an owner may do so
	// without knowing which jobs its predecessors have ended since.
	StaleViewGrace micros.Micros
	// LateStartGrace: for this long after a task was to be stopped whose start may yet be carried
	// out, the lease of its machine may be renewed.
	LateStartGrace micros.Micros
	// WorkerExpiry: a machine whose last answered report was answered this long
	// ago holds no task any more.
	WorkerExpiry micros.Micros
	// SuccessorWait: a machine that a new owner has not heard of since its
	// claim was confirmed this long ago holds no task any more.
	SuccessorWait micros.Micros
}

// addDrift adds what drift can take away over a span, for both clocks involved.
func addDrift(d micros.Micros) micros.Micros { return d + d*2*driftPPM/1_000_000 + 1 }

// subtractDrift takes away what drift can add.
func subtractDrift(d micros.Micros) micros.Micros { return d - d*2*driftPPM/1_000_000 - 1 }

// NewBounds works the bounds out. lease is the controllers' lease in the state
// service, workerLease and cancel are the workers' settings.
//
// An owner's own ending of a job may be carried out with its answer lost, just as
// the state service begins to refuse it: another node reads the record and tells the
// user "cancelled" from then on, which may be right after the last renewal. The
// machines must be rid of the job within cancel after that: they keep it for at most
// workerLease after the last answer, so the owner may go on answering for
// extra = cancel - workerLease - margin from that renewal, and no longer.
//
// A successor assumes more of a former owner: one of an older version counted extra
// from the end of its lease.
func NewBounds(lease, workerLease, cancel micros.Micros) Bounds {
	const margin = 3 * micros.Second
	const slip = 100 * micros.Millisecond // a step of a timer, an answer on its way out
	extra := cancel - addDrift(workerLease) - margin
	if extra < 0 {
		extra = 0
	}
	answer := subtractDrift(lease) - slip
	if answer < 0 {
		answer = 0
	}
	return Bounds{
		LeaseValidity:   answer,
		CommandValidity: max(answer, extra),
		// Whoever it was that ended a job unknown to this owner, its user was told after
		// the view was complete. Counted from a claim, the times of owners that follow
		// one another would add up.
		StaleViewGrace: extra,
		// With the machine's session the order ends that may start the task.
		LateStartGrace: extra,
		WorkerExpiry:   addDrift(workerLease) + slip,
		SuccessorWait:  addDrift(extra+workerLease) + 3*slip,
	}
}
