package core

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// machine is a machine on record.
type machine struct {
	id   string
	rec  wire.MachineRecord
	mark uint64
	v    *view // at the owner of its share
}

// view is what the owner of a machine's share knows of it.
type view struct {
	settled   bool // its task list is complete, and no older command can still act
	settledAt micros.Micros
	gone      bool // it can hold no task any more; a new session brings it back
	known     bool // session and seq are set
	session   uint64
	seq       uint64
	token     uint64 // highest that the worker showed
	heard     micros.Micros
	answered  micros.Micros
	since     micros.Micros

	slots   map[slotKey]*slot
	images  map[string]bool
	idleAt  micros.Micros // when it last had something on it
	leaving bool          // it is being released
	going   peer.Release  // it is to be released once it is empty,
	goingTo micros.Micros // if that is asked for until then

	orderBusy  bool
	orderNext  micros.Micros
	showNext   micros.Micros
	unclear    uint64 // orders up to this token may still act; 0: none
	warmNext   micros.Micros
	raiseBusy  bool
	raiseNext  micros.Micros
	takenAt    micros.Micros // the cloud takes it away then; 0: no notice
	failJobs   map[string]int
	asideUntil micros.Micros
	sick       bool
	slowSum    float64
	slowN      float64
	restUntil  micros.Micros // after a disagreement about room
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
	key     slotKey
	job     *job // nil: not known (yet)
	idx     int
	m       *machine
	state   slotState
	sentSeq uint64
	owned   bool // it stands in job.run.active
	since   micros.Micros
	runAt   micros.Micros // when it was first seen running; 0: not yet
	halt    int
	haltAt  micros.Micros
	warm    bool // a done task run again for its image only; see warm.go
	why     string
	acted   bool // exited, and its end is on record or dealt with
	// ordered is the token of the direct order that carried the start; 0: none.
	ordered uint64
}

// clearable: the worker may forget an attempt that is dealt with. One that was
// started by a direct order and did not complete must stay known until a higher
// token was seen: a repeat of that order, which can follow the end of the
// process that sent it, has no effect only as long as the attempt is known.
func (sl *slot) clearable() bool {
	return sl.state == slotExited && sl.acted &&
		(sl.ordered == 0 || sl.why == wire.WhyDone || sl.warm || sl.m.v.token > sl.ordered)
}

// empty: nothing on the machine matters any more.
func (v *view) empty() bool {
	for _, sl := range v.slots {
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
		since: c.now, idleAt: c.now,
	}
}

// setMachine takes a machine's record.
func (c *Core) setMachine(id string, rec wire.MachineRecord, mark uint64) {
	m := c.mach[id]
	if m == nil {
		m = &machine{id: id}
		c.mach[id] = m
	} else if mark <= m.mark {
		return
	}
	moved := m.mark != 0 && m.rec.Share != rec.Share || rec.Retiring
	m.rec, m.mark = rec, mark
	if moved {
		if m.v != nil && !m.v.empty() {
			c.log(Error, "machine moved with tasks on it", "machine", id, "slots", len(m.v.slots))
		}
		m.v = nil
	}
	if s := c.own.shares[rec.Share]; s.active && m.v == nil && !rec.Retiring {
		m.v = c.newView()
		c.settleMachine(s, m)
	}
	c.dirty = true
}

// dropMachine takes notice that a machine is gone, and all on it.
func (c *Core) dropMachine(m *machine) {
	if m.v != nil {
		c.freeAll(m, "machine gone", true)
		m.v = nil
	}
	delete(c.mach, m.id)
	c.dirty = true
}

