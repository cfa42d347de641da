package authority

import "garnethitch/internal/micros"

const (
	// maxClockDriftPPM is how fast a steady clock may run, in millionths.
	maxClockDriftPPM = 500
	// cancelMargin is kept free of the time within which a cancelled job's tasks must end.
	cancelMargin = 3 * micros.Second
	// maxSendDelay is how late a step of a timer, or a reply on its way out, may be.
	maxSendDelay = 100 * micros.Millisecond
)

// Bounds are the times that keep an old owner and its successor apart. They follow from the
// settings alone; see NewBounds.
type Bounds struct {
	// LeaseValidity is for how long after the last successful renewal was sent an owner may
	// answer users from memory, accept jobs and write records.
	LeaseValidity micros.Micros
	// CommandValidity is for how long after that it may answer heartbeats and command its
	// machines.
	CommandValidity micros.Micros
	// StaleViewGrace is for how long after its view of jobs was last complete an owner may
	// command machines without knowing which jobs its predecessors have ended since.
	StaleViewGrace micros.Micros
	// LateStartGrace is for how long the lease of a machine may be renewed after a task was
	// to be stopped there whose start may yet be carried out.
	LateStartGrace micros.Micros
	// WorkerExpiry is how long after the last answered heartbeat a machine holds no task
	// any more.
	WorkerExpiry micros.Micros
	// SuccessorWait is how long after its claim was confirmed a new owner may take a machine
	// without a heartbeat since to hold no task any more.
	SuccessorWait micros.Micros
}

// addDrift returns d and what the drift of the two clocks involved can take away from it.
func addDrift(d micros.Micros) micros.Micros { return d + d*2*maxClockDriftPPM/1_000_000 + 1 }

// subtractDrift returns d without what the drift of the two clocks involved can add to it.
func subtractDrift(d micros.Micros) micros.Micros { return d - d*2*maxClockDriftPPM/1_000_000 - 1 }

// NewBounds returns the bounds for a controllers' lease in the state service, the workers'
// lease, and the time within which the tasks of a cancelled job must have ended.
//
// An owner's own record of a job's end may be applied with the response lost, just as the
// state service begins to refuse it: another node reads the record and answers "cancelled"
// from then on, which may be right after the last renewal. The machines must be rid of the
// job within cancel after that. They keep it for at most workerLease after the last reply, so
// the owner may go on replying for extra = cancel - workerLease - margin from that renewal.
//
// A successor allows a former owner more: one of an older version counted extra from the end
// of its lease.
func NewBounds(lease, workerLease, cancel micros.Micros) Bounds {
	replyGrace := max(cancel-addDrift(workerLease)-cancelMargin, 0)
	leaseValidity := max(subtractDrift(lease)-maxSendDelay, 0)
	return Bounds{
		LeaseValidity:   leaseValidity,
		CommandValidity: max(leaseValidity, replyGrace),
		// Whoever ended a job unknown to this owner, its user was notified after the view was
		// complete. Counted from a claim, the times of successive owners would add up.
		StaleViewGrace: replyGrace,
		// The command that may start the task is void once the machine's agent epoch ends.
		LateStartGrace: replyGrace,
		WorkerExpiry:   addDrift(workerLease) + maxSendDelay,
		SuccessorWait:  addDrift(replyGrace+workerLease) + 3*maxSendDelay,
	}
}
