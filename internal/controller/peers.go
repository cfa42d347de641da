package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	// statusInterval is the time between two statuses sent to another controller.
	statusInterval = micros.Second
	// peerTimeout is how long a controller counts as alive after its last status or
	// acknowledgement.
	peerTimeout = 5 * statusInterval / 2
	// peerStatusOverdue is the maximum age of another controller's last status at which that
	// controller counts as the one of the pair that sends statuses; see peerSendsStatus.
	peerStatusOverdue = 6 * statusInterval / 5
	// stateReachablePeriod is how long the state service counts as reachable after its last answer.
	stateReachablePeriod = 5 * micros.Second / 2
	// misdirectedHeartbeatTTL is how long a misdirected heartbeat is reported to the owner of its
	// machine.
	misdirectedHeartbeatTTL = 10 * micros.Second
	// maxNamesPerStatus bounds the returned machines and the cancelled jobs named in one status,
	// each; the next status names the rest.
	maxNamesPerStatus = 500
	// maxMisdirectedNameBytes bounds the total size of the names of machines with misdirected
	// heartbeats in a message. The names show the machines' owner that it does not receive their
	// heartbeats; a part of them shows that as well as all of them.
	maxMisdirectedNameBytes = 192 << 10
	// nameOverheadBytes is the encoding overhead of a name in a message.
	nameOverheadBytes = 3
)

// peerView is what this node knows of another controller.
type peerView struct {
	label         string
	lastContactAt micros.Micros // when its last status or acknowledgement arrived
	// lastStatusAt is when its last status arrived. Its acknowledgements of this node's statuses do
	// not count.
	lastStatusAt       micros.Micros
	uptime             micros.Micros
	stateReachable     bool // the state service has responded to it recently
	workersUnreachable bool // it has lost contact with the workers
	enforcesQuota      bool // it enforces the quota of groups of teams
	// statusInFlight is set while a status sent to it has not been answered.
	statusInFlight bool
	nextStatusAt   micros.Micros
	demand         []peer.Demand
	demandAt       micros.Micros
	// misdirectedHeartbeats are the machines from which it recently received misdirected
	// heartbeats.
	misdirectedHeartbeats map[string]bool
	// pendingReturnedMachines and pendingCancellations are the returned machines and the cancelled
	// jobs that it has not acknowledged yet.
	pendingReturnedMachines []string
	pendingCancellations    []string
}

// maxPendingCancellations bounds the cancellations kept for a controller that cannot be reached. It
// is at least the number that the state service can record within the time limit of a cancellation.
// Beyond it the oldest are dropped: their tasks are gone by then.
func (sc *stepContext) maxPendingCancellations() int {
	recorded := int(sc.cfg.WriteRPS * sc.cfg.CancelWithin.Seconds())
	return max(10*maxNamesPerStatus, recorded+maxNamesPerStatus)
}

// broadcastCancellation notifies the other controllers of a cancellation until each has
// acknowledged it: the owner of the job may have lost the state service, and so not know that its
// own write of the cancellation was executed. The answer to the user does not wait for the
// broadcast.
func (c *Controller) broadcastCancellation(id string) {
	if !c.jobs.startBroadcast(id) {
		return
	}
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		p.pendingCancellations = append(p.pendingCancellations, id)
		if excess := len(p.pendingCancellations) - c.maxPendingCancellations(); excess > 0 {
			p.pendingCancellations = slices.Delete(p.pendingCancellations, 0, excess)
		}
	}
}

// applyBroadcastCancellations applies the cancellations that another controller has announced. They
// are on record, whatever the state service answers this node.
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
		if i := slices.Index(p.pendingCancellations, id); i >= 0 {
			// The other controller knows the cancellation already.
			p.pendingCancellations = slices.Delete(p.pendingCancellations, i, i+1)
		}
	}
}

// alive reports whether a status or acknowledgement of another controller arrived within
// peerTimeout. Time before the end of this node's last stall does not count.
func (sc *stepContext) alive(p *peerView) bool {
	contacted := p.lastContactAt > -micros.Never
	return contacted && sc.now-max(p.lastContactAt, sc.lastStalledAt) < peerTimeout
}

// stateReachable reports whether the state service answered this node within stateReachablePeriod.
func (o *ownershipState) stateReachable() bool {
	return o.now-o.lastStateReplyAt < stateReachablePeriod
}

// sendDueStatuses sends the statuses that are due, and drops misdirected heartbeats that are too
// old to report.
func (c *Controller) sendDueStatuses() {
	for _, label := range c.cfg.Peers {
		if p := c.peers[label]; c.now >= p.nextStatusAt && !c.peerUpToDate(p) {
			c.sendStatus(p)
		}
	}
	for id, at := range c.misdirectedHeartbeats {
		if c.now-at > misdirectedHeartbeatTTL || c.machines[id] == nil {
			delete(c.misdirectedHeartbeats, id)
		}
	}
}

// peerUpToDate reports whether another controller needs no status from this node: it keeps sending
// statuses, and the acknowledgements that this node returns contain all that a status would.
func (c *Controller) peerUpToDate(p *peerView) bool {
	return c.peerSendsStatus(p) && !c.hasPendingNotifications(p) && c.ownership.quiescedByPeer(p)
}