// token is what entitles this node to command a machine of its share.
func (c *Core) token(s *share, m *machine) uint64 { return max(s.mark, m.mark) }

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
		c.heardElsewhere(rep.Machine)
		c.redirect(in.Reply, &s.role)
		return
	}
	v := m.v
	if v.known && !newer(rep, v) || rep.Token > c.token(s, m) {
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	c.observe(s, m, rep, true)
	if v.settled {
		c.dirty = true
		c.schedAt = c.now
		c.answering = m // what it is to do goes into the answer, not into an order
		c.place()
		c.answering = nil
	}
	commands := c.commands(m, true)
	v.answered = c.now
	c.answer(in.Reply, 200, wire.ReportAnswer{Token: c.token(s, m), Commands: commands}, 0)
	if !v.settled && !v.orderBusy {
		c.sendOrder(s, m, []wire.Command{}) // shows our token at once
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

func (c *Core) heardElsewhere(id string) {
	if len(c.heard) < 2000 {
		c.heard[id] = c.now
	}
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
	if v.known && !newer(rep, v) {
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
	v.known, v.session, v.seq, v.heard = true, rep.Session, rep.Seq, c.now
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
		v.gone = false
		c.log(Debug, "machine settled", "machine", m.id, "tasks", len(rep.Tasks))
	}
	if v.unclear != 0 && rep.Token > v.unclear {
		v.unclear = 0 // unanswered orders are void now; what they did is in this report
		for _, sl := range v.sorted() {
			if sl.state == slotUnclear {
				sl.state, sl.sentSeq = slotSent, 0
			}
		}
	}
	listed := make(map[slotKey]bool, len(rep.Tasks))
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, idx, err := wire.ParseTask(t.Task)
		if err != nil {
			continue
		}
		key := slotKey{job: id, idx: idx, attempt: t.Attempt}
		listed[key] = true
		sl := v.slots[key]
		if sl == nil {
			if len(v.slots) > 4000 {
				continue
			}
			sl = &slot{key: key, idx: idx, m: m, since: c.now, haltAt: -micros.Never}
			v.slots[key] = sl
		}
		c.update(sl, t)
	}
	for _, sl := range v.sorted() {
		if listed[sl.key] {
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
			delete(v.slots, sl.key)
		default:
			c.log(Info, "task vanished from its machine", "task", wire.TaskName(sl.key.job, sl.idx), "machine", m.id)
			c.freeSlot(sl, true)
		}
	}
	c.adopt(m)
	if v.busy() {
		v.idleAt = c.now
	}
	c.dirty = true
}

// update takes one task's state from a report.
func (c *Core) update(sl *slot, t *wire.TaskReport) {
	was := sl.state
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

// adopt ties tasks found on a machine to their jobs, or stops what should not
// be there.
func (c *Core) adopt(m *machine) {
	for _, sl := range m.v.sorted() {
		if sl.owned || sl.state < slotFetching {
			continue
		}
		if sl.warm {
			c.warmed(sl)
			continue
		}
		if _, over := c.jobs.final(sl.key.job); over {
			if sl.state == slotExited {
				sl.acted = true
			} else {
				sl.halt = haltHard
			}
			continue
		}
		j := c.jobs.open[sl.key.job]
		if j == nil {
			continue // the watch may yet bring it
		}
		if j.share != m.rec.Share || sl.idx >= j.sub.Tasks {
			sl.job, sl.halt = j, haltHard
			sl.acted = sl.state == slotExited
			continue
		}
		sl.job = j
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
				sl.acted = j.run == nil || j.run.saved.has(sl.idx)
			} else {
				sl.acted = true
			}
			continue
		}
		if other := r.active[sl.idx]; other != nil || r.done.has(sl.idx) {
			if other != sl && sl.halt != haltHard {
				c.log(Info, "surplus attempt stopped", "task", wire.TaskName(j.id, sl.idx), "machine", m.id)
				sl.halt = haltHard
			}
			continue
		}
		sl.owned = true
		r.active[sl.idx] = sl
		if sl.state == slotRunning {
			m.v.images[j.sub.Image] = true
		}
		if r.want == wire.StateCancelled {
			sl.halt = haltHard
		}
	}
}

// readopt looks at a share's machines again once Versions are known.
func (c *Core) readopt(s *share) {
	for _, id := range sortedKeys(c.mach) {
		if m := c.mach[id]; m.v != nil && m.rec.Share == s.id && m.v.settled {
			c.adopt(m)
		}
	}
}

// freeSlot forgets an attempt that is on no machine (any more); its task waits
// again unless it is done. lost says that work was under way.
func (c *Core) freeSlot(sl *slot, lost bool) {
	delete(sl.m.v.slots, sl.key)
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
		if lost {
			c.noteRecovery(j)
			c.log(Info, "task lost, restarting from the newest Version", "task", wire.TaskName(j.id, sl.idx), "machine", sl.m.id)
		}
	}
	c.dirty = true
}

