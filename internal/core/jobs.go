package core

import (
	"cmp"
	"container/heap"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// job is an accepted, unfinished job.
type job struct {
	id    string
	rec   wire.JobRecord
	sub   *wire.Submission
	mark  uint64
	share int
	team  int
	// constraint names the machines that it allows; see constraintOf.
	constraint string
	// priority and due (by the time of day) are the job's effective ones; see recall.
	priority int
	due      micros.Micros
	// heldMS is when the last so far of the jobs that it needs was done, by the time of
	// day.
	heldMS int64
	// needs are its dependencies that are not done by their records.
	needs map[string]bool
	// dependencyCancelled: a job that it needs, directly or through others, is cancelled.
	dependencyCancelled bool
	knownAt             micros.Micros
	run                 *run    // set at the owner
	turn                float64 // its place among others of its kind; see queue
	place               int     // in its share's queue
	late                bool    // it should have begun; see overdue
	owed                bool    // within its guarantee, and has waited for half of what it should at most
	within              bool    // it fits into its team's guarantee; see markGuaranteed
}

// since is the time of day, in milliseconds, from which a job's waiting counts: its
// acceptance, or the end of the last job that it needs, by that one's record, so that
// every owner says the same.
func (j *job) since() int64 {
	if j.heldMS == 0 {
		return j.rec.AcceptedMS
	}
	return max(j.rec.AcceptedMS, j.heldMS)
}

// run is what the owner of a job keeps of it.
type run struct {
	done    bitset
	count   int
	active  map[int]*attempt
	next    int     // tasks from here on were never tried
	again   intHeap // tasks to try again
	fresh   bool    // accepted after our claim: no former owner can have started it
	ready   bool    // its Version is known
	steps   []wire.Step
	re      []int64
	arrival micros.Micros

	verMark  uint64 // of its Version's key
	verDirty bool
	verBusy  bool
	verNext  micros.Micros
	saved    bitset     // tasks whose end is in a recorded Version
	ended    []*attempt // exited tasks that wait for that

	ending bool // a transaction that ends the job was sent and not settled
	// unsure: one was sent whose outcome is not known for good. A late copy of it may
	// be carried out at any time, while others read what it wrote, so nothing is
	// told of the job from memory any more.
	unsure  bool
	want    string
	endNext micros.Micros
	waiters []func(peer.Answer)

	fails   map[string]int // failures by machine
	failed  map[int]int    // failures by task
	stopped map[int]int    // stops for other jobs, by task
	probeAt micros.Micros  // a job that fails everywhere is tried one task at a time
	pause   micros.Micros
	// failAfter is the longest that a task of it ran before it failed.
	failAfter micros.Micros
	firstRun  micros.Micros
	keptUntil micros.Micros // until then room is kept for its start; see keepRoom
	lookAt    micros.Micros // not before then are others stopped for it again
	startedMS int64         // when a task of it was last started, by the time of day
	// quotaWait is since when its tasks wait for quota; 0: they don't. quotaTold: the log says so.
	quotaWait micros.Micros
	quotaTold bool
}

type finalJob struct {
	state string
	tasks int
	// spread: the other controllers are being told of its cancellation.
	spread bool
	// recorded: its own record said so, not just another controller.
	recorded bool
	endMS    int64
}

// jobTable holds jobs that are not over, and a bounded memory of those that are.
type jobTable struct {
	open     map[string]*job
	finals   map[string]finalJob
	most     int // final states kept
	ring     []string
	ringAt   int
	creating map[string]*creation
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
	t.creating = map[string]*creation{}
	t.unusable = map[string]bool{}
	t.dependents = map[string][]*job{}
	t.unknown = map[string]micros.Micros{}
}

func (t *jobTable) final(id string) (finalJob, bool) {
	f, ok := t.finals[id]
	return f, ok
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
	a := peer.Answer{Status: 200, State: f.state}
	if f.state == wire.StateDone {
		a.Done = f.tasks
	}
	return a
}

// shareFor gives the share that a job belongs to.
func (c *Core) shareFor(id string, team int) int {
	if c.shareOf != nil {
		return c.shareOf[team]
	}
	return int(hashOf(id) % uint64(c.cfg.Shares))
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
func (c *Core) learnJob(id string, rec wire.JobRecord, mark uint64) {
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
		j.mark = max(j.mark, mark)
		return
	}
	if c.outdated(mark) {
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
		id: id, rec: rec, sub: sub, mark: mark, team: team,
		share: c.shareFor(id, team), constraint: constraintOf(sub), knownAt: c.now,
	}
	c.jobs.open[id] = j
	c.linkDependencies(j)
	if s := c.own.shares[j.share]; s.active {
		c.startRun(s, j)
	}
}

// outdated: a record of an unfinished job that this node does not know is no longer so. The
// watch has passed it, so that the job was known, and has ended since; its end has left
// memory. What is read, hinted or answered late must not bring such a job back.
func (c *Core) outdated(mark uint64) bool { return mark <= c.own.job.since }

// startRun begins an owner's care for a job.
func (c *Core) startRun(s *share, j *job) {
	j.run = &run{
		done:    newBitset(j.sub.Tasks),
		saved:   newBitset(j.sub.Tasks),
		active:  map[int]*attempt{},
		fresh:   j.mark > s.mark,
		fails:   map[string]int{},
		failed:  map[int]int{},
		stopped: map[int]int{},
		arrival: c.now,
	}
	s.queueStale = true
	if j.dependencyCancelled {
		j.run.want = wire.StateCancelled // recordDependents records it
	}
	if j.run.fresh {
		j.run.ready = true
		if !j.held() {
			c.noteArrival(s, j)
		}
	} else if s.loaded {
		c.applyVersion(s, j)
		// The job may have become known only now, its tasks long since seen on
		// settled machines: a node that was cut off from the state service takes
		// over with an old view. Adopt them for the job before any is placed again.
		c.readopt(s)
	}
	c.placementDue = true
}

func (c *Core) stopRun(j *job) {
	if j.run == nil {
		return
	}
	waiters := j.run.waiters
	j.run = nil
	c.own.shares[j.share].queueStale = true
	for _, w := range waiters {
		c.later(func() { w(peer.Answer{Status: 503}) })
	}
}

// pending gives how many tasks wait for a machine.
func (j *job) pending() int { return j.sub.Tasks - j.run.count - len(j.run.active) }

// nextTask gives the next task to start, lowest index first among those to
// try again; ok is false when none waits.
func (j *job) nextTask() (int, bool) {
	r := j.run
	for len(r.again) > 0 {
		idx := r.again[0]
		if !r.done.has(idx) && r.active[idx] == nil {
			return idx, true
		}
		heap.Pop(&r.again)
	}
	for r.next < j.sub.Tasks {
		if !r.done.has(r.next) && r.active[r.next] == nil {
			return r.next, true
		}
		r.next++
	}
	return 0, false
}

// requeue puts a task back after its attempt is gone.
func (j *job) requeue(idx int) {
	if idx >= j.run.next {
		return // still ahead of the cursor
	}
	heap.Push(&j.run.again, idx)
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
func (c *Core) memoryAnswer(j *job) peer.Answer {
	a := peer.Answer{Status: 200, State: wire.StatePending, Done: j.run.count, Running: j.running()}
	if a.Running > 0 {
		a.State = wire.StateRunning
	}
	return a
}

// taskDone notes that a task has completed.
func (c *Core) taskDone(j *job, idx int, s *attempt) {
	r := j.run
	if r == nil || idx >= j.sub.Tasks || !r.done.set(idx) {
		return
	}
	r.count++
	r.verDirty = true
	if s != nil && s.m != nil {
		start := c.wall
		if s.runAt > 0 {
			start -= c.now - s.runAt
		}
		r.steps = append(r.steps, wire.Step{Task: idx, Machine: s.m.id, StartMS: start.Millis(), EndMS: c.wall.Millis()})
		if len(r.steps) > maxSteps {
			r.steps = r.steps[len(r.steps)-maxSteps:]
		}
	}
	r.pause, r.probeAt = 0, 0
	if r.count == j.sub.Tasks && r.want == "" {
		c.endJob(j, wire.StateDone)
	}
}

// awaitSave keeps an exited task until its end is in a recorded Version.
func (c *Core) awaitSave(j *job, att *attempt) {
	if r := j.run; r == nil || r.saved.has(att.idx) {
		att.acted = true
	} else {
		r.ended = append(r.ended, att)
	}
}

// maintainJobs does what is due for jobs: ends to retry, Versions to record.
func (c *Core) maintainJobs() {
	if !c.canAnswer() {
		return
	}
	c.readUnknown()
	var due []*job
	held, heldHere := false, false // by any owner, by this one
	for _, j := range c.jobs.open {
		r := j.run
		held = held || j.held()
		if r == nil || c.acting(j.share) == nil {
			continue
		}
		heldHere = heldHere || j.held()
		if j.dependencyCancelled && !r.ending {
			continue // recordDependents does what is due
		}
		if r.want != "" && c.now >= r.endNext || r.verDirty && !r.verBusy && c.now >= r.verNext {
			due = append(due, j)
		}
	}
	every := jobWatchEvery
	if heldHere {
		every = heldWatchEvery
	}
	c.own.job.block = watchBlock
	if held {
		c.own.job.block = heldWatchBlock
	}
	c.own.job.every = c.watchEvery(every, jobWatchPart)
	slices.SortFunc(due, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range due {
		r := j.run
		switch {
		case r.want != "" && c.now >= r.endNext:
			if r.ending {
				r.endNext = micros.Never
				c.settleEnd(j, r)
			} else {
				c.endJob(j, r.want)
			}
		case r.want == "":
			c.recordVersion(j)
		}
	}
}
