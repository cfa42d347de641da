package controller

import (
	"cmp"
	"net/http"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// applyJobRecord updates the job table from a job's record, which comes from a watch, a listing, a
// read or another controller's hint.
func (c *Controller) applyJobRecord(id string, rec wire.JobRecord, modRevision uint64) {
	if !wire.ValidID(id) {
		return
	}
	if rec.Final() {
		c.finishJob(id, finalJob{state: rec.State, tasks: rec.Tasks, recorded: true, endMS: rec.EndMS})
		return
	}
	if _, ended := c.jobs.final(id); ended {
		return
	}
	if j := c.jobs.open[id]; j != nil {
		j.modRevision = max(j.modRevision, modRevision)
		return
	}
	if c.ownership.outdated(modRevision) {
		return
	}
	j := c.newJob(id, rec, modRevision)
	if j == nil {
		c.jobs.unusable[id] = true
		return
	}
	c.addJob(j)
}

// outdated reports whether the record of an unfinished job that is not in the job table is no
// longer current. The watch has already delivered its revision, so the job was in the table, has
// ended, and its end was evicted from memory. A late read, hint or answer must not reopen it.
func (o *ownershipState) outdated(modRevision uint64) bool {
	return modRevision <= o.jobWatch.Since
}

// newJob returns the job that a record describes, or nil if this node can't use the record.
func (c *Controller) newJob(id string, rec wire.JobRecord, modRevision uint64) *job {
	sub := rec.JobSubmission()
	if sub == nil || sub.Tasks < 1 || sub.Tasks > wire.MaxTasks {
		c.log(Error, "job record without a usable submission, ignored", "job", id)
		return nil
	}
	team, ok := c.jobSharding.teamOf[sub.Team]
	if !ok {
		c.log(Error, "job of a team that the settings do not know, ignored", "job", id, "team", sub.Team)
		return nil
	}
	return &job{
		id:          id,
		rec:         rec,
		sub:         sub,
		modRevision: modRevision,
		team:        team,
		shard:       c.jobSharding.shardOf(id, team),
		constraint:  constraintOf(sub),
		knownAt:     c.now,
	}
}

// addJob adds an open job to the job table and starts its run if this node owns its shard.
func (c *Controller) addJob(j *job) {
	c.jobs.open[j.id] = j
	c.linkDependencies(j)
	if s := c.ownership.shards[j.shard]; s.owned() {
		c.startRun(s, j)
	}
}

// startRun begins this node's work on a job of a shard that it owns.
func (c *Controller) startRun(s *shard, j *job) {
	j.run = newRun(j, s.ownerEpoch, c.now)
	s.queueStale = true
	c.requestDependencyReads(j)
	if j.dependencyCancelled {
		j.run.end.request(wire.StateCancelled) // recordDependents writes the record
	}
	if j.run.acceptedUnderClaim {
		j.run.checkpointApplied = true
		if !j.blocked() {
			c.recordArrival(s, j)
		}
	} else if s.checkpointsLoaded {
		c.applyCheckpoint(s, j)
		// A node that was cut off from the state service may claim a shard with a stale view. It
		// can then learn of a job after it has seen the job's tasks on reconciled machines. These
		// tasks must be adopted before any task is scheduled a second time.
		c.reconcileAfterCheckpointLoad(s)
	}
	c.schedulingDue = true
}

// stopRun ends this node's work on a job that another node owns from now on.
func (c *Controller) stopRun(j *job) {
	if j.run == nil {
		return
	}
	c.failWaiters(j)
	j.run = nil
	c.ownership.shards[j.shard].queueStale = true
}

// memoryAnswer returns the answer to a status request for a job that this node owns, from memory.
func (c *Controller) memoryAnswer(j *job) peer.JobResponse {
	a := peer.JobResponse{
		Status:  http.StatusOK,
		State:   wire.StatePending,
		Done:    j.run.doneCount,
		Running: j.running(),
	}
	if a.Running > 0 {
		a.State = wire.StateRunning
	}
	return a
}

// taskDone records that a task has completed. att is the attempt that completed it, or nil if that
// is not known.
func (c *Controller) taskDone(j *job, task int, att *attempt) {
	r := j.run
	if r == nil || task >= j.sub.Tasks || !r.doneTasks.Add(task) {
		return
	}
	r.doneCount++
	r.checkpoint.dirty = true
	if att != nil && att.machine != nil {
		r.addFinishedTask(c.finishedTaskOf(task, att))
	}
	r.retryBackoff = 0
	r.nextRetryAt = 0
	if r.doneCount == j.sub.Tasks && !r.end.requested() {
		c.endJob(j, wire.StateDone)
	}
}

// finishedTaskOf returns the checkpoint entry for a task that the attempt has just completed.
func (c *Controller) finishedTaskOf(task int, att *attempt) wire.FinishedTask {
	start := c.wall
	if att.runAt > 0 {
		start -= c.now - att.runAt
	}
	return wire.FinishedTask{Task: task, Machine: att.machine.id, StartMS: start.Millis(), EndMS: c.wall.Millis()}
}

// awaitCheckpoint keeps an exited attempt until a recorded checkpoint contains its result.
func (c *Controller) awaitCheckpoint(j *job, att *attempt) {
	if j.run == nil {
		att.outcomeHandled = true
		return
	}
	j.run.checkpoint.awaitRecorded(att)
}

// openJobsScan is the result of one pass over the open jobs.
type openJobsScan struct {
	// due holds the jobs with an end to retry or a checkpoint to record, ordered by id.
	due []*job
	// blocked is set if any job waits for its dependencies, ownedBlocked if one that this node owns
	// does.
	blocked, ownedBlocked bool
}

// maintainJobs does the due work on jobs: it reads unknown dependencies, adjusts the watch of jobs,
// retries ends and records checkpoints.
func (c *Controller) maintainJobs() {
	if !c.ownership.leaseValid() {
		return
	}
	c.readUnknownDependencies()
	scan := c.scanOpenJobs()
	c.ownership.adjustJobWatch(scan)
	for _, j := range scan.due {
		c.maintainJob(j)
	}
}

// scanOpenJobs makes one pass over the open jobs.
func (c *Controller) scanOpenJobs() openJobsScan {
	var scan openJobsScan
	for _, j := range c.jobs.open {
		blocked := j.blocked()
		scan.blocked = scan.blocked || blocked
		if j.run == nil || c.ownership.activeShard(j.shard) == nil {
			continue
		}
		scan.ownedBlocked = scan.ownedBlocked || blocked
		if c.maintenanceDue(j) {
			scan.due = append(scan.due, j)
		}
	}
	slices.SortFunc(scan.due, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return scan
}

// maintenanceDue reports whether maintainJob has work on a job that this node owns.
func (c *Controller) maintenanceDue(j *job) bool {
	if j.dependencyCancelled && !j.run.end.inFlight() {
		return false // recordDependents records the end
	}
	return j.run.end.due(c.now) || j.run.checkpoint.due(c.now)
}

// adjustJobWatch sets the timeout and the interval of the watch of jobs, which brings the ends that
// unblock jobs. The timeout is shorter while any job is blocked, and the interval while a job that
// this node owns is.
func (o *ownershipState) adjustJobWatch(scan openJobsScan) {
	watch := &o.jobWatch
	watch.PollTimeout = statestore.WatchTimeout
	if scan.blocked {
		watch.PollTimeout = blockedWatchTimeout
	}
	interval := jobWatchInterval
	if scan.ownedBlocked {
		interval = blockedWatchInterval
	}
	watch.Interval = o.watchInterval(interval, jobWatchFraction)
}

// maintainJob does the due work on a job that this node owns: it resolves or retries the job's end,
// or records a checkpoint.
func (c *Controller) maintainJob(j *job) {
	r := j.run
	switch {
	case r.end.due(c.now) && r.end.inFlight():
		r.end.nextAttemptAt = micros.Never
		c.resolveEnd(j, r)
	case r.end.due(c.now):
		c.endJob(j, r.end.state)
	case !r.end.requested():
		c.recordCheckpoint(j)
	}
}
