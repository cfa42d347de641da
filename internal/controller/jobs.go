package controller

import (
	"cmp"
	"container/heap"
	"net/http"
	"slices"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// job is an accepted, unfinished job.
type job struct {
	id          string
	rec         wire.JobRecord
	sub         *wire.Submission
	modRevision uint64
	shard       int
	team        int
	// constraint names the machines that it allows; see constraintOf.
	constraint string
	// priority and due (by the time of day) are the job's effective ones; see recall.
	priority int
	deadline micros.Micros
	// unblockedMS is when the last so far of the jobs that it needs was done, by the time of
	// day.
	unblockedMS int64
	// needs are its dependencies that are not done by their records.
	needs map[string]bool
	// dependencyCancelled: a job that it needs, directly or through others, is cancelled.
	dependencyCancelled bool
	knownAt             micros.Micros
	run                 *run    // set at the owner
	queueRank           float64 // its place among others of its kind; see queue
	queuePosition       int     // in its shard's queue
	startOverdue        bool    // it should have begun; see overdue
	guaranteeOverdue    bool    // within its guarantee, and has waited for half of what it should at most
	withinGuarantee     bool    // it fits into its team's guarantee; see markGuaranteed
}

// since is the time of day, in milliseconds, from which a job's waiting counts: its
// acceptance, or the end of the last job that it needs, by that one's record, so that
// every owner says the same.
func (j *job) since() int64 {
	if j.unblockedMS == 0 {
		return j.rec.AcceptedMS
	}
	return max(j.rec.AcceptedMS, j.unblockedMS)
}

// run is what the owner of a job keeps of it.
type run struct {
	done               checkpoint.TaskSet
	doneCount          int
	active             map[int]*attempt
	nextUntried        int     // tasks from here on were never tried
	retries            intHeap // tasks to try again
	acceptedUnderClaim bool    // accepted after our claim: no former owner can have started it
	checkpointApplied  bool    // its checkpoint is known
	steps              []wire.Step
	arrivedAt          micros.Micros

	checkpoint jobCheckpoint
	end        jobEnd

	failuresByMachine map[string]int // failures by machine
	failuresByTask    map[int]int    // failures by task
	stopsByTask       map[int]int    // stops for other jobs, by task
	nextRetryAt       micros.Micros  // a job that fails everywhere is tried one task at a time
	retryBackoff      micros.Micros
	// failAfter is the longest that a task of it ran before it failed.
	failAfter        micros.Micros
	firstRunAt       micros.Micros
	reservedUntil    micros.Micros // until then room is kept for its start; see reserveCapacity
	nextPreemptionAt micros.Micros // not before then are others stopped for it again
	startedMS        int64         // when a task of it was last started, by the time of day
	// quotaWaitSince is since when its tasks wait for quota; 0: they don't. quotaWaitLogged: the log says so.
	quotaWaitSince  micros.Micros
	quotaWaitLogged bool
}

type finalJob struct {
	state string
	tasks int
	// broadcast: the other controllers are being told of its cancellation.
	broadcast bool
	// recorded: its own record said so, not just another controller.
	recorded bool
	endMS    int64
}

// jobTable holds jobs that are not over, and a bounded memory of those that are.
type jobTable struct {
	open             map[string]*job
	finals           map[string]finalJob
	most             int // final states kept
	ring             []string
	ringAt           int
	pendingCreations map[string]*jobCreation
	// unusable are jobs whose records this node can't use; they are neither open nor over.
	unusable map[string]bool
	// dependents are the open jobs that wait for a job, by its id, which may not be
	// known yet: then unknown says when to read it.
	dependents map[string][]*job
	unknown    map[string]micros.Micros
	reads      int // of unknown ones under way
}

func (t *jobTable) init(most int) {
	t.most = most
	t.open = map[string]*job{}
	t.finals = map[string]finalJob{}
	t.pendingCreations = map[string]*jobCreation{}
	t.unusable = map[string]bool{}
	t.dependents = map[string][]*job{}
	t.unknown = map[string]micros.Micros{}
}

func (t *jobTable) final(id string) (finalJob, bool) {
	f, ok := t.finals[id]
	return f, ok
}

// recordFinal takes how a job has ended, and reports whether that is news: the job was
// open, or only another controller said so and now a record does.
func (t *jobTable) recordFinal(id string, f finalJob) bool {
	old, ok := t.finals[id]
	if !ok {
		t.addFinal(id, f)
		return true
	}
	if old.recorded || !f.recorded {
		return false
	}
	f.broadcast = old.broadcast
	t.finals[id] = f
	return true
}

func (t *jobTable) addFinal(id string, f finalJob) {
	if _, ok := t.finals[id]; ok {
		return
	}
	if len(t.ring) < t.most {
		t.ring = append(t.ring, id)
	} else {
		delete(t.finals, t.ring[t.ringAt])
		t.ring[t.ringAt] = id
		t.ringAt = (t.ringAt + 1) % t.most
	}
	t.finals[id] = f
}

func finalAnswer(f finalJob) peer.Answer {
	a := peer.Answer{Status: http.StatusOK, State: f.state}
	if f.state == wire.StateDone {
		a.Done = f.tasks
	}
	return a
}

// shardFor gives the shard that a job belongs to.
func (c *Controller) shardFor(id string, team int) int {
	if c.shardOfTeam != nil {
		return c.shardOfTeam[team]
	}
	return int(hashOf(id) % uint64(c.cfg.Shards))
}

// hashOf is FNV-1a with a last mix, so that ids that differ at the end part evenly.
func hashOf(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h ^ h>>32
}

// learnJob takes a job's record from a watch, a listing, a read or a hint.
func (c *Controller) learnJob(id string, rec wire.JobRecord, modRevision uint64) {
	if !wire.ValidID(id) {
		return
	}
	if rec.Final() {
		c.finishJob(id, finalJob{state: rec.State, tasks: rec.Tasks, recorded: true, endMS: rec.EndMS})
		return
	}
	if _, ok := c.jobs.final(id); ok {
		return
	}
	j := c.jobs.open[id]
	if j != nil {
		j.modRevision = max(j.modRevision, modRevision)
		return
	}
	if c.outdated(modRevision) {
		return
	}
	sub := rec.Job()
	if sub == nil || sub.Tasks < 1 || sub.Tasks > wire.MaxTasks {
		c.jobs.unusable[id] = true
		c.log(Error, "job record without a usable submission, ignored", "job", id)
		return
	}
	team, ok := c.teamOf[sub.Team]
	if !ok {
		c.jobs.unusable[id] = true
		c.log(Error, "job of a team that the settings do not know, ignored", "job", id, "team", sub.Team)
		return
	}
	j = &job{
		id: id, rec: rec, sub: sub, modRevision: modRevision, team: team,
		shard: c.shardFor(id, team), constraint: constraintOf(sub), knownAt: c.now,
	}
	c.jobs.open[id] = j
	c.linkDependencies(j)
	if s := c.ownership.shards[j.shard]; s.active {
		c.startRun(s, j)
	}
}

// outdated: a record of an unfinished job that this node does not know is no longer so. The
// watch has passed it, so that the job was known, and has ended since; its end has left
// memory. What is read, hinted or answered late must not bring such a job back.
func (c *Controller) outdated(modRevision uint64) bool {
	return modRevision <= c.ownership.jobWatch.since
}

// startRun begins an owner's care for a job.
func (c *Controller) startRun(s *shard, j *job) {
	j.run = &run{
		done:               checkpoint.NewTaskSet(j.sub.Tasks),
		checkpoint:         jobCheckpoint{recorded: checkpoint.NewTaskSet(j.sub.Tasks)},
		active:             map[int]*attempt{},
		acceptedUnderClaim: j.modRevision > s.ownerEpoch,
		failuresByMachine:  map[string]int{},
		failuresByTask:     map[int]int{},
		stopsByTask:        map[int]int{},
		arrivedAt:          c.now,
	}
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
		// The job may have become known only now, its tasks long since seen on
		// settled machines: a node that was cut off from the state service takes
		// over with an old view. Adopt them for the job before any is placed again.
		c.reconcileAfterCheckpointLoad(s)
	}
	c.schedulingDue = true
}

