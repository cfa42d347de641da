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

// learnJob takes a job's record from a watch, a listing, a read or a hint.
func (c *Controller) learnJob(id string, rec wire.JobRecord, modRevision uint64) {
	if !wire.ValidID(id) {
		return
	}
	if rec.Final() {
		c.finishJob(id, finalJob{state: rec.State, tasks: rec.Tasks, recorded: true, endMS: rec.EndMS})
		return
	}
	if _, over := c.jobs.final(id); over {
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

// outdated reports whether a record of an unfinished job that this node does not know is no
// longer current. The watch has passed it, so that the job was known and has ended since, and
// its end has left memory. A late read, hint or answer must not bring such a job back.
func (o *ownershipState) outdated(modRevision uint64) bool {
	return modRevision <= o.jobWatch.Since
}

// newJob returns the job of a record, or nil if this node can't use the record.
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

// addJob adds an open job, and starts its run if this node owns it.
func (c *Controller) addJob(j *job) {
	c.jobs.open[j.id] = j
	c.linkDependencies(j)
	if s := c.ownership.shards[j.shard]; s.owned() {
		c.startRun(s, j)
	}
}

// startRun begins an owner's work on a job.
func (c *Controller) startRun(s *shard, j *job) {
	j.run = newRun(j, s.ownerEpoch, c.now)
	s.queueStale = true
	if j.dependencyCancelled {
		j.run.end.request(wire.StateCancelled) // recordDependents records it
	}
	if j.run.acceptedUnderClaim {
		j.run.checkpointApplied = true
		if !j.blocked() {
			c.noteArrival(s, j)
		}
	} else if s.checkpointsLoaded {
		c.applyCheckpoint(s, j)
		// A node that was cut off from the state service claims a shard with an old view: the
		// job may have become known after its tasks were seen on reconciled machines. They
		// are adopted before any task is scheduled again.
		c.reconcileAfterCheckpointLoad(s)
	}
	c.schedulingDue = true
}

// stopRun ends an owner's work on a job that another node owns from now on.
func (c *Controller) stopRun(j *job) {
	if j.run == nil {
		return
	}
	c.failWaiters(j)
	j.run = nil
	c.ownership.shards[j.shard].queueStale = true
}

// memoryAnswer is the answer to users about a job that this node owns.
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

// taskDone takes note that a task has completed, by an attempt if that is known.
func (c *Controller) taskDone(j *job, task int, att *attempt) {
	r := j.run
	if r == nil || task >= j.sub.Tasks || !r.done.Add(task) {
		return
	}
	r.doneCount++
	r.checkpoint.dirty = true
	if att != nil && att.machine != nil {
		r.addStep(c.stepOf(task, att))
	}
	r.retryBackoff = 0
	r.nextRetryAt = 0
	if r.doneCount == j.sub.Tasks && !r.end.requested() {
		c.endJob(j, wire.StateDone)
	}
}

// stepOf describes an attempt that has completed a task now.
func (c *Controller) stepOf(task int, att *attempt) wire.FinishedTask {
	start := c.wall
	if att.runAt > 0 {
		start -= c.now - att.runAt
	}
	return wire.FinishedTask{Task: task, Machine: att.machine.id, StartMS: start.Millis(), EndMS: c.wall.Millis()}
}

// awaitCheckpoint keeps an exited attempt until its end is in a recorded checkpoint.
func (c *Controller) awaitCheckpoint(j *job, att *attempt) {
	if j.run == nil {
		att.outcomeHandled = true
		return
	}
	j.run.checkpoint.await(att)
}

// openJobsSurvey is what one pass over the open jobs found.
type openJobsSurvey struct {
	// due are jobs with an end to retry or a checkpoint to record, by id.
	due []*job
	// blocked is set if some job waits for its dependencies, ownBlocked if one of this node does.
	blocked, ownBlocked bool
}

// maintainJobs does what is due for jobs: ends to retry, checkpoints to record.
func (c *Controller) maintainJobs() {
	if !c.ownership.leaseValid() {
		return
	}
	c.readUnknown()
	survey := c.surveyOpenJobs()
	c.ownership.adjustJobWatch(survey)
	for _, j := range survey.due {
		c.maintainJob(j)
	}
}

// surveyOpenJobs goes over the open jobs once.
func (c *Controller) surveyOpenJobs() openJobsSurvey {
	var out openJobsSurvey
	for _, j := range c.jobs.open {
		blocked := j.blocked()
		out.blocked = out.blocked || blocked
		if j.run == nil || c.ownership.activeShard(j.shard) == nil {
			continue
		}
		out.ownBlocked = out.ownBlocked || blocked
		if c.maintenanceDue(j) {
			out.due = append(out.due, j)
		}
	}
	slices.SortFunc(out.due, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

// maintenanceDue reports whether something is due for a job of this node.
func (c *Controller) maintenanceDue(j *job) bool {
	if j.dependencyCancelled && !j.run.end.inFlight() {
		return false // recordDependents does what is due
	}
	return j.run.end.due(c.now) || j.run.checkpoint.due(c.now)
}

// adjustJobWatch sets the pace of the watch of jobs: blocked jobs depend on it.
func (o *ownershipState) adjustJobWatch(survey openJobsSurvey) {
	watch := &o.jobWatch
	watch.BlockTimeout = statestore.WatchTimeout
	if survey.blocked {
		watch.BlockTimeout = blockedWatchTimeout
	}
	interval := jobWatchInterval
	if survey.ownBlocked {
		interval = blockedWatchInterval
	}
	watch.Interval = o.watchInterval(interval, jobWatchFraction)
}

// maintainJob does what is due for a job of this node.
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
