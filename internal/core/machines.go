package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// machine is a machine on record.
type machine struct {
	id    string
	rec   machineRecord
	batch *batch
	// session is the last one that it showed to this node, in any role: a guess
	// for the first order to it.
	session uint64
	// returned: the cloud has confirmed its return, so it never comes back.
	returned bool
	v        *view // at the owner of its share
}

// machineRecord is what the records say of a machine.
type machineRecord struct {
	Share            int
	Retiring         bool
	Addr, Type, Zone string
	Spot             bool
}

// view is what the owner of a machine's share knows of it.
type view struct {
	settled   bool // its task list is complete, and no older command can still act
	fresh     bool // nobody but this owner can have commanded it; ends with its first report
	settledAt micros.Micros
	// doubt: it was on record when the share was claimed, and has neither been
	// settled nor gone since: a former owner's tasks may be on it.
	doubt    bool
	gone     bool // it can hold no task any more; a new session brings it back
	known    bool // session and seq are set
	session  uint64
	seq      uint64
	token    uint64 // highest that the worker showed
	heard    micros.Micros
	answered micros.Micros
	since    micros.Micros
	reach    reach

	slots          map[slotKey]*slot
	list           []*slot           // the same, in the order in which they came up
	shown          []wire.TaskReport // the list last taken in whole,
	listed         uint64            // in this round of observe
	sum            tally
	stale          bool // sum is to be counted again
	reserved       reservation
	images         map[string]bool
	idleAt         micros.Micros // when it last had something on it
	releasing      bool          // it is being released
	plannedRelease peer.Release  // it is to be released once it is empty,
	plannedUntil   micros.Micros // if that is asked for until then

	orderBusy        bool
	orderQueued      bool
	showBusy         bool
	orderNext        micros.Micros
	showNext         micros.Micros
	unanswered       int    // requests to settle it that were not answered
	unclear          uint64 // orders up to this token may still act; 0: none
	prefetchNext     micros.Micros
	takenAt          micros.Micros // the cloud takes it away then; 0: no notice
	failJobs         map[string]int
	quarantinedUntil micros.Micros
	faulty           bool
	slowSum          float64
	slowN            float64
	restUntil        micros.Micros // after a disagreement about room
}

// tally is what the attempts on a machine take, and what is to be done about
// them. It is counted again only after something has changed there.
type tally struct {
	cpus, gpus, mem float64
	// soon is what tasks being stopped will leave.
	soonCPUs, soonGPUs, soonMem float64
	tasks                       int  // not exited
	stray                       bool // an attempt whose job is not known
	used                        []usage
}

// reservation keeps room on a machine for a job for which others were stopped there.
type reservation struct {
	job             *job
	cpus, gpus, mem float64
	until           micros.Micros
}

type slotKey struct {
	job     string
	idx     int
	attempt uint64
}

type slotState int

// A slot's life. Up to slotUnclear the worker may not know of the attempt.
const (
	slotAssigned slotState = iota // not sent
	slotSent                      // in a report's answer: the next report shows it
	slotOrdered                   // in a direct order whose answer is awaited
	slotUnclear                   // in a direct order that was not answered
	slotFetching
	slotRunning
	slotSaving
	slotExited
)

// How a task is to be stopped.
const (
	haltNone = iota
	haltSave // with time to save
	haltHard
)

// slot is one attempt at a task on one machine. From its making until it is
// gone it counts against room, limits and placement.
type slot struct {
	key      slotKey
	job      *job // nil: not known (yet)
	idx      int
	m        *machine
	state    slotState
	sentSeq  uint64
	listed   uint64 // the round of observe that saw it last
	owned    bool   // it stands in job.run.active
	since    micros.Micros
	runAt    micros.Micros // when it was first seen running; 0: not yet
	halt     int
	haltAt   micros.Micros
	prefetch bool // a done task run again for its image only; see prefetch.go
	why      string
	acted    bool // exited, and its end is on record or dealt with
	// ordered is the token of the direct order that carried the start; 0: none.
	ordered uint64
}

