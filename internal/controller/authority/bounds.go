package authority

import "garnethitch/internal/micros"

const (
	// maxClockDriftPPM is the largest assumed drift of a clock, in parts per million.
	maxClockDriftPPM = 500
	// cancelMargin is a reserve that NewBounds subtracts from the time within which the tasks of a
	// cancelled job must end.
	cancelMargin = 3 * micros.Second
	// maxSendDelay is the largest assumed delay of a timer tick, or of a reply before it is sent.
	maxSendDelay = 100 * micros.Millisecond
)

// Bounds holds the time limits that keep a former owner of a shard and its successor from acting
// at the same time. NewBounds derives them from the settings alone.
type Bounds struct {
	// LeaseValidity is how long after sending its last successful lease renewal an owner may
	// answer users from memory, accept jobs and write records.
	LeaseValidity micros.Micros
	// CommandValidity is how long after sending its last successful lease renewal an owner may
	// answer heartbeats and send commands to its machines.
	CommandValidity micros.Micros
	// StaleViewGrace is how long after its view of jobs was last complete an owner may command
	// machines without knowing which jobs former owners have ended since.
	StaleViewGrace micros.Micros
	// LateStartGrace is how long a machine's lease may be renewed after a task on it was to be
	// stopped, while a command in doubt may still start that task.
	LateStartGrace micros.Micros
	// WorkerExpiry is how long after its last answered heartbeat a machine is known to hold no
	// tasks.
	WorkerExpiry micros.Micros
	// SuccessorWait is how long after the confirmation of its claim a new owner may conclude that
	// a machine that has sent no heartbeat since holds no tasks.
	SuccessorWait micros.Micros
}

// addDrift returns an upper bound of the time that passes on one clock while d passes on another.
func addDrift(d micros.Micros) micros.Micros { return d + d*2*maxClockDriftPPM/1_000_000 + 1 }

// subtractDrift returns a lower bound of the time that passes on one clock while d passes on
// another.
func subtractDrift(d micros.Micros) micros.Micros { return d - d*2*maxClockDriftPPM/1_000_000 - 1 }

// NewBounds returns the bounds for the duration of a controller's lease in the state service, the
// duration of a worker's lease, and the time within which the tasks of a cancelled job must have
// ended.
//
// An owner may write the end of a job, have the write applied and lose the response, just before
// the state service starts to refuse its writes. Another node may then read the record and report
// the job as cancelled right after the owner's last renewal. The tasks of the job must end within
// the time cancel after that renewal. A machine keeps them for at most workerLease after the last
// reply, so the owner may keep replying for replyGrace = cancel - workerLease - cancelMargin after
// the renewal.
//
// SuccessorWait allows a former owner more time, because owners of an older version counted
// replyGrace from the end of their lease.
func NewBounds(lease, workerLease, cancel micros.Micros) Bounds {
	replyGrace := max(cancel-addDrift(workerLease)-cancelMargin, 0)
	leaseValidity := max(subtractDrift(lease)-maxSendDelay, 0)
	return Bounds{
		LeaseValidity:   leaseValidity,
		CommandValidity: max(leaseValidity, replyGrace),
		// Whichever node ended a job that is unknown to this owner, the job's user was notified
		// after the view was complete. If the grace were counted from a claim, the graces of
		// successive owners would add up.
		StaleViewGrace: replyGrace,
		// A command that may start the task becomes void when the machine's agent epoch ends.
		LateStartGrace: replyGrace,
		WorkerExpiry:   addDrift(workerLease) + maxSendDelay,
		SuccessorWait:  addDrift(replyGrace+workerLease) + 3*maxSendDelay,
	}
}
