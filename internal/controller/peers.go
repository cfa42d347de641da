package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// peerView is what this node knows of another controller.
type peerView struct {
	label       string
	lastHeardAt micros.Micros
	// statusAt is when its last own Status came, beside answers to ours.
	statusAt              micros.Micros
	uptime                micros.Micros
	stateOK               bool
	withoutWorkers        bool
	quota                 bool // it keeps groups
	busy                  bool
	nextAt                micros.Micros
	demand                []peer.Demand
	demandAt              micros.Micros
	misdirectedHeartbeats map[string]bool // machines that tried it of late
	returnedMachines      []string        // returned machines that it has not been told of
	// cancelled are jobs of whose cancellation it has not been told.
	cancelled []string
}

const statusInterval = micros.Second

// maxNamed bounds how many returned machines, and how many cancelled jobs, one message
// names; the rest stands in the next.
const maxNamed = 500

// maxHeardBytes bounds the names of machines that tried this controller. They show the
// other one that it does not hear its workers; as many as fit show that as well as all.
const maxHeardBytes = 192 << 10

// maxCancelled bounds the cancellations that a controller out of reach is yet to be told
// of: as many as the state service records within the time that a cancellation has. Past it
// the oldest go first: tasks of theirs are gone by then.
func (c *Controller) maxCancelled() int {
	return max(10*maxNamed, int(c.cfg.WriteRPS*c.cfg.Cancel.Seconds())+maxNamed)
}

// broadcastCancellation tells the other controllers of a cancellation, until each has
// acknowledged: the owner of the job may have lost the state service, and so not know
// that its own record of it was carried out. No user's answer waits for that.
func (c *Controller) broadcastCancellation(id string) {
	if !c.jobs.startBroadcast(id) {
		return
	}
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		p.cancelled = append(p.cancelled, id)
		if over := len(p.cancelled) - c.maxCancelled(); over > 0 {
			p.cancelled = slices.Delete(p.cancelled, 0, over)
		}
	}
}

