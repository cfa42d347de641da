package controller

import (
	"container/heap"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// job is an accepted job that has not ended. Every controller keeps all of them, including those
// that other controllers own.
type job struct {
	id          string
	rec         wire.JobRecord
	sub         *wire.Submission
	modRevision uint64
	shard       int
	team        int
	// constraint identifies the set of machines that the job allows; see constraintOf.
	constraint string
	// priority and deadline are the effective ones, which include those of dependents; see
	// updatePriority. The deadline is a time of day.
	priority wire.Priority
	deadline micros.Micros
	// latestStart is the time of day at which the job must start to meet its effective deadline;
	// micros.Never without a deadline.
	latestStart micros.Micros
	// priorityUpdateQueued is set while the job is in jobTable.priorityUpdates.
	priorityUpdateQueued bool
	// unblockedMS is when the last of the finished dependencies was done, as a time of day in
	// milliseconds; 0 if no dependency is done.
	unblockedMS int64
	// unmetDependencies holds the ids of the dependencies whose records do not say that they are
	// done.
	unmetDependencies map[string]bool
	// uncertainDependencies is the number of unmet dependencies whose state, or the state of a job
	// for which they wait, this node does not know; see settleDependency.
	uncertainDependencies int
	// dependencyCancelled is set if a direct or transitive dependency is cancelled.
	dependencyCancelled bool
	knownAt             micros.Micros
	// run is the owner's state of the job; nil on controllers that do not own it.
	run *run

	queueRank     float64 // rank among jobs of its kind; see queue
	queuePosition int     // index in its shard's queue
	startOverdue  bool    // the job should have started by now; see overdue
	// guaranteeOverdue is set if the job is within its team's guarantee and has waited for half of
	// the longest acceptable wait.
	guaranteeOverdue bool
	withinGuarantee  bool // the job fits into its team's guarantee; see markGuaranteed
}

// waitingSinceMS returns the time of day, in milliseconds, from which the job's waiting time
// counts: its acceptance or the end of its last dependency, whichever is later. Both times come
// from job records, so every owner computes the same value.
func (j *job) waitingSinceMS() int64 {
	if j.unblockedMS == 0 {
		return j.rec.AcceptedMS
	}
	return max(j.rec.AcceptedMS, j.unblockedMS)
}

// blocked reports whether a dependency of the job is not done.
func (j *job) blocked() bool { return len(j.unmetDependencies) > 0 }

// run is the state that only the owner of a job keeps: progress, attempts, retries, checkpoint and
// end.
type run struct {
	doneTasks   checkpoint.TaskSet
	doneCount   int
	active      map[int]*attempt // by task
	nextUntried int              // tasks with this index or a higher one were never tried
	retries     intHeap          // indexes of tasks to retry
	// acceptedUnderClaim is set if the job was accepted after this node claimed the shard, so that
	// no former owner can have started it.
	acceptedUnderClaim bool
	// checkpointApplied is set once the progress in the job's checkpoint is known, or it is known
	// that there is no checkpoint.
	checkpointApplied bool
	finishedTasks     []wire.FinishedTask
	arrivedAt         micros.Micros
	// waitingSince is when the job began to wait for machines for its tasks; see restartWait.
	waitingSince micros.Micros

	checkpoint jobCheckpoint
	end        jobEnd

	failuresByMachine map[string]machineFailures
	failuresByTask    map[int]int
	stopsByTask       map[int]int // preemptions
	// nextRetryAt is set while the job fails on every machine and is tried one task at a time.
	nextRetryAt  micros.Micros
	retryBackoff micros.Micros
	// longestFailedRun is the longest time that a task ran before it failed.
	longestFailedRun micros.Micros
	firstRunAt       micros.Micros
	// reservedUntil is when the reservation of capacity for the job ends; see reserveCapacity.
	reservedUntil    micros.Micros
	nextPreemptionAt micros.Micros
	startedMS        int64 // latest start of a task, as a time of day in milliseconds
	// quotaWaitSince is when the job's tasks began to wait for quota; 0 if none waits.
	quotaWaitSince  micros.Micros
	quotaWaitLogged bool
}

// newRun returns the initial state of a job that this node owns from now on. ownerEpoch is the
// epoch of this node's claim of the shard.
func newRun(j *job, ownerEpoch uint64, now micros.Micros) *run {
	return &run{
		doneTasks:          checkpoint.NewTaskSet(j.sub.Tasks),
		checkpoint:         jobCheckpoint{recorded: checkpoint.NewTaskSet(j.sub.Tasks)},
		active:             map[int]*attempt{},
		acceptedUnderClaim: j.modRevision > ownerEpoch,
		failuresByMachine:  map[string]machineFailures{},
		failuresByTask:     map[int]int{},
		stopsByTask:        map[int]int{},
		arrivedAt:          now,
		waitingSince:       now,
	}
}

// addFinishedTask adds a completed task to finishedTasks and drops the oldest entries beyond
// checkpoint.MaxFinishedTasks.
func (r *run) addFinishedTask(task wire.FinishedTask) {
	r.finishedTasks = append(r.finishedTasks, task)
	if excess := len(r.finishedTasks) - checkpoint.MaxFinishedTasks; excess > 0 {
		r.finishedTasks = r.finishedTasks[excess:]
	}
}

// pending returns the number of tasks that wait for a machine.
func (j *job) pending() int { return j.sub.Tasks - j.run.doneCount - len(j.run.active) }

// isWaiting reports whether a task is neither done nor has an active attempt.
func (r *run) isWaiting(task int) bool { return !r.doneTasks.Has(task) && r.active[task] == nil }

// nextTask returns the next task to start: the task to retry with the lowest index, or else the
// first untried one. ok is false if no task waits.
func (j *job) nextTask() (task int, ok bool) {
	r := j.run
	for len(r.retries) > 0 {
		if task := r.retries[0]; r.isWaiting(task) {
			return task, true
		}
		heap.Pop(&r.retries)
	}
	for r.nextUntried < j.sub.Tasks {
		if r.isWaiting(r.nextUntried) {
			return r.nextUntried, true
		}
		r.nextUntried++
	}
	return 0, false
}

// requeue returns a task to the waiting tasks after its attempt has gone.
func (j *job) requeue(task int) {
	if task >= j.run.nextUntried {
		return // still among the untried tasks
	}
	heap.Push(&j.run.retries, task)
}

// running returns the number of tasks that users are shown as running.
func (j *job) running() int {
	n := 0
	for _, att := range j.run.active {
		if att.state == attemptRunning || att.state == attemptSaving {
			n++
		}
	}
	return n
}
