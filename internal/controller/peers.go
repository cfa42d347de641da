package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	// statusInterval is the time between two statuses to another controller.
	statusInterval = micros.Second
	// peerTimeout is how long a controller that is silent counts as up.
	peerTimeout = 5 * statusInterval / 2
	// peerStatusOverdue is how far another controller's own statuses may be apart for it to
	// count as the one that sends them; see peerAsks.
	peerStatusOverdue = 6 * statusInterval / 5
	// stateFreshFor is how long the state service counts as up after its last answer.
	stateFreshFor = 5 * micros.Second / 2
	// misdirectedFor is how long a heartbeat that belongs elsewhere is reported to the
	// owner of its machine.
	misdirectedFor = 10 * micros.Second
	// maxNamed bounds how many returned machines, and how many cancelled jobs, one message
	// names; the rest is named in the next.
	maxNamed = 500
	// maxMisdirectedBytes bounds the names of machines in a message that sent their
	// heartbeats here. They show their owner that it does not receive them; as many as fit
	// show that as well as all.
	maxMisdirectedBytes = 192 << 10
	// nameOverheadBytes is what a name in a message takes beside its letters.
	nameOverheadBytes = 3
)

// peerView is what this node knows of another controller.
type peerView struct {
	label         string
	lastContactAt micros.Micros // when its last message came
	// statusAt is when its last own status came, answers to this node's excepted.
	statusAt       micros.Micros
	uptime         micros.Micros
	stateOK        bool // it has the state service
	withoutWorkers bool
	quota          bool // it has quota groups
	// statusInFlight is set while a status to it is not answered.
	statusInFlight bool
	nextStatusAt   micros.Micros
	demand         []peer.Demand
	demandAt       micros.Micros
	// misdirectedHeartbeats are machines that sent it heartbeats recently.
	misdirectedHeartbeats map[string]bool
	// returnedMachines and cancelled are returned machines and cancelled jobs of which it
	// is yet to be notified.
	returnedMachines []string
	cancelled        []string
}

// maxCancelled bounds the cancellations of which a controller that can't be reached is yet to
// be notified: as many as the state service records within the time that a cancellation has.
// Past it the oldest are dropped: their tasks are gone by then.
func (sc *stepContext) maxCancelled() int {
	recorded := int(sc.cfg.WriteRPS * sc.cfg.Cancel.Seconds())
	return max(10*maxNamed, recorded+maxNamed)
}

// broadcastCancellation notifies the other controllers of a cancellation, until each has
// acknowledged: the owner of the job may have lost the state service, and so not know that
// its own record of it was written. No user's answer waits for that.
func (c *Controller) broadcastCancellation(id string) {
	if !c.jobs.startBroadcast(id) {
		return
	}
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		p.cancelled = append(p.cancelled, id)
		if excess := len(p.cancelled) - c.maxCancelled(); excess > 0 {
			p.cancelled = slices.Delete(p.cancelled, 0, excess)
		}
	}
}

// applyBroadcastCancellations takes the cancellations that another controller notifies of: they
// are on record, whatever the state service answers this one.
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
			p.cancelled = slices.Delete(p.cancelled, i, i+1) // it has recorded that itself
		}
	}
}

// alive reports whether a message of another controller came within peerTimeout. A time in
// which this node itself was stalled does not count against others.
func (sc *stepContext) alive(p *peerView) bool {
	contacted := p.lastContactAt > -micros.Never
	return contacted && sc.now-max(p.lastContactAt, sc.lastStalledAt) < peerTimeout
}

// stateFresh reports whether the state service answered this node recently.
func (o *ownershipState) stateFresh() bool { return o.now-o.lastStateReplyAt < stateFreshFor }

// maintainPeers sends the statuses that are due.
func (c *Controller) maintainPeers() {
	for _, label := range c.cfg.Peers {
		if p := c.peers[label]; c.now >= p.nextStatusAt && !c.peerUpToDate(p) {
			c.sendStatus(p)
		}
	}
	for id, at := range c.misdirectedHeartbeats {
		if c.now-at > misdirectedFor || c.machines[id] == nil {
			delete(c.misdirectedHeartbeats, id)
		}
	}
}

// peerUpToDate reports whether another controller needs no status: its own keep coming, and
// the answers to them say all that a status of this node would.
func (c *Controller) peerUpToDate(p *peerView) bool {
	return c.peerAsks(p) && !c.hasNotificationsFor(p) && c.ownership.quiescedByPeer(p)
}

// peerAsks reports whether, of this node and another controller, the other is the one that
// sends statuses, and does so: the one that is not the leader, since it has its demand to
// send, else the first by name.
func (c *Controller) peerAsks(p *peerView) bool {
	if c.now-p.statusAt > peerStatusOverdue {
		return false
	}
	switch c.ownership.leader.owner.Label {
	case p.label:
		return false
	case c.cfg.Label:
		return true
	default:
		return p.label <= c.cfg.Label
	}
}