// freeAll forgets what was on a machine. Unless ordersVoid, starts in direct
// orders that were not answered are kept: a machine that hung may yet find them.
func (c *Core) freeAll(m *machine, reason string, ordersVoid bool) {
	if n := len(m.v.slots); n > 0 {
		c.log(Info, "machine holds no tasks any more", "machine", m.id, "reason", reason, "slots", n)
	}
	for _, sl := range m.v.sorted() {
		if !ordersVoid && (sl.state == slotOrdered || sl.state == slotUnclear) {
			continue
		}
		if sl.state == slotExited {
			delete(m.v.slots, sl.key) // dealt with when it was seen
			continue
		}
		c.freeSlot(sl, sl.state >= slotFetching)
	}
}

func (v *view) sorted() []*slot {
	out := make([]*slot, 0, len(v.slots))
	for _, sl := range v.slots {
		out = append(out, sl)
	}
	slices.SortFunc(out, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.idx, b.key.idx), cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return out
}

// busy: something on it still runs or may.
func (v *view) busy() bool {
	for _, sl := range v.slots {
		if sl.state != slotExited {
			return true
		}
	}
	return false
}

// exited deals with the end of an attempt of ours.
func (c *Core) exited(sl *slot) {
	j, m := sl.job, sl.m
	c.dirty = true
	switch sl.why {
	case wire.WhyDone:
		if sl.runAt > 0 {
			took := c.now - sl.runAt
			c.noteSpeed(m, j, took)
			c.runs.learn(j.sub, took)
		}
		clear(m.v.failJobs)
		sl.owned = false
		if j.run != nil && j.run.active[sl.idx] == sl {
			delete(j.run.active, sl.idx)
			c.taskDone(j, sl.idx, sl)
			sl.acted = j.run == nil || j.run.saved.has(sl.idx)
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

// commands gives what a machine is to do. Runs go out when forReport is set or
// no direct order is unclear.
func (c *Core) commands(m *machine, forReport bool) []wire.Command {
	const most = 200
	v := m.v
	out := []wire.Command{}
	slots := v.sorted()
	if !v.settled {
		return out
	}
	zero := 0.0
	for _, sl := range slots {
		if len(out) >= most {
			return out
		}
		name := wire.TaskName(sl.key.job, sl.idx)
		switch {
		case sl.clearable():
			out = append(out, wire.Command{Op: wire.OpForget, Task: name, Attempt: sl.key.attempt})
		case sl.halt != haltNone && sl.state >= slotSent && sl.state != slotExited:
			grace := &zero
			if sl.halt == haltSave && sl.job != nil {
				g := sl.job.sub.SaveS + 1
				grace = &g
			}
			if sl.state == slotSaving && sl.halt == haltSave {
				continue
			}
			sl.haltAt = c.now
			out = append(out, wire.Command{Op: wire.OpStop, Task: name, Attempt: sl.key.attempt, GraceS: grace})
		}
	}
	for _, sl := range slots {
		if len(out) >= most || sl.state != slotAssigned {
			continue
		}
		if forReport {
			sl.state, sl.sentSeq = slotSent, v.seq
		} else {
			sl.state, sl.ordered = slotOrdered, c.token(c.own.shares[m.rec.Share], m)
		}
		sl.since = c.now
		out = append(out, wire.Command{Op: wire.OpStart, Task: wire.TaskName(sl.key.job, sl.idx), Attempt: sl.key.attempt})
	}
	return out
}

// wantsOrder: is there something that should not wait for the next report?
func (c *Core) wantsOrder(v *view) bool {
	for _, sl := range v.slots {
		if sl.state == slotAssigned {
			return true
		}
		if sl.halt != haltNone && sl.state >= slotSent && sl.state != slotExited && c.now-sl.haltAt >= micros.Second &&
			!(sl.state == slotSaving && sl.halt == haltSave) {
			return true
		}
	}
	return false
}

// flushOrders sends direct orders where they are wanted.
func (c *Core) flushOrders() {
	for _, id := range sortedKeys(c.mach) {
		m := c.mach[id]
		v := m.v
		if v == nil || m == c.answering || !v.settled || v.gone || v.orderBusy || v.unclear != 0 || len(v.slots) == 0 {
			continue
		}
		s := c.acting(m.rec.Share)
		if s == nil || !c.wantsOrder(v) {
			continue
		}
		if c.now < v.orderNext {
			c.wakeIn(v.orderNext - c.now)
			continue
		}
		c.sendOrder(s, m, c.commands(m, false))
	}
}

const orderTimeout = 1500 * micros.Millisecond

// sendOrder sends commands directly. An unanswered order may still act late,
// so its starts stay unclear until the token has been raised and seen.
func (c *Core) sendOrder(s *share, m *machine, commands []wire.Command) {
	v := m.v
	v.orderBusy = true
	token := c.token(s, m)
	req := wire.Orders{Token: token, Session: v.session, Commands: commands}
	c.call(Call{To: ToWorker, Addr: m.rec.Addr, Req: req, Timeout: orderTimeout}, func(r Result) {
		if m.v != v {
			return
		}
		v.orderBusy = false
		rep, ok := r.Body.(*wire.Report)
		ok = ok && rep.Machine == m.id
		executed := ok && r.Status == 200
		refused := r.NotSent || ok && r.Status == 409
		for _, sl := range v.sorted() {
			if sl.state != slotOrdered {
				continue
			}
			switch {
			case executed:
				sl.state, sl.sentSeq = slotSent, rep.Seq
			case refused:
				c.freeSlot(sl, false)
			default:
				sl.state = slotUnclear
				v.unclear = max(v.unclear, token)
			}
		}
		if !executed {
			v.orderNext = c.now + 2*micros.Second
		}
		if ok && c.acting(s.id) != nil && rep.Token <= c.token(s, m) {
			c.observe(s, m, rep, false)
		}
		c.dirty = true
	})
}

// settleMachine brings an unsettled machine to show its tasks under our token.
func (c *Core) settleMachine(s *share, m *machine) {
	v := m.v
	if v.settled || v.orderBusy || c.now < v.showNext || m.rec.Addr == "" || c.acting(s.id) == nil {
		return
	}
	v.showNext = c.now + micros.Second
	v.orderBusy = true
	c.call(Call{To: ToWorker, Addr: m.rec.Addr, Req: Show{}, Timeout: orderTimeout}, func(r Result) {
		if m.v != v {
			return
		}
		v.orderBusy = false
		rep, ok := r.Body.(*wire.Report)
		if !ok || r.Status != 200 || rep.Machine != m.id || c.acting(s.id) == nil || rep.Token > c.token(s, m) {
			return
		}
		c.observe(s, m, rep, false)
		if !v.settled {
			c.sendOrder(s, m, []wire.Command{})
		}
	})
}

// raise rewrites a machine's record, so that its token rises above unanswered
// orders.
func (c *Core) raise(s *share, m *machine) {
	v := m.v
	v.raiseBusy = true
	c.putMachine(s, m, m.rec, func(ok bool) {
		if m.v != v {
			return
		}
		v.raiseBusy = false
		v.raiseNext = c.now + c.jitter(2*micros.Second)
		if ok {
			v.leaving = false // an unanswered release can't be applied any more
		}
	})
}

// putMachine rewrites a machine's record as the owner of its share.
func (c *Core) putMachine(s *share, m *machine, rec wire.MachineRecord, done func(ok bool)) {
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "machine record not encoded", "machine", m.id, "error", err)
		done(false)
		return
	}
	key, mark := wire.MachineKey(m.id), m.mark
	txn := wire.Txn{
		If:   []wire.Condition{{Key: key, Version: mark}, {Key: ownerKey(s.id), Version: s.mark}},
		Then: []wire.Change{{Put: key, Value: value}},
	}
	c.askState(prioFleet, txn, 1500*micros.Millisecond, func(r Result) {
		body, ok := r.Body.(*wire.Revision)
		if !ok || r.Status != 200 {
			done(false) // if it was applied after all, the watch shows it
			return
		}
		if c.mach[m.id] == m && m.mark < body.Revision {
			c.setMachine(m.id, rec, body.Revision)
		}
		done(true)
	})
}

// release lets a machine go, at the leader's request: at once if it is idle,
// else when it is empty, if it may be drained.
func (c *Core) release(r peer.Release) bool {
	m := c.mach[r.Machine]
	if m == nil || m.v == nil || r.Share < 0 || r.Share >= len(c.own.shares) {
		return false
	}
	s := c.acting(m.rec.Share)
	if s != nil && r.Drain && !m.v.leaving && (r.Retire || r.Share != s.id) {
		m.v.going, m.v.goingTo = r, c.now+4*micros.Second
		if r.Save {
			c.saveAll(m)
		}
	}
	if s == nil || !c.canAnswer() || m.v.leaving || m.v.orderBusy || m.v.unclear != 0 || !m.v.settled && !m.v.gone ||
		!m.v.empty() || (!r.Retire && (r.Share == s.id || m.v.gone)) {
		return false
	}
	rec := m.rec
	if r.Retire {
		rec.Retiring = true
	} else {
		rec.Share = r.Share
	}
	v := m.v
	v.leaving = true
	c.putMachine(s, m, rec, func(ok bool) {
		if m.v == v && !ok {
			// The watch shows it if it was applied. A late copy may still come, so
			// nothing is placed here until the record has been rewritten.
			v.unclear = max(v.unclear, c.token(s, m))
		}
	})
	return true
}

// saveAll stops a machine's tasks so that they go on elsewhere, if all of them
// can save.
func (c *Core) saveAll(m *machine) {
	slots := m.v.sorted()
	for _, sl := range slots {
		if sl.state != slotExited && (!sl.owned || sl.job.sub.CheckpointS <= 0 || sl.state != slotRunning && sl.state != slotSaving) {
			return
		}
	}
	for _, sl := range slots {
		if sl.state == slotRunning {
			c.stop(sl, haltSave)
		}
	}
}

// houseMachines looks at what time does to machines.
func (c *Core) houseMachines() {
	for _, id := range sortedKeys(c.mach) {
		m := c.mach[id]
		v := m.v
		if v == nil {
			continue
		}
		s := c.own.shares[m.rec.Share]
		if c.acting(s.id) == nil {
			continue
		}
		if !v.gone {
			bound := max(v.settledAt, v.answered) + c.bounds.WorkerGone
			if !v.settled {
				bound = max(s.freeAt, v.answered+c.bounds.WorkerGone, v.settledAt+c.bounds.WorkerGone)
			}
			if c.now >= bound {
				c.freeAll(m, "its lease has run out", false)
				v.gone, v.settled = true, false
				c.dirty = true
			}
		}
		if !v.settled {
			c.settleMachine(s, m)
		}
		if !v.raiseBusy && c.now >= v.raiseNext && c.canAnswer() &&
			(v.unclear != 0 && c.token(s, m) <= v.unclear || v.kept(c.token(s, m)) > maxKept) {
			c.raise(s, m)
		}
		if v.takenAt != 0 {
			c.drain(m)
		}
		if c.now < v.goingTo && !v.leaving && v.empty() {
			now := v.going
			now.Drain = false // or it would prolong itself
			c.release(now)
		}
	}
	for _, s := range c.own.shares {
		if s.active && !s.current && c.canAnswer() {
			c.catchUp(s)
		}
		if s.active && !s.loaded && !s.loading && c.canAnswer() {
			c.loadVersions(s, "", map[string]wire.VersionRecord{}, map[string]uint64{})
		}
	}
}

// maxKept is how many dealt with attempts a machine may go on reporting before
// its token is raised so that they can be cleared.
const maxKept = 24

// kept counts the attempts that wait for a token above the current one.
func (v *view) kept(token uint64) int {
	n := 0
	for _, sl := range v.slots {
		if sl.state == slotExited && sl.acted && !sl.clearable() && sl.ordered >= token {
			n++
		}
	}
	return n
}

// allSettled: nothing of a former owner can still be on an unknown place.
func (c *Core) allSettled(s *share) bool {
	for _, m := range c.mach {
		if m.rec.Share == s.id && m.v != nil && !m.v.settled && !m.v.gone {
			return false
		}
	}
	return true
}

func (c *Core) anyUnclear(s *share) bool {
	for _, m := range c.mach {
		if m.rec.Share == s.id && m.v != nil && (m.v.unclear != 0 || m.v.orderBusy) {
			return true
		}
	}
	return false
}