func (c *Controller) stopRun(j *job) {
	if j.run == nil {
		return
	}
	c.failWaiters(j)
	j.run = nil
	c.ownership.shards[j.shard].queueStale = true
}

// pending gives how many tasks wait for a machine.
func (j *job) pending() int { return j.sub.Tasks - j.run.doneCount - len(j.run.active) }

// nextTask gives the next task to start, lowest index first among those to
// try again; ok is false when none waits.
func (j *job) nextTask() (int, bool) {
	r := j.run
	for len(r.retries) > 0 {
		idx := r.retries[0]
		if !r.done.Has(idx) && r.active[idx] == nil {
			return idx, true
		}
		heap.Pop(&r.retries)
	}
	for r.nextUntried < j.sub.Tasks {
		if !r.done.Has(r.nextUntried) && r.active[r.nextUntried] == nil {
			return r.nextUntried, true
		}
		r.nextUntried++
	}
	return 0, false
}

// requeue puts a task back after its attempt is gone.
func (j *job) requeue(idx int) {
	if idx >= j.run.nextUntried {
		return // still ahead of the cursor
	}
	heap.Push(&j.run.retries, idx)
}

// running counts tasks for display.
func (j *job) running() int {
	n := 0
	for _, s := range j.run.active {
		if s.state == attemptRunning || s.state == attemptSaving {
			n++
		}
	}
	return n
}

