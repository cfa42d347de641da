package controller

import (
	"net/http"

	"garnethitch/internal/micros"
)

const (
	// startupGrace is how long a controller without the state service waits for it
	// before it is ready for users without it.
	startupGrace = 2 * micros.Second
	// maxStateSilence is how long the state service may be silent before other
	// controllers are better for users.
	maxStateSilence = 3 * micros.Second
)

// handleReadiness answers a load balancer whether to send users here.
func (c *Controller) handleReadiness(in ReadinessRequest) {
	status := http.StatusServiceUnavailable
	if c.readyForUsers() {
		status = http.StatusOK
	}
	c.answer(in.Reply, status, nil, 0)
}

// readyForUsers reports whether users' requests are to come here.
func (c *Controller) readyForUsers() bool {
	if c.ownership.jobWatch.Ready() && c.ownership.controlWatch.Ready() && c.types.known() {
		return c.servesUsers()
	}
	// Started while no controller has the state service: users are better off with a 503
	// and a time to come back than with no controller at all, which the balancer would
	// also remember for a while afterwards.
	return c.now-c.startedAt > startupGrace && !c.ownership.stateReachable() && !c.peerHasState()
}

// peerHasState reports whether another controller is up and has the state service.
func (c *Controller) peerHasState() bool {
	for _, p := range c.peers {
		if c.alive(p) && p.stateReachable {
			return true
		}
	}
	return false
}

// servesUsers reports whether this node can serve users as well as any other: not if it has lost
// the state service while another has not, but if all have lost it.
func (c *Controller) servesUsers() bool {
	if c.now-c.ownership.lastStateReplyAt < maxStateSilence {
		return true
	}
	if c.peerHasState() {
		return false
	}
	// No controller can be asked: one that is alone without the state service does not
	// serve users once its lease has expired, unless there are no others.
	return len(c.cfg.Peers) == 0 || c.anyPeerAlive() || c.ownership.leaseValid()
}

// anyPeerAlive reports whether another controller is up.
func (c *Controller) anyPeerAlive() bool {
	for _, p := range c.peers {
		if c.alive(p) {
			return true
		}
	}
	return false
}
