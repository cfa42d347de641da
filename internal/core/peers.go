package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// peerView is what this node knows of another controller.
type peerView struct {
	label   string
	heardAt micros.Micros
	// statusAt is when its last own Status came, beside answers to ours.
	statusAt       micros.Micros
	uptime         micros.Micros
	stateOK        bool
	withoutWorkers bool
	quota          bool // it keeps groups
	busy           bool
	nextAt         micros.Micros
	demand         []peer.Demand
	demAt          micros.Micros
	heard          map[string]bool // machines that tried it of late
	gone           []string        // returned machines that it has not been told of
	// cancelled are jobs of whose cancellation it has not been told.
	cancelled []string
}

const statusEvery = micros.Second

// maxNamed bounds how many returned machines, and how many cancelled jobs, one message
// names; the rest stands in the next.
const maxNamed = 500

// maxHeardBytes bounds the names of machines that tried this controller. They show the
// other one that it does not hear its workers; as many as fit show that as well as all.
const maxHeardBytes = 192 << 10

// maxCancelled bounds the cancellations that a controller out of reach is yet to be told
// of: as many as the state service records within the time that a cancellation has. Past it
// the oldest go first: tasks of theirs are gone by then.
func (c *Core) maxCancelled() int {
	return max(10*maxNamed, int(c.cfg.WriteRPS*c.cfg.Cancel.Seconds())+maxNamed)
}

// spreadCancelled tells the other controllers of a cancellation, until each has
// acknowledged: the owner of the job may have lost the state service, and so not know
// that its own record of it was carried out. No user's answer waits for that.
func (c *Core) spreadCancelled(id string) {
	f, ok := c.jobs.final(id)
	if !ok || f.spread {
		return
	}
	f.spread = true
	c.jobs.finals[id] = f
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		p.cancelled = append(p.cancelled, id)
		if over := len(p.cancelled) - c.maxCancelled(); over > 0 {
			p.cancelled = slices.Delete(p.cancelled, 0, over)
		}
	}
}

// toldCancelled takes what another controller says of cancellations: they stand on
// record, whatever the state service tells this one.
func (c *Core) toldCancelled(p *peerView, ids []string) {
	for _, id := range ids {
		if !wire.ValidID(id) {
			continue
		}
		f := finalJob{state: wire.StateCancelled}
		if j := c.jobs.open[id]; j != nil {
			f.tasks = j.sub.Tasks
		}
		c.finishJob(id, f)
		if i := slices.Index(p.cancelled, id); i >= 0 {
			p.cancelled = slices.Delete(p.cancelled, i, i+1) // it knows
		}
	}
}

// alive: it was heard of within the last few statuses.
// Where this node itself was short of time, that is no sign against others.
func (c *Core) alive(p *peerView) bool {
	return p.heardAt > -micros.Never && c.now-max(p.heardAt, c.behindAt) < 5*statusEvery/2
}

// stateFresh: the state service answered this node of late.
func (c *Core) stateFresh() bool { return c.now-c.own.contact < 5*micros.Second/2 }

func (c *Core) maintainPeers() {
	for _, label := range c.cfg.Peers {
		if p := c.peers[label]; c.now >= p.nextAt && !c.toldEnough(p) {
			c.sendStatus(p)
		}
	}
	for id, at := range c.heard {
		if c.now-at > 10*micros.Second || c.mach[id] == nil {
			delete(c.heard, id)
		}
	}
}

// toldEnough: the other node's own Status keeps coming, and its answers tell it all
// that ours would. Of two nodes one then does the asking: who is not the leader,
// since it has its demand to tell, else the first by name.
func (c *Core) toldEnough(p *peerView) bool {
	leader := c.own.leader.rec.Label
	if c.now-p.statusAt > statusEvery*6/5 || len(p.gone) > 0 || len(p.cancelled) > 0 || len(c.askedOf(p)) > 0 || leader == p.label || leader != c.cfg.Label && c.cfg.Label < p.label {
		return false
	}
	for _, s := range c.own.shares {
		if _, quiet := s.quiet[p.label]; s.active && !quiet {
			return false // it has not said yet that it gives no commands there
		}
	}
	return true
}

// about is what this node tells another of itself: the shares for which it acts,
// and the machines of the other's shares that tried it of late, among the rest.
func (c *Core) about(p *peerView) peer.About {
	out := peer.About{UptimeUS: int64(c.now - c.began), StateOK: c.stateFresh(), WithoutWorkers: c.contact.lost, Quota: c.quota.ledger != nil}
	for _, s := range c.own.shares {
		if c.acting(s.id) != nil {
			out.Owns = append(out.Owns, peer.Owned{Share: s.id, Mark: s.mark})
		}
	}
	room := maxHeardBytes
	for _, id := range sortedKeys(c.heard) {
		if m := c.mach[id]; m != nil && c.own.shares[m.rec.Share].rec.Label == p.label && room > len(id) {
			room -= len(id) + 3
			out.Heard = append(out.Heard, id)
		}
	}
	return out
}