// memoryAnswer tells of a job that this node owns.
func (c *Controller) memoryAnswer(j *job) peer.Answer {
	a := peer.Answer{Status: http.StatusOK, State: wire.StatePending, Done: j.run.doneCount, Running: j.running()}
	if a.Running > 0 {
		a.State = wire.StateRunning
	}
	return a
}

// taskDone notes that a task has completed.
func (c *Controller) taskDone(j *job, idx int, s *attempt) {
	r := j.run
	if r == nil || idx >= j.sub.Tasks || !r.done.Add(idx) {
		return
	}
	r.doneCount++
	r.checkpoint.dirty = true
	if s != nil && s.machine != nil {
		start := c.wall
		if s.runAt > 0 {
			start -= c.now - s.runAt
		}
		r.steps = append(r.steps, wire.Step{Task: idx, Machine: s.machine.id, StartMS: start.Millis(), EndMS: c.wall.Millis()})
		if len(r.steps) > checkpoint.MaxSteps {
			r.steps = r.steps[len(r.steps)-checkpoint.MaxSteps:]
		}
	}
	r.retryBackoff, r.nextRetryAt = 0, 0
	if r.doneCount == j.sub.Tasks && !r.end.requested() {
		c.endJob(j, wire.StateDone)
	}
}

// awaitCheckpoint keeps an exited task until its end is in a recorded checkpoint.
func (c *Controller) awaitCheckpoint(j *job, att *attempt) {
	if j.run == nil {
		att.outcomeHandled = true
		return
	}
	j.run.checkpoint.await(att)
}

// knows reports whether a job is in the table, open or over.
func (c *Controller) knows(id string) bool {
	_, over := c.jobs.final(id)
	return over || c.jobs.open[id] != nil
}

// maintainJobs does what is due for jobs: ends to retry, checkpoints to record.
func (c *Controller) maintainJobs() {
	if !c.leaseValid() {
		return
	}
	c.readUnknown()
	var due []*job
	blocked, blockedHere := false, false // by any owner, by this one
	for _, j := range c.jobs.open {
		r := j.run
		blocked = blocked || j.blocked()
		if r == nil || c.activeShard(j.shard) == nil {
			continue
		}
		blockedHere = blockedHere || j.blocked()
		if j.dependencyCancelled && !r.end.inFlight() {
			continue // recordDependents does what is due
		}
		if r.end.due(c.now) || r.checkpoint.due(c.now) {
			due = append(due, j)
		}
	}
	every := jobWatchInterval
	if blockedHere {
		every = blockedWatchInterval
	}
	c.ownership.jobWatch.blockTimeout = watchTimeout
	if blocked {
		c.ownership.jobWatch.blockTimeout = blockedWatchTimeout
	}
	c.ownership.jobWatch.interval = c.watchInterval(every, jobWatchFraction)
	slices.SortFunc(due, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range due {
		r := j.run
		switch {
		case r.end.due(c.now):
			if r.end.inFlight() {
				r.end.nextAttemptAt = micros.Never
				c.resolveEnd(j, r)
			} else {
				c.endJob(j, r.end.state)
			}
		case !r.end.requested():
			c.recordCheckpoint(j)
		}
	}
}