// clearable: the worker may forget an attempt that is dealt with. One that was
// started by a direct order and did not complete must stay known until a higher
// token was seen: a repeat of that order, which can follow the end of the
// process that sent it, has no effect only as long as the attempt is known.
func (sl *slot) clearable() bool {
	return sl.state == slotExited && sl.acted &&
		(sl.ordered == 0 || sl.why == wire.WhyDone || sl.prefetch || sl.m.v.token > sl.ordered)
}

// empty: nothing on the machine matters any more.
func (v *view) empty() bool {
	for _, sl := range v.list {
		if sl.state != slotExited || !sl.acted {
			return false
		}
	}
	return true
}

func (c *Core) newView() *view {
	return &view{
		slots: map[slotKey]*slot{}, images: map[string]bool{}, failJobs: map[string]int{},
		heard: -micros.Never, answered: -micros.Never, settledAt: -micros.Never,
		since: c.now, idleAt: c.now, stale: true,
	}
}

// setView begins or ends this node's care for a machine.
func (c *Core) setView(m *machine, v *view) {
	if m.v != nil {
		m.v.stale = true // so that it is not put on the list of changes again
	}
	m.v = v
	s := c.own.shares[m.rec.Share]
	s.recount = true
}

// touch notes that something about a machine's attempts has changed.
func (c *Core) touch(m *machine) {
	if v := m.v; v != nil && !v.stale {
		v.stale = true
		s := c.own.shares[m.rec.Share]
		s.touched = append(s.touched, m)
	}
}

// addSlot puts an attempt on a machine's list.
func (c *Core) addSlot(sl *slot) {
	sl.m.v.put(sl)
	c.touch(sl.m)
}

func (v *view) put(sl *slot) {
	v.slots[sl.key] = sl
	v.list = append(v.list, sl)
}

// dropSlot takes it off again.
func (c *Core) dropSlot(sl *slot) {
	v := sl.m.v
	if v == nil || v.slots[sl.key] != sl {
		return
	}
	delete(v.slots, sl.key)
	if i := slices.Index(v.list, sl); i >= 0 {
		v.list = slices.Delete(v.list, i, i+1)
	}
	c.touch(sl.m)
}

// each gives a machine's attempts; they may be dropped meanwhile.
func (v *view) each() []*slot { return slices.Clone(v.list) }

// token is what entitles this node to command a machine of its share.
func (c *Core) token(s *share, m *machine) uint64 { return max(s.mark, m.batch.mark) }