// hasNotificationsFor reports whether a status would say what no answer to another
// controller's status does.
func (c *Controller) hasNotificationsFor(p *peerView) bool {
	return len(p.returnedMachines) > 0 || len(p.cancelled) > 0 || len(c.recordRequestsFor(p)) > 0
}

// quiescedByPeer reports whether another controller has said of all shards of this node that
// it issues no commands there.
func (o *ownershipState) quiescedByPeer(p *peerView) bool {
	for _, s := range o.shards {
		if _, quiesced := s.quiescedPeers[p.label]; s.owned() && !quiesced {
			return false
		}
	}
	return true
}

// about returns what this node says of itself to another controller: among the rest the shards
// for which it acts, and the machines of the other's shards that sent heartbeats here.
func (c *Controller) about(p *peerView) peer.ControllerState {
	return peer.ControllerState{
		UptimeUS:            int64(c.now - c.startedAt),
		StateServiceOK:      c.ownership.stateFresh(),
		WithoutWorkers:      c.contact.lost(),
		EnforcesQuota:       c.quota.ledger != nil,
		Claims:              c.ownership.shardClaims(),
		MisdirectedMachines: c.misdirectedMachinesOf(p),
	}
}

// shardClaims lists the shards for which this node acts.
func (o *ownershipState) shardClaims() (claims []peer.ShardClaim) {
	for _, s := range o.shards {
		if o.activeShard(s.id) != nil {
			claims = append(claims, peer.ShardClaim{Shard: s.id, OwnerEpoch: s.ownerEpoch})
		}
	}
	return claims
}

// misdirectedMachinesOf lists the machines of another controller's shards that sent their
// heartbeats here, as many as fit into a message.
func (c *Controller) misdirectedMachinesOf(p *peerView) (ids []string) {
	remainingBytes := maxMisdirectedBytes
	for _, id := range sortedKeys(c.misdirectedHeartbeats) {
		m := c.machines[id]
		if m == nil || c.ownership.shards[m.rec.Shard].owner.Label != p.label {
			continue
		}
		if remainingBytes > len(id) {
			remainingBytes -= len(id) + nameOverheadBytes
			ids = append(ids, id)
		}
	}
	return ids
}

// applyAbout takes what another controller says of itself, and returns the shards of its for
// which this node issues no commands.
func (c *Controller) applyAbout(p *peerView, a *peer.ControllerState) (quiesced []int) {
	p.lastContactAt = c.now
	p.uptime = micros.Micros(a.UptimeUS)
	p.stateOK = a.StateServiceOK
	p.withoutWorkers = a.WithoutWorkers
	p.quota = a.EnforcesQuota
	if a.EnforcesQuota {
		c.enableQuota()
	}
	p.misdirectedHeartbeats = map[string]bool{}
	for _, id := range a.MisdirectedMachines {
		p.misdirectedHeartbeats[id] = true
	}
	return c.recordPeerClaims(a.Claims)
}

// sendStatus sends another controller a status, unless one is in flight.
func (c *Controller) sendStatus(p *peerView) {
	if p.statusInFlight {
		p.nextStatusAt = c.now
		return
	}
	p.statusInFlight = true
	p.nextStatusAt = c.now + statusInterval
	status := c.statusFor(p)
	req := peer.Request{From: c.cfg.Label, Status: status}
	c.call(Call{To: ToPeer, Addr: p.label, Req: req, Timeout: statusInterval}, func(r Result) {
		p.statusInFlight = false
		resp, ok := r.Body.(*peer.Response)
		if ok && r.Status == http.StatusOK && resp.Status != nil {
			c.handleStatusAck(p, status, resp.Status)
		}
	})
}

// statusFor returns the status for another controller.
func (c *Controller) statusFor(p *peerView) *peer.Status {
	status := &peer.Status{ControllerState: c.about(p)}
	if c.ownership.leader.owner.Label == p.label {
		status.Demand = c.demands()
		c.logFreeCapacities()
	}
	status.ReturnedMachines = p.returnedMachines[:min(len(p.returnedMachines), maxNamed)]
	status.JobsToCancel = c.recordRequestsFor(p)
	status.Cancelled = slices.Clone(p.cancelled[:min(len(p.cancelled), maxNamed)])
	if p.quota {
		status.Traces = c.quota.openTraces()
	}
	return status
}

// handleStatusAck takes another controller's answer to a status.
func (c *Controller) handleStatusAck(p *peerView, sent *peer.Status, ack *peer.StatusAck) {
	p.returnedMachines = p.returnedMachines[min(len(sent.ReturnedMachines), len(p.returnedMachines)):]
	acknowledged := make(map[string]bool, len(sent.Cancelled))
	for _, id := range sent.Cancelled {
		acknowledged[id] = true
	}
	p.cancelled = slices.DeleteFunc(p.cancelled, func(id string) bool { return acknowledged[id] })
	c.applyAbout(p, &ack.ControllerState)
	for _, id := range ack.QuiescedShards {
		for _, claim := range sent.Claims {
			if claim.Shard == id && c.ownership.shards[id].ownerEpoch == claim.OwnerEpoch {
				c.ownership.recordQuiescedPeer(c.ownership.shards[id], p.label)
			}
		}
	}
}
