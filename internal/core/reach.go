package core

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Hearing a machine is not reaching it: its reports may arrive while our
// answers and commands do not. Then the starts of the last answer never show,
// its token stays behind, and later its session rises although it was answered.

// contactView is when a machine was heard and answered, each by this node's clock, and
// whether our answers arrive.
type contactView struct {
	heard    micros.Micros
	answered micros.Micros
	since    micros.Micros // when this node's care for it began
	reach    reach
}

// reach is what a machine has shown of our answers.
type reach struct {
	unshown int           // answers in a row of which nothing showed
	since   micros.Micros // when the first of them was missed
	token   uint64        // the last answer told this token, not shown before; 0: none
	cmd     wire.Command  // a command of the last answer; Op is empty if it held none
}

// answered notes what the next report must show.
func (r *reach) answered(token, shown uint64, commands []wire.Command) {
	r.token, r.cmd = 0, wire.Command{}
	if token > shown {
		r.token = token
	}
	if len(commands) > 0 {
		r.cmd = commands[0]
	}
}

// shows tells whether a report shows what the answer before it said; sure is
// false if it would look the same either way.
func (r *reach) shows(rep *wire.Report) (shown, sure bool) {
	if r.token != 0 {
		return rep.Token >= r.token, true
	}
	if r.cmd.Op == "" {
		return false, false
	}
	state := ""
	for i := range rep.Tasks {
		if t := &rep.Tasks[i]; t.Attempt == r.cmd.Attempt && t.Task == r.cmd.Task {
			state = t.State
		}
	}
	switch r.cmd.Op {
	case wire.OpStart:
		return state != "", true
	case wire.OpForget:
		return state == "", true
	}
	return state == "" || state == wire.TaskExited || state == wire.TaskSaving, true
}

// maxUnshown is how many answers may be lost before a machine counts as out of
// reach: one or two are lost now and then.
const maxUnshown = 3

// noteReach weighs a newer report against the answer that went before it.
func (c *Core) noteReach(m *machine, rep *wire.Report) {
	v := m.v
	r := &v.reach
	if v.known && rep.Session > v.session {
		// Its lease ran out although it was answered of late.
		if c.now-v.answered < c.cfg.WorkerLease-2*c.cfg.ReportEvery && r.unshown > 0 {
			c.log(Info, "machine reports but does not hear the answers, set aside", "machine", m.id)
			v.quarantinedUntil = c.now + c.cfg.Quarantine
		}
		*r = reach{}
		return
	}
	shown, sure := r.shows(rep)
	r.token, r.cmd = 0, wire.Command{}
	switch {
	case !sure:
	case shown:
		r.unshown = 0
	default:
		if r.unshown == 0 {
			r.since = c.now
		}
		if r.unshown++; r.unshown == maxUnshown {
			c.log(Info, "machine reports but is out of reach", "machine", m.id, "tasks", len(rep.Tasks))
			c.placementDue = true
		}
	}
}

// outOfReach: the machine is heard, but what it is told does not arrive. It gets
// no more tasks. Those it has count until its lease has provably ended: a higher
// session in a report, the cloud's return, or the bound since the last answer.
func (c *Core) outOfReach(m *machine) bool { return m.v.reach.unshown >= maxUnshown }

// leaseRunningOut: the machine answers, but no report of it has come and been answered for so
// long that its lease is running out; answers to orders and questions do not renew
// that. It gets no more tasks: they would end with the lease. Those it has may be
// completed in time.
func (c *Core) leaseRunningOut(v *view) bool { return v.known && c.unanswered(v) > c.silence() }

// unanswered is for how long no report of a machine has been answered.
func (c *Core) unanswered(v *view) micros.Micros {
	return c.now - max(v.answered, v.since, c.behindAt)
}

// late is how long after its last report a machine should have reported again.
// A report or answer may be lost, so this alone says nothing yet: the machine is
// asked.
func (c *Core) late() micros.Micros { return c.cfg.ReportEvery*5/4 + 3*micros.Second/2 }

// silence is how long a machine that does not answer either is left before it
// counts as silent: a report was lost, and the next node was tried.
func (c *Core) silence() micros.Micros {
	return c.late() + 2*micros.Second
}

// unheard is for how long a machine has not been heard, by a node that had the
// time to listen: what it said while this node was behind may still be unread.
func (c *Core) unheard(v *view) micros.Micros { return c.now - max(v.heard, v.since, c.behindAt) }

// silentReturn is how long a machine may be silent before it is returned; 0: it
// never is. By default it leaves time for an overdue report and for trying the
// next node, so that one lost report never looks like a dead machine.
func (c *Core) silentReturn() micros.Micros {
	if c.cfg.SilentReturn >= 0 {
		return c.cfg.SilentReturn
	}
	return c.late() + 8*micros.Second
}

// probeLate asks a machine whose report is overdue, or that does not seem to
// hear its answers, to show itself.
func (c *Core) probeLate(s *share, m *machine) {
	v := m.v
	if c.unheard(v) <= c.late() && !c.outOfReach(m) || v.showBusy || c.now < v.showNext || m.rec.Addr == "" || !c.orders.mayAsk() {
		return
	}
	v.showNext = c.now + 2*micros.Second
	v.showBusy = true
	c.askWorker(m.rec.Addr, Show{}, func(r Result) {
		if m.v != v {
			return
		}
		v.showBusy = false
		rep, ok := r.Body.(*wire.Report)
		if !ok || r.Status != 200 || rep.Machine != m.id || c.acting(s.id) == nil || rep.Token > c.token(s, m) {
			return
		}
		v.reach = reach{}
		c.observe(s, m, rep, false)
	})
}