// applyBroadcastCancellations takes what another controller says of cancellations: they stand on
// record, whatever the state service tells this one.
func (c *Controller) applyBroadcastCancellations(p *peerView, ids []string) {
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
func (c *Controller) alive(p *peerView) bool {
	return p.lastHeardAt > -micros.Never && c.now-max(p.lastHeardAt, c.lastStalledAt) < 5*statusInterval/2
}

// stateFresh: the state service answered this node of late.
func (c *Controller) stateFresh() bool { return c.now-c.ownership.lastStateReplyAt < 5*micros.Second/2 }

func (c *Controller) maintainPeers() {
	for _, label := range c.cfg.Peers {
		if p := c.peers[label]; c.now >= p.nextAt && !c.peerUpToDate(p) {
			c.sendStatus(p)
		}
	}
	for id, at := range c.misdirectedHeartbeats {
		if c.now-at > 10*micros.Second || c.machines[id] == nil {
			delete(c.misdirectedHeartbeats, id)
		}
	}
}

// peerUpToDate: the other node's own Status keeps coming, and its answers tell it all
// that ours would. Of two nodes one then does the asking: who is not the leader,
// since it has its demand to tell, else the first by name.
func (c *Controller) peerUpToDate(p *peerView) bool {
	leader := c.ownership.leader.owner.Label
	if c.now-p.statusAt > statusInterval*6/5 || len(p.returnedMachines) > 0 || len(p.cancelled) > 0 || len(c.recordRequestsFor(p)) > 0 || leader == p.label || leader != c.cfg.Label && c.cfg.Label < p.label {
		return false
	}
	for _, s := range c.ownership.shards {
		if _, quiesced := s.quiescedPeers[p.label]; s.active && !quiesced {
			return false // it has not said yet that it gives no commands there
		}
	}
	return true
}

// about is what this node tells another of itself: the shards for which it acts,
// and the machines of the other's shards that tried it of late, among the rest.
func (c *Controller) about(p *peerView) peer.About {
	out := peer.About{UptimeUS: int64(c.now - c.startedAt), StateOK: c.stateFresh(), WithoutWorkers: c.contact.lost, Quota: c.quota.ledger != nil}
	for _, s := range c.ownership.shards {
		if c.activeShard(s.id) != nil {
			out.Claims = append(out.Claims, peer.ShardClaim{Shard: s.id, OwnerEpoch: s.ownerEpoch})
		}
	}
	remainingBytes := maxHeardBytes
	for _, id := range sortedKeys(c.misdirectedHeartbeats) {
		if m := c.machines[id]; m != nil && c.ownership.shards[m.rec.Shard].owner.Label == p.label && remainingBytes > len(id) {
			remainingBytes -= len(id) + 3
			out.MisdirectedMachines = append(out.MisdirectedMachines, id)
		}
	}
	return out
}

// noteAbout takes what another node tells of itself, and gives the shards of its
// for which this node gives no commands.
func (c *Controller) noteAbout(p *peerView, a *peer.About) (quiesced []int) {
	p.lastHeardAt = c.now
	p.uptime = micros.Micros(a.UptimeUS)
	p.stateOK, p.withoutWorkers = a.StateOK, a.WithoutWorkers
	p.quota = a.Quota
	if a.Quota {
		c.enableQuota()
	}
	p.misdirectedHeartbeats = map[string]bool{}
	for _, id := range a.MisdirectedMachines {
		p.misdirectedHeartbeats[id] = true
	}
	return c.recordPeerClaims(a.Claims)
}

func (c *Controller) sendStatus(p *peerView) {
	if p.busy {
		p.nextAt = c.now
		return
	}
	p.busy = true
	p.nextAt = c.now + statusInterval
	st := &peer.Status{About: c.about(p)}
	if c.ownership.leader.owner.Label == p.label {
		st.Demand = c.demands()
		c.logFreeCapacities()
	}
	sent := st.Claims
	st.ReturnedMachines = p.returnedMachines[:min(len(p.returnedMachines), maxNamed)]
	st.Record = c.recordRequestsFor(p)
	st.Cancelled = slices.Clone(p.cancelled[:min(len(p.cancelled), maxNamed)])
	if p.quota {
		st.Traces = c.openTraces()
	}
	sentReturned := len(st.ReturnedMachines)
	c.call(Call{To: ToPeer, Addr: p.label, Req: peer.Request{From: c.cfg.Label, Status: st}, Timeout: statusInterval}, func(r Result) {
		p.busy = false
		resp, ok := r.Body.(*peer.Response)
		if !ok || r.Status != http.StatusOK || resp.Status == nil {
			return
		}
		p.returnedMachines = p.returnedMachines[min(sentReturned, len(p.returnedMachines)):]
		acknowledged := make(map[string]bool, len(st.Cancelled))
		for _, id := range st.Cancelled {
			acknowledged[id] = true
		}
		p.cancelled = slices.DeleteFunc(p.cancelled, func(id string) bool { return acknowledged[id] })
		c.noteAbout(p, &resp.Status.About)
		for _, id := range resp.Status.QuiescedShards {
			for _, o := range sent {
				if o.Shard == id && c.ownership.shards[id].ownerEpoch == o.OwnerEpoch {
					c.recordQuiescedPeer(c.ownership.shards[id], p.label)
				}
			}
		}
	})
}

// handlePeerRequest answers another controller.
func (c *Controller) handlePeerRequest(in PeerRequest) {
	req, resp := in.Req, &peer.Response{From: c.cfg.Label}
	if req.Quota != nil {
		c.quotaRequest(in.Reply, *req.Quota)
		return
	}
	p := c.peers[req.From]
	if p == nil {
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	switch {
	case req.Status != nil:
		p.statusAt = c.now
		quiesced := c.noteAbout(p, &req.Status.About)
		if req.Status.Demand != nil || c.leading() {
			p.demand, p.demandAt = req.Status.Demand, c.now
		}
		for _, id := range req.Status.ReturnedMachines {
			c.machineReturned(id)
		}
		c.applyBroadcastCancellations(p, req.Status.Cancelled)
		c.noteTraces(req.Status.Traces)
		c.takeRecordRequests(req.Status.Record, req.Status.Claims)
		resp.Status = &peer.StatusAck{About: c.about(p), QuiescedShards: quiesced}
	case req.Ask != nil:
		c.askedAbout(*req.Ask, func(a peer.Answer) {
			resp.Answer = &a
			c.answer(in.Reply, http.StatusOK, resp, 0)
		})
		return
	case req.JobRecordHint != nil:
		var rec wire.JobRecord
		if err := wire.Decode(req.JobRecordHint.Record, &rec); err == nil && wire.ValidID(req.JobRecordHint.ID) {
			c.learnJob(req.JobRecordHint.ID, rec, req.JobRecordHint.ModRevision)
			resp.OK = true
		}
	case req.Release != nil:
		resp.OK = c.release(*req.Release)
	}
	c.answer(in.Reply, http.StatusOK, resp, 0)
}

// askedAbout answers as the owner of a job, or with 503 if this node is not.
func (c *Controller) askedAbout(a peer.Ask, done func(peer.Answer)) {
	if f, ok := c.jobs.final(a.ID); ok {
		done(f.answer())
		return
	}
	j := c.jobs.open[a.ID]
	if j == nil || !c.mayAnswerFromMemory(j) {
		if j != nil && a.Cancel {
			c.stopCancelledTasks(j)
		}
		if j == nil && a.Cancel && wire.ValidID(a.ID) {
			// The watch may not have brought it yet.
			c.readForUser(a.ID, func(found jobLookup) {
				_, over := c.jobs.final(a.ID)
				if k := c.jobs.open[a.ID]; found == lookupFound && (over || k != nil && k.run != nil) {
					c.askedAbout(a, done)
					return
				}
				done(peer.Answer{Status: http.StatusServiceUnavailable})
			})
			return
		}
		done(peer.Answer{Status: http.StatusServiceUnavailable})
		return
	}
	if a.Cancel {
		c.cancelJob(j, done)
		return
	}
	if j.run.end.unresolved() || !c.mayWait(j) {
		done(peer.Answer{Status: http.StatusServiceUnavailable})
		return
	}
	done(c.memoryAnswer(j))
}
