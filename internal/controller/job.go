package controller

import (
	"container/heap"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// job is an accepted, unfinished job, whoever owns it.
type job struct {
	id          string
	rec         wire.JobRecord
	sub         *wire.Submission
	modRevision uint64
	shard       int
	team        int
	// constraint names the machines that the job allows; see constraintOf.
	constraint string
	// priority and deadline (by the time of day) are the effective ones; see
	// updatePriority.
	priority int
	deadline micros.Micros
	// unblockedMS is when the latest of its finished dependencies was done, by the time
	// of day; 0: none is.
	unblockedMS int64
	// unmetDependencies are its dependencies that are not done by their records.
	unmetDependencies map[string]bool
	// dependencyCancelled is set if a job that it needs, directly or through others, is cancelled.
	dependencyCancelled bool
	knownAt             micros.Micros
	// run is set at the owner only.
	run *run

	queueRank     float64 // among jobs of its kind; see queue
	queuePosition int     // in its shard's queue
	startOverdue  bool    // it should have started; see overdue
	// guaranteeOverdue is set if it is within its guarantee, and has waited for half of what it
	// should at most.
	guaranteeOverdue bool
	withinGuarantee  bool // it fits into its team's guarantee; see markGuaranteed
}

// waitingSinceMS returns the time of day, in milliseconds, from which a job's waiting counts: its
// acceptance, or the end of the last job that it needs, by that job's record, so that every
// owner says the same.
func (j *job) waitingSinceMS() int64 {
	if j.unblockedMS == 0 {
		return j.rec.AcceptedMS
	}
	return max(j.rec.AcceptedMS, j.unblockedMS)
}

// blocked reports whether a job that this one needs is not done.
func (j *job) blocked() bool { return len(j.unmetDependencies) > 0 }

// run is what the owner of a job keeps of it.
type run struct {
	doneTasks   checkpoint.TaskSet
	doneCount   int
	active      map[int]*attempt // by task
	nextUntried int              // tasks from here on were never tried
	retries     intHeap          // tasks to try again
	// acceptedUnderClaim is set if the job was accepted after this node's claim, so that no former
	// owner can have started it.
	acceptedUnderClaim bool
	// checkpointApplied is set if the progress in its checkpoint, if there is one, is known.
	checkpointApplied bool
	finishedTasks     []wire.FinishedTask
	arrivedAt         micros.Micros

	checkpoint jobCheckpoint
	end        jobEnd

	failuresByMachine map[string]int
	failuresByTask    map[int]int
	stopsByTask       map[int]int // preemptions
	// nextRetryAt is set while the job fails everywhere and is tried one task at a time.
	nextRetryAt  micros.Micros
	retryBackoff micros.Micros
	// longestFailedRun is the longest that a task ran before it failed.
	longestFailedRun micros.Micros
	firstRunAt       micros.Micros
	// reservedUntil is until when capacity is reserved for its start; see reserveCapacity.
	reservedUntil    micros.Micros
	nextPreemptionAt micros.Micros
	startedMS        int64 // the latest start of a task, by the time of day
	// quotaWaitSince is since when tasks wait for quota; 0: none does.
	quotaWaitSince  micros.Micros
	quotaWaitLogged bool
}

// newRun returns the state of a job that this node owns from now on, under a claim.
func newRun(j *job, ownerEpoch uint64, now micros.Micros) *run {
	return &run{
		doneTasks:          checkpoint.NewTaskSet(j.sub.Tasks),
		checkpoint:         jobCheckpoint{recorded: checkpoint.NewTaskSet(j.sub.Tasks)},
		active:             map[int]*attempt{},
		acceptedUnderClaim: j.modRevision > ownerEpoch,
		failuresByMachine:  map[string]int{},
		failuresByTask:     map[int]int{},
		stopsByTask:        map[int]int{},
		arrivedAt:          now,
	}
}

// addFinishedTask adds a completed task to the latest steps.
func (r *run) addFinishedTask(step wire.FinishedTask) {
	r.finishedTasks = append(r.finishedTasks, step)
	if excess := len(r.finishedTasks) - checkpoint.MaxSteps; excess > 0 {
		r.finishedTasks = r.finishedTasks[excess:]
	}
}

// pending returns how many tasks wait for a machine.
func (j *job) pending() int { return j.sub.Tasks - j.run.doneCount - len(j.run.active) }

// isWaiting reports whether a task is neither done nor on a machine.
func (r *run) isWaiting(task int) bool { return !r.doneTasks.Has(task) && r.active[task] == nil }

// nextTask returns the next task to start, lowest index first among those to try again; ok
// is false when none waits.
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

// requeue lets a task wait again after its attempt is gone.
func (j *job) requeue(task int) {
	if task >= j.run.nextUntried {
		return // nextTask has not come to it
	}
	heap.Push(&j.run.retries, task)
}

// running counts the tasks that users are shown as running.
func (j *job) running() int {
	n := 0
	for _, att := range j.run.active {
		if att.state == attemptRunning || att.state == attemptSaving {
			n++
		}
	}
	return n
}