// peerSendsStatus reports whether, of this node and another controller, the other is the one that
// sends statuses, and that its next status is not overdue. If one of the two is the leader, the
// other one sends, because it reports its demand to the leader; otherwise the one whose label comes
// first sends.
func (c *Controller) peerSendsStatus(p *peerView) bool {
	if c.now-p.lastStatusAt > peerStatusOverdue {
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

// hasPendingNotifications reports whether a status would contain notifications. An acknowledgement
// of another controller's status carries none.
func (c *Controller) hasPendingNotifications(p *peerView) bool {
	return len(p.pendingReturnedMachines) > 0 || len(p.pendingCancellations) > 0 || len(c.recordRequestsFor(p)) > 0
}

// quiescedByPeer reports whether another controller has confirmed for all shards of this node that
// it issues no commands for them.
func (o *ownershipState) quiescedByPeer(p *peerView) bool {
	for _, s := range o.shards {
		if _, quiesced := s.quiescedPeers[p.label]; s.owned() && !quiesced {
			return false
		}
	}
	return true
}

// controllerStateFor returns this node's state for a message to another controller. It includes the
// shards for which this node acts, and the machines of the other's shards that sent heartbeats
// here.
func (c *Controller) controllerStateFor(p *peerView) peer.ControllerState {
	return peer.ControllerState{
		UptimeUS:            int64(c.now - c.startedAt),
		StateReachable:      c.ownership.stateReachable(),
		WorkersUnreachable:  c.workerContact.lost(),
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

// misdirectedMachinesOf lists the machines of another controller's shards that sent heartbeats
// here, as many as fit into a message.
func (c *Controller) misdirectedMachinesOf(p *peerView) (ids []string) {
	remainingBytes := maxMisdirectedNameBytes
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

// applyControllerState applies the state that another controller reports of itself. It returns the
// shards claimed by that controller for which this node issues no commands.
func (c *Controller) applyControllerState(p *peerView, state *peer.ControllerState) (quiesced []int) {
	p.lastContactAt = c.now
	p.uptime = micros.Micros(state.UptimeUS)
	p.stateReachable = state.StateReachable
	p.workersUnreachable = state.WorkersUnreachable
	p.enforcesQuota = state.EnforcesQuota
	if state.EnforcesQuota {
		c.enableQuota()
	}
	p.misdirectedHeartbeats = map[string]bool{}
	for _, id := range state.MisdirectedMachines {
		p.misdirectedHeartbeats[id] = true
	}
	return c.recordPeerClaims(state.Claims)
}

// sendStatus sends another controller a status. If one is in flight, the status is sent after it.
func (c *Controller) sendStatus(p *peerView) {
	if p.statusInFlight {
		p.nextStatusAt = c.now
		return
	}
	p.statusInFlight = true
	p.nextStatusAt = c.now + statusInterval
	status := c.statusFor(p)
	req := peer.Request{From: c.cfg.Label, Status: status}
	c.sendCall(Call{To: ToPeer, Addr: p.label, Req: req, Timeout: statusInterval}, func(r Result) {
		p.statusInFlight = false
		resp, ok := r.Body.(*peer.Response)
		if ok && r.Status == http.StatusOK && resp.Status != nil {
			c.handleStatusAck(p, status, resp.Status)
		}
	})
}

// statusFor returns the status to send to another controller.
func (c *Controller) statusFor(p *peerView) *peer.Status {
	status := &peer.Status{ControllerState: c.controllerStateFor(p)}
	if c.ownership.leader.owner.Label == p.label {
		status.Demand = c.demands()
		c.logFreeCapacities()
	}
	status.ReturnedMachines = p.pendingReturnedMachines[:min(len(p.pendingReturnedMachines), maxNamesPerStatus)]
	status.JobsToCancel = c.recordRequestsFor(p)
	status.Cancelled = slices.Clone(p.pendingCancellations[:min(len(p.pendingCancellations), maxNamesPerStatus)])
	if p.enforcesQuota {
		status.Traces = c.quota.openTraces()
	}
	return status
}

// handleStatusAck handles another controller's acknowledgement of a status.
func (c *Controller) handleStatusAck(p *peerView, sent *peer.Status, ack *peer.StatusAck) {
	p.pendingReturnedMachines = p.pendingReturnedMachines[min(len(sent.ReturnedMachines), len(p.pendingReturnedMachines)):]
	acknowledged := make(map[string]bool, len(sent.Cancelled))
	for _, id := range sent.Cancelled {
		acknowledged[id] = true
	}
	p.pendingCancellations = slices.DeleteFunc(p.pendingCancellations, func(id string) bool { return acknowledged[id] })
	c.applyControllerState(p, &ack.ControllerState)
	for _, id := range ack.QuiescedShards {
		for _, claim := range sent.Claims {
			if claim.Shard == id && c.ownership.shards[id].ownerEpoch == claim.OwnerEpoch {
				c.ownership.recordQuiescedPeer(c.ownership.shards[id], p.label)
			}
		}
	}
}