// checkin answers a worker's report.
func (c *Core) checkin(in Checkin) {
	rep := &in.Report
	m := c.mach[rep.Machine]
	if m == nil {
		c.unknownMachine(in)
		return
	}
	if m.rec.Retiring {
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	s := c.own.shares[m.rec.Share]
	if c.acting(s.id) == nil || m.v == nil {
		c.heard[m.id] = c.now // bounded: it is on record
		c.redirect(in.Reply, &s.role)
		return
	}
	v := m.v
	if m.returned || v.known && !newer(rep, v) || rep.Token > c.token(s, m) {
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	c.noteReach(m, rep)
	c.observe(s, m, rep, true)
	if c.outOfReach(m) {
		// What it says counts; what it is told does not arrive. No answer renews its
		// lease by chance while we count on the end of that.
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	v.answered = c.now
	if v.settled {
		c.placeOn(s, m) // what it is to do goes into the answer, not into an order
	}
	commands := c.commands(m, true)
	v.reach.answered(c.token(s, m), v.token, commands)
	c.answer(in.Reply, 200, wire.ReportAnswer{Token: c.token(s, m), Commands: commands}, 0)
	if !v.settled {
		c.settleMachine(s, m) // shows our token at once
	}
}

// redirect sends a worker to the holder of a role, if that is somebody else
// and this node's knowledge is fresh.
func (c *Core) redirect(r ReplyID, ro *role) {
	if ro.mark != 0 && ro.rec.Label != c.cfg.Label && c.peers[ro.rec.Label] != nil && c.now-c.own.contact < c.cfg.Lease {
		c.answer(r, 421, wire.Redirect{ReportTo: ro.rec.Label}, 0)
		return
	}
	c.answer(r, 503, nil, 0)
}

func newer(rep *wire.Report, v *view) bool {
	if rep.Session != v.session {
		return rep.Session > v.session
	}
	return rep.Seq > v.seq
}

// observe takes a worker's report, from a checkin or as the answer to a direct
// request. It must come from the machine's owner only.
func (c *Core) observe(s *share, m *machine, rep *wire.Report, checkin bool) {
	v := m.v
	if m.returned || v.known && !newer(rep, v) {
		return // its task list is older than what we know
	}
	if v.known && rep.Session > v.session {
		// All earlier tasks there are gone, and orders to that session are void.
		c.freeAll(m, "worker began a new session", true)
		v.unclear = 0
		v.gone = false
		v.images = map[string]bool{}
		v.settled = false
	}
	if v.fresh {
		// It must be as new as it looks: a token on it would be another owner's.
		v.fresh = false
		v.settled = v.settled && (rep.Token == 0 || rep.Token >= c.token(s, m))
		v.settledAt = c.now
		c.placementDue = true
	}
	v.known, v.session, v.seq, v.heard = true, rep.Session, rep.Seq, c.now
	m.session = rep.Session
	v.token = max(v.token, rep.Token)
	c.noteNotice(m, rep)
	if rep.Addr != "" {
		m.rec.Addr = rep.Addr
	}
	if !v.settled {
		if rep.Token < c.token(s, m) {
			return
		}
		// The worker has seen a token of this ownership: no older command acts.
		v.settled, v.settledAt = true, c.now
		v.gone, v.doubt = false, false
		c.placementDue = true
		c.touch(m)
		c.log(Debug, "machine settled", "machine", m.id, "tasks", len(rep.Tasks))
	}
	if v.unclear != 0 && rep.Token > v.unclear {
		v.unclear = 0 // unanswered orders are void now; what they did is in this report
		for _, sl := range v.list {
			if sl.state == slotUnclear {
				sl.state, sl.sentSeq = slotSent, 0
			}
		}
		c.placementDue = true
	}
	if !c.unchanged(v, rep) {
		c.takeList(m, rep, checkin)
	}
	for _, sl := range v.list {
		if sl.listed == v.listed && !sl.owned && !sl.acted {
			c.adopt(m)
			break
		}
	}
	if v.busy() {
		v.idleAt = c.now
	}
}

// unchanged: a report lists just what the last one did, and nothing was sent to
// the machine or forgotten here meanwhile, so that there is nothing to take from
// it. Most reports are like that. Lists are compared by where they are held, see
// wire.ReportReader.
func (c *Core) unchanged(v *view, rep *wire.Report) bool {
	n := len(rep.Tasks)
	if n != len(v.list) || n != len(v.shown) || n > 0 && &rep.Tasks[0] != &v.shown[0] {
		return false
	}
	for _, sl := range v.list {
		if sl.listed != v.listed {
			return false
		}
	}
	return true
}

// takeList takes the tasks that a machine lists.
func (c *Core) takeList(m *machine, rep *wire.Report, checkin bool) {
	v := m.v
	c.round++
	v.shown, v.listed = rep.Tasks, c.round
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, idx, err := wire.ParseTask(t.Task)
		if err != nil {
			continue
		}
		key := slotKey{job: id, idx: idx, attempt: t.Attempt}
		sl := v.slots[key]
		if sl == nil {
			if len(v.list) > 4000 {
				continue
			}
			sl = &slot{key: key, idx: idx, m: m, since: c.now, haltAt: -micros.Never}
			c.addSlot(sl)
		}
		sl.listed = c.round
		c.update(sl, t)
	}
	for _, sl := range v.each() {
		c.looks++
		if sl.listed == c.round {
			continue
		}
		switch sl.state {
		case slotAssigned, slotOrdered, slotUnclear:
			// Not sent, or its message may still be under way.
		case slotSent:
			if checkin && rep.Seq > sl.sentSeq {
				c.freeSlot(sl, false) // the answer that carried it was dropped
			}
		case slotExited:
			c.dropSlot(sl)
		default:
			c.log(Info, "task vanished from its machine", "task", wire.TaskName(sl.key.job, sl.idx), "machine", m.id)
			c.freeSlot(sl, true)
		}
	}
}

// update takes one task's state from a report.
func (c *Core) update(sl *slot, t *wire.TaskReport) {
	was := sl.state
	defer func() {
		if sl.state != was {
			c.touch(sl.m)
		}
	}()
	switch t.State {
	case wire.TaskFetching:
		sl.state = slotFetching
	case wire.TaskRunning:
		sl.state = slotRunning
		if sl.runAt == 0 {
			sl.runAt = c.now
		}
		if sl.job != nil {
			sl.m.v.images[sl.job.sub.Image] = true
		}
	case wire.TaskSaving:
		sl.state = slotSaving
	case wire.TaskExited:
		if was == slotExited {
			return
		}
		sl.state, sl.why = slotExited, t.Why
		sl.since = c.now
		c.log(Debug, "task exited", "task", t.Task, "machine", sl.m.id, "why", t.Why, "saved", t.Saved, "ran_s", sl.ran(c.now).Seconds())
		if sl.owned {
			c.exited(sl)
		}
		return
	}
	if was != sl.state {
		sl.since = c.now
	}
}

// ran is how long an attempt has been seen running.
func (sl *slot) ran(now micros.Micros) micros.Micros {
	if sl.runAt == 0 {
		return 0
	}
	return now - sl.runAt
}

// adopt matches tasks found on a machine with their jobs, or stops what should not
// be there.
func (c *Core) adopt(m *machine) {
	for _, sl := range m.v.each() {
		if sl.owned || sl.state < slotFetching {
			continue
		}
		if sl.prefetch {
			c.notePrefetched(sl)
			continue
		}
		if _, over := c.jobs.final(sl.key.job); over {
			if sl.state == slotExited {
				sl.acted = true
			} else {
				c.stop(sl, haltHard)
			}
			continue
		}
		j := c.jobs.open[sl.key.job]
		if j == nil {
			c.lookUp(sl) // the watch may yet bring it
			continue
		}
		if j.share != m.rec.Share || sl.idx >= j.sub.Tasks {
			sl.job = j
			c.stop(sl, haltHard)
			sl.acted = sl.state == slotExited
			continue
		}
		if sl.job != j {
			sl.job = j
			c.touch(m)
		}
		r := j.run
		if r == nil || !r.ready {
			continue
		}
		if sl.state == slotExited {
			if sl.acted {
				continue
			}
			if sl.why == wire.WhyDone {
				c.taskDone(j, sl.idx, sl)
				c.awaitSave(j, sl)
			} else {
				sl.acted = true
			}
			continue
		}
		if other := r.active[sl.idx]; other != nil || r.done.has(sl.idx) {
			if other != sl && sl.halt != haltHard {
				c.log(Info, "surplus attempt stopped", "task", wire.TaskName(j.id, sl.idx), "machine", m.id)
				c.stop(sl, haltHard)
			}
			continue
		}
		sl.owned = true
		r.active[sl.idx] = sl
		if sl.state == slotRunning {
			m.v.images[j.sub.Image] = true
		}
		if r.want == wire.StateCancelled {
			c.stop(sl, haltHard)
		}
	}
}

// strayFor is how long a machine may hold a task of a job that this node does not know
// before the job's record is read: a job that is long over may have left memory.
const strayFor = 5 * micros.Second

// lookUp reads the job of a stray attempt, one at a time; the next report of the
// machine finds it. What nobody submitted is stopped.
func (c *Core) lookUp(sl *slot) {
	if c.lookingUp || sl.state == slotExited || c.now < sl.since+strayFor {
		return
	}
	c.lookingUp = true
	c.readJob(sl.key.job, func(status int) {
		c.lookingUp = false
		if v := sl.m.v; status == 404 && v != nil && v.slots[sl.key] == sl {
			c.stop(sl, haltHard)
		}
	})
}

// readopt looks at a share's machines again once Versions are known.
func (c *Core) readopt(s *share) {
	for _, m := range s.machines {
		if m.v != nil && m.v.settled {
			c.adopt(m)
		}
	}
}

// freeSlot forgets an attempt that is on no machine (any more); its task waits
// again unless it is done. lost says that work was under way.
func (c *Core) freeSlot(sl *slot, lost bool) {
	c.dropSlot(sl)
	c.requeue(sl, lost)
}

// requeue lets an attempt's task wait again, unless it is done or not ours.
func (c *Core) requeue(sl *slot, lost bool) {
	if !sl.owned {
		return
	}
	sl.owned = false
	j := sl.job
	if j == nil || j.run == nil || j.run.active[sl.idx] != sl {
		return
	}
	delete(j.run.active, sl.idx)
	if !j.run.done.has(sl.idx) {
		j.requeue(sl.idx)
		s := c.own.shares[j.share]
		s.firstWait = min(s.firstWait, j.place)
		if lost {
			c.noteRecovery(j)
			c.log(Debug, "task lost, restarting from the newest Version", "task", wire.TaskName(j.id, sl.idx), "machine", sl.m.id)
		}
	}
	c.placementDue = true
}

// freeAll forgets what was on a machine. Unless ordersVoid, starts in direct
// orders that were not answered are kept: a machine that hung may yet find them.
func (c *Core) freeAll(m *machine, reason string, ordersVoid bool) {
	n := 0
	for _, sl := range m.v.list {
		if sl.state != slotExited {
			n++
		}
	}
	if n > 0 {
		c.log(Info, "machine holds no tasks any more, what ran there restarts from the newest Version", "machine", m.id, "reason", reason, "tasks", n)
	}
	for _, sl := range m.v.each() {
		if !ordersVoid && (sl.state == slotOrdered || sl.state == slotUnclear) {
			continue
		}
		if sl.state == slotExited {
			c.dropSlot(sl) // dealt with when it was seen
			continue
		}
		c.freeSlot(sl, sl.state >= slotFetching)
	}
}

// busy: something on it still runs or may.
func (v *view) busy() bool {
	for _, sl := range v.list {
		if sl.state != slotExited {
			return true
		}
	}
	return false
}

// exited deals with the end of an attempt of ours.
func (c *Core) exited(sl *slot) {
	j, m := sl.job, sl.m
	c.placementDue = true
	switch sl.why {
	case wire.WhyDone:
		if sl.runAt > max(c.behindAt, 0) { // else its end may have been seen late, for lack of time here
			took := c.now - sl.runAt
			c.noteSpeed(m, j, took)
			c.runs.learn(j.sub, took)
		}
		clear(m.v.failJobs)
		sl.owned = false
		if j.run != nil && j.run.active[sl.idx] == sl {
			delete(j.run.active, sl.idx)
			c.taskDone(j, sl.idx, sl)
			c.awaitSave(j, sl)
		} else {
			sl.acted = true
		}
		return
	case wire.WhyError:
		c.noteFailure(sl)
	case wire.WhyNoRoom, wire.WhyInUse, wire.WhyUnknown:
		// Disagreements about state, not failures: look again a little later.
		m.v.restUntil = c.now + 2*micros.Second
		c.log(Info, "start refused", "task", wire.TaskName(j.id, sl.idx), "machine", m.id, "why", sl.why)
	}
	sl.acted = true
	c.requeue(sl, false)
}

// saveAll stops a machine's tasks so that they go on elsewhere, if all of them
// may.
func (c *Core) saveAll(m *machine) {
	slots := m.v.each()
	for _, sl := range slots {
		if sl.state != slotExited && sl.state != slotSaving && !c.movable(sl) {
			return
		}
	}
	for _, sl := range slots {
		switch {
		case sl.state != slotRunning:
		case sl.job.sub.CheckpointS > 0:
			c.stop(sl, haltSave)
		default:
			sl.job.run.stopped[sl.idx]++
			c.stop(sl, haltHard)
		}
	}
}

// maintainMachines looks at what time does to machines.
func (c *Core) maintainMachines() {
	c.orders.budget()
	for _, s := range c.own.shares {
		if s.active && !s.current && c.canAnswer() {
			c.catchUp(s)
		}
		if c.acting(s.id) == nil {
			continue
		}
		c.splitOne(s)
		var ready []*machine
		for _, m := range s.machines {
			if m.v != nil && c.maintainMachine(s, m) {
				ready = append(ready, m)
			}
		}
		for len(ready) > 0 { // those that go the same way go together
			to := ready[0].v.plannedRelease
			same := func(m *machine) bool {
				return m.v.plannedRelease.Retire == to.Retire && m.v.plannedRelease.Share == to.Share
			}
			var now, later []*machine
			for _, m := range ready {
				if same(m) {
					now = append(now, m)
				} else {
					later = append(later, m)
				}
			}
			c.letMachinesGo(now, to)
			ready = later
		}
		if s.active && !s.loaded && !s.loading && c.canAnswer() {
			c.loadVersions(s, "", map[string]wire.VersionRecord{}, map[string]uint64{})
		}
	}
}

// maintainMachine looks at one machine, and tells whether it is to be released now.
func (c *Core) maintainMachine(s *share, m *machine) bool {
	v := m.v
	c.looks++
	if m.returned {
		return false
	}
	if !v.gone && (v.known || v.doubt) {
		bound := max(v.settledAt, v.answered) + c.bounds.WorkerGone
		if !v.settled {
			bound = max(s.freeAt, v.answered+c.bounds.WorkerGone, v.settledAt+c.bounds.WorkerGone)
		}
		// Once another node could own the share, it may have answered the machine
		// and so renewed its lease (ran_twice in the grown simulation: a node that
		// had lost the state service and its peers, but not its workers).
		if c.now >= bound && c.canAnswer() {
			c.freeAll(m, "its lease has run out", false)
			v.gone, v.settled, v.doubt = true, false, false
			v.reach = reach{}
			c.touch(m)
			c.placementDue = true
		}
	}
	if !v.settled {
		c.settleMachine(s, m)
	} else if !v.fresh {
		c.probeLate(s, m)
	}
	if c.canAnswer() && (v.unclear != 0 && c.token(s, m) <= v.unclear || len(v.list) > maxKept && v.kept(c.token(s, m)) > maxKept) {
		c.raise(s, m)
	}
	if v.takenAt != 0 {
		c.drain(m)
	}
	if c.wantsOrder(m) {
		c.queueOrder(m)
	}
	return c.now < v.plannedUntil && c.releasable(m, v.plannedRelease.Retire)
}

// maxKept is how many dealt with attempts a machine may go on reporting before
// its token is raised so that they can be cleared.
const maxKept = 24

// kept counts the attempts that wait for a token above the current one.
func (v *view) kept(token uint64) int {
	n := 0
	for _, sl := range v.list {
		if sl.state == slotExited && sl.acted && !sl.clearable() && sl.ordered >= token {
			n++
		}
	}
	return n
}

// allSettled: nothing of a former owner can still be on an unknown place.
func (c *Core) allSettled(s *share) bool {
	for _, m := range s.machines {
		if m.v != nil && m.v.doubt {
			return false
		}
	}
	return true
}
