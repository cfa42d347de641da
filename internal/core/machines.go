package core

import (
	"garnethitch/internal/micros"
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
	sessionView
	contactView
	healthView
	orderView
	releaseView
	attemptView

	images       map[string]bool
	prefetchNext micros.Micros // no image is fetched ahead before
	idleAt       micros.Micros // when it last had something on it
	takenAt      micros.Micros // the cloud takes it away then; 0: no notice
}

// sessionView orders what a machine says, and tells what a former owner may have left
// on it. What is older than (session, seq) changes nothing.
type sessionView struct {
	settled   bool // its task list is complete, and no older command can still act
	fresh     bool // nobody but this owner can have commanded it; ends with its first report
	settledAt micros.Micros
	// doubt: it was on record when the share was claimed, and has neither been
	// settled nor gone since: a former owner's tasks may be on it.
	doubt   bool
	gone    bool // it can hold no task any more; a new session brings it back
	known   bool // session and seq are set
	session uint64
	seq     uint64
	token   uint64 // highest that the worker showed
}

// attemptView is what is on a machine. Each attempt stands in the map and in the list;
// sum holds unless stale is set.
type attemptView struct {
	attempts map[attemptKey]*attempt
	list     []*attempt        // the same, in the order in which they came up
	shown    []wire.TaskReport // the list last taken in whole,
	listed   uint64            // in this round of observe
	sum      tally
	stale    bool // sum is to be counted again
	reserved reservation
}

// tally is what the attempts on a machine take, and what is to be done about
// them. It is counted again only after something has changed there.
type tally struct {
	cpus, gpus, mem float64
	// soon is what tasks being stopped will leave.
	soonCPUs, soonGPUs, soonMem float64
	tasks                       int  // not exited
	unknown                     bool // an attempt whose job is not known
	used                        []usage
}

// reservation keeps room on a machine for a job for which others were stopped there.
type reservation struct {
	job             *job
	cpus, gpus, mem float64
	until           micros.Micros
}

// empty: nothing on the machine matters any more.
func (v *view) empty() bool {
	for _, att := range v.list {
		if att.state != attemptExited || !att.acted {
			return false
		}
	}
	return true
}

func (c *Core) newView() *view {
	return &view{
		contactView: contactView{heard: -micros.Never, answered: -micros.Never, since: c.now},
		sessionView: sessionView{settledAt: -micros.Never},
		attemptView: attemptView{attempts: map[attemptKey]*attempt{}, stale: true},
		healthView:  healthView{failJobs: map[string]int{}},
		images:      map[string]bool{},
		idleAt:      c.now,
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
	s := c.own.shares[m.rec.Share]
	if v := c.mayHear(m, rep); !v.allowed {
		c.refuseReport(in, m, v)
		return
	}
	v := m.v
	c.noteReach(m, rep)
	c.observe(s, m, rep, true)
	if v := c.mayRenew(s, m, rep); !v.allowed {
		c.refuseReport(in, m, v)
		return
	}
	v.answered = c.now
	if v.settled {
		c.placeOn(s, m) // what it is to do goes into the answer, not into an order
	}
	stops := c.stopsBefore(s, m, rep)
	commands := c.commands(m, true)
	if len(stops) > 0 {
		commands = append(commands, stops...) // which is empty: the list is not believed yet
	}
	c.checkRenewal(s, m)
	v.reach.answered(c.token(s, m), v.token, commands)
	c.logReport(m, rep, allow(reasonAnswered), commands)
	c.answer(in.Reply, 200, wire.ReportAnswer{Token: c.token(s, m), Commands: commands}, 0)
	if !v.settled {
		c.settleMachine(s, m) // shows our token at once
	}
}

// refuseReport sends a worker away.
func (c *Core) refuseReport(in Checkin, m *machine, v verdict) {
	c.decisions.refused[v.reason]++
	c.logReport(m, &in.Report, v, nil)
	switch v.reason {
	case reasonNotOwner, reasonHandingBack, reasonNewerClaim, reasonLeaseTooOld, reasonBlindTooLong:
		c.heard[m.id] = c.now // bounded: it is on record
		c.redirect(in.Reply, &c.own.shares[m.rec.Share].role)
	default:
		c.answer(in.Reply, 503, nil, 0)
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
		c.log(Debug, "machine settled", "machine", m.id, "token", rep.Token, "tasks", len(rep.Tasks))
	}
	if v.unclear != 0 && rep.Token > v.unclear {
		v.unclear = 0 // unanswered orders are void now; what they did is in this report
		for _, att := range v.list {
			if att.state == attemptUnclear {
				att.state, att.sentSeq = attemptSent, 0
			}
		}
		c.placementDue = true
	}
	if !c.unchanged(v, rep) {
		c.takeList(m, rep, checkin)
	}
	for _, att := range v.list {
		if att.listed == v.listed && !att.owned && !att.acted {
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
	for _, att := range v.list {
		if att.listed != v.listed {
			return false
		}
	}
	return true
}

// busy: something on it still runs or may.
func (v *view) busy() bool {
	for _, att := range v.list {
		if att.state != attemptExited {
			return true
		}
	}
	return false
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
	if c.mayFree(s, m) {
		c.freeAll(m, "its lease has run out", false)
		v.gone, v.settled, v.doubt = true, false, false
		v.reach = reach{}
		c.touch(m)
		c.placementDue = true
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
	for _, att := range v.list {
		if att.state == attemptExited && att.acted && !att.clearable() && att.ordered >= token {
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
