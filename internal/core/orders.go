package core

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// orderQueue holds machines to which something should be sent directly. How
// many requests to workers are under way is bounded, so that a takeover of
// hundreds of machines or a burst of starts leaves sockets and time for reports,
// answers and the lease.
type orderQueue struct {
	wait     []*machine
	inFlight int
	most     int
	asks     int // settling and probing requests that may still begin in this turn
}

// orderView is what is under way to a machine beside the answers to its reports: one
// order and one question at a time.
type orderView struct {
	orderBusy   bool
	orderQueued bool
	orderNext   micros.Micros
	unclear     uint64 // orders up to this token may still act; 0: none
	showBusy    bool
	showNext    micros.Micros
	unanswered  int // requests to settle it that were not answered
}

// budget begins a turn.
func (q *orderQueue) budget() { q.asks = max(q.most/4, 4) }

// mayAsk takes one of the requests that a turn allows for machines that are not
// wanted for a start.
func (q *orderQueue) mayAsk() bool {
	if q.asks <= 0 || q.inFlight >= q.most {
		return false
	}
	q.asks--
	return true
}

// commands gives what a machine is to do. Runs go out when forReport is set or
// no direct order is unclear.
func (c *Core) commands(m *machine, forReport bool) []wire.Command {
	const most = 200
	v := m.v
	out := []wire.Command{}
	if !v.settled {
		return out
	}
	zero := 0.0
	for _, att := range v.list {
		if len(out) >= most {
			return out
		}
		if att.halt != haltNone && att.state >= attemptSent && att.state != attemptExited {
			grace := &zero
			if att.halt == haltSave && att.job != nil {
				g := att.job.sub.SaveS + 1
				grace = &g
			}
			if att.state == attemptSaving && att.halt == haltSave {
				continue
			}
			c.logStop(att, forReport)
			att.haltAt = c.now
			out = append(out, wire.Command{Op: wire.OpStop, Task: wire.TaskName(att.key.job, att.idx), Attempt: att.key.attempt, GraceS: grace})
		}
	}
	// A stop never waits behind these.
	for _, att := range v.list {
		if len(out) < most && att.clearable() {
			out = append(out, wire.Command{Op: wire.OpForget, Task: wire.TaskName(att.key.job, att.idx), Attempt: att.key.attempt})
		}
	}
	if !forReport && v.unclear != 0 || !c.mayStart() {
		return out
	}
	for _, att := range v.list {
		if len(out) >= most || att.state != attemptAssigned {
			continue
		}
		if forReport {
			att.state, att.sentSeq = attemptSent, v.seq
		} else {
			att.state, att.ordered = attemptOrdered, c.token(c.own.shares[m.rec.Share], m)
		}
		att.since = c.now
		c.touch(m)
		c.checkStart(att)
		out = append(out, wire.Command{Op: wire.OpStart, Task: wire.TaskName(att.key.job, att.idx), Attempt: att.key.attempt})
	}
	return out
}

// wantsOrder: is there something that should not wait for the next report? While an
// order is unclear, no start may follow it, but stops may, and the raised token that
// makes it clear: a machine that can't report is reached in no other way.
func (c *Core) wantsOrder(m *machine) bool {
	v := m.v
	if v.unclear != 0 && c.token(c.own.shares[m.rec.Share], m) > v.unclear && c.unheard(v) <= c.late() {
		return true
	}
	for _, att := range v.list {
		if att.state == attemptAssigned && v.unclear == 0 {
			return true
		}
		if att.halt != haltNone && att.state >= attemptSent && att.state != attemptExited && c.now-att.haltAt >= micros.Second &&
			!(att.state == attemptSaving && att.halt == haltSave) {
			return true
		}
	}
	return false
}

// queueOrder notes that a machine should hear something before its next report.
func (c *Core) queueOrder(m *machine) {
	if v := m.v; v != nil && !v.orderQueued {
		v.orderQueued = true
		c.orders.wait = append(c.orders.wait, m)
	}
}

// flushOrders sends direct orders where they are wanted, first come first served.
func (c *Core) flushOrders() {
	q := &c.orders
	wait := q.wait
	if len(wait) == 0 {
		return
	}
	q.wait = nil
	for i, m := range wait {
		v := m.v
		if v == nil || !v.orderQueued {
			continue
		}
		if q.inFlight >= q.most {
			q.wait = append(q.wait, wait[i:]...)
			return
		}
		v.orderQueued = false
		if !v.settled || v.fresh || v.gone || m.returned || v.orderBusy || c.outOfReach(m) || c.now < v.orderNext {
			continue // maintainMachine looks again
		}
		if s := c.acting(m.rec.Share); s != nil && c.wantsOrder(m) {
			c.sendOrder(s, m, c.commands(m, false))
		}
	}
}

const orderTimeout = 1500 * micros.Millisecond

// askWorker sends a request to a worker and counts it while it is under way.
func (c *Core) askWorker(addr string, req any, done func(Result)) {
	c.orders.inFlight++
	c.call(Call{To: ToWorker, Addr: addr, Req: req, Timeout: orderTimeout}, func(r Result) {
		c.orders.inFlight--
		done(r)
	})
}

// sendOrder sends commands directly. An unanswered order may still act late,
// so its starts stay unclear until the token has been raised and seen.
func (c *Core) sendOrder(s *share, m *machine, commands []wire.Command) {
	v := m.v
	v.orderBusy = true
	token := c.token(s, m)
	req := wire.Orders{Token: token, Session: m.session, Commands: commands}
	c.askWorker(m.rec.Addr, req, func(r Result) {
		if m.v != v {
			return
		}
		v.orderBusy = false
		rep, ok := r.Body.(*wire.Report)
		ok = ok && rep.Machine == m.id
		if ok {
			v.reach = reach{} // it was reached, whatever it says
		}
		executed := ok && r.Status == 200
		refused := r.NotSent || ok && r.Status == 409
		for _, att := range v.each() {
			if att.state != attemptOrdered {
				continue
			}
			c.touch(m)
			switch {
			case executed:
				att.state, att.sentSeq = attemptSent, rep.Seq
			case refused:
				c.freeAttempt(att, false)
			default:
				att.state = attemptUnclear
				v.unclear = max(v.unclear, token)
			}
		}
		if !ok {
			v.unanswered++
		}
		if !executed {
			v.orderNext = c.now + 2*micros.Second
		}
		if ok && c.acting(s.id) != nil && rep.Token <= c.token(s, m) {
			c.observe(s, m, rep, false)
			c.placeOn(s, m)
		}
		if m.v == v && c.wantsOrder(m) {
			c.queueOrder(m)
		}
	})
}

// settleMachine brings an unsettled machine to show its tasks under our token.
// An empty order does it: its answer carries the token, or the session that it
// should have named.
func (c *Core) settleMachine(s *share, m *machine) {
	v := m.v
	if v.settled || m.returned || v.orderBusy || c.now < v.showNext || m.rec.Addr == "" || c.acting(s.id) == nil || !c.orders.mayAsk() {
		return
	}
	// Those that don't answer leave the turn to others.
	v.showNext = c.now + micros.Second*micros.Micros(1+min(v.unanswered, 3))
	m.session = max(m.session, 1)
	c.sendOrder(s, m, []wire.Command{})
}