// noteAbout takes what another node tells of itself, and gives the shares of its
// for which this node gives no commands.
func (c *Core) noteAbout(p *peerView, a *peer.About) (quiet []int) {
	p.heardAt = c.now
	p.uptime = micros.Micros(a.UptimeUS)
	p.stateOK, p.withoutWorkers = a.StateOK, a.WithoutWorkers
	p.quota = a.Quota
	if a.Quota {
		c.enableQuota()
	}
	p.heard = map[string]bool{}
	for _, id := range a.Heard {
		p.heard[id] = true
	}
	return c.noteOwned(a.Owns)
}

func (c *Core) sendStatus(p *peerView) {
	if p.busy {
		p.nextAt = c.now
		return
	}
	p.busy = true
	p.nextAt = c.now + statusEvery
	st := &peer.Status{About: c.about(p)}
	if c.own.leader.rec.Label == p.label {
		st.Demand = c.demands()
		c.logRooms()
	}
	sent := st.Owns
	st.Gone = p.gone[:min(len(p.gone), maxNamed)]
	st.Record = c.askedOf(p)
	st.Cancelled = slices.Clone(p.cancelled[:min(len(p.cancelled), maxNamed)])
	if p.quota {
		st.Traces = c.openTraces()
	}
	told := len(st.Gone)
	c.call(Call{To: ToPeer, Addr: p.label, Req: peer.Request{From: c.cfg.Label, Status: st}, Timeout: statusEvery}, func(r Result) {
		p.busy = false
		resp, ok := r.Body.(*peer.Response)
		if !ok || r.Status != 200 || resp.Status == nil {
			return
		}
		p.gone = p.gone[min(told, len(p.gone)):]
		acknowledged := make(map[string]bool, len(st.Cancelled))
		for _, id := range st.Cancelled {
			acknowledged[id] = true
		}
		p.cancelled = slices.DeleteFunc(p.cancelled, func(id string) bool { return acknowledged[id] })
		c.noteAbout(p, &resp.Status.About)
		for _, id := range resp.Status.Quiet {
			for _, o := range sent {
				if o.Share == id && c.own.shares[id].mark == o.Mark {
					c.noteQuiet(c.own.shares[id], p.label)
				}
			}
		}
	})
}

// peerMessage answers another controller.
func (c *Core) peerMessage(in PeerMessage) {
	req, resp := in.Req, &peer.Response{From: c.cfg.Label}
	if req.Quota != nil {
		c.quotaRequest(in.Reply, *req.Quota)
		return
	}
	p := c.peers[req.From]
	if p == nil {
		c.answer(in.Reply, 404, nil, 0)
		return
	}
	switch {
	case req.Status != nil:
		p.statusAt = c.now
		quiet := c.noteAbout(p, &req.Status.About)
		if req.Status.Demand != nil || c.leading() {
			p.demand, p.demAt = req.Status.Demand, c.now
		}
		for _, id := range req.Status.Gone {
			c.machineReturned(id)
		}
		c.toldCancelled(p, req.Status.Cancelled)
		c.noteTraces(req.Status.Traces)
		c.askedToRecord(req.Status.Record, req.Status.Owns)
		resp.Status = &peer.StatusAck{About: c.about(p), Quiet: quiet}
	case req.Ask != nil:
		c.askedAbout(*req.Ask, func(a peer.Answer) {
			resp.Answer = &a
			c.answer(in.Reply, 200, resp, 0)
		})
		return
	case req.Hint != nil:
		var rec wire.JobRecord
		if err := wire.Decode(req.Hint.Record, &rec); err == nil && wire.ValidID(req.Hint.ID) {
			c.learnJob(req.Hint.ID, rec, req.Hint.Mark)
			resp.OK = true
		}
	case req.Release != nil:
		resp.OK = c.release(*req.Release)
	}
	c.answer(in.Reply, 200, resp, 0)
}

// askedAbout answers as the owner of a job, or with 503 if this node is not.
func (c *Core) askedAbout(a peer.Ask, done func(peer.Answer)) {
	if f, ok := c.jobs.final(a.ID); ok {
		done(finalAnswer(f))
		return
	}
	j := c.jobs.open[a.ID]
	if j == nil || !c.speaksFor(j) {
		if j != nil && a.Cancel {
			c.stopCancelledTasks(j)
		}
		if j == nil && a.Cancel && wire.ValidID(a.ID) {
			// The watch may not have brought it yet.
			c.readForUser(a.ID, func(status int) {
				_, over := c.jobs.final(a.ID)
				if k := c.jobs.open[a.ID]; status == 200 && (over || k != nil && k.run != nil) {
					c.askedAbout(a, done)
					return
				}
				done(peer.Answer{Status: 503})
			})
			return
		}
		done(peer.Answer{Status: 503})
		return
	}
	if a.Cancel {
		c.cancelJob(j, done)
		return
	}
	if j.run.ending || j.run.unsure || !c.mayWait(j) {
		done(peer.Answer{Status: 503})
		return
	}
	done(c.memoryAnswer(j))
}
