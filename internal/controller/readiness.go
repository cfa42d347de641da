package controller

import (
	"net/http"

	"garnethitch/internal/micros"
)

const (
	// startupGrace is how long after its start a controller waits for the state service before
	// it can report ready without it.
	startupGrace = 2 * micros.Second
	// maxStateSilence is the time without an answer of the state service after which requests
	// of users should go to other controllers.
	maxStateSilence = 3 * micros.Second
)

// handleReadiness answers a load balancer's readiness check: 200 if it is to send users' requests
// to this controller, else 503.
func (c *Controller) handleReadiness(in ReadinessRequest) {
	status := http.StatusServiceUnavailable
	if c.readyForUsers() {
		status = http.StatusOK
	}
	c.answer(in.Reply, status, nil, 0)
}

// readyForUsers reports whether users' requests are to be sent to this controller.
func (c *Controller) readyForUsers() bool {
	if c.ownership.jobWatch.Ready() && c.ownership.controlWatch.Ready() && c.types.known() {
		return c.servesUsers()
	}
	// This controller was started while no controller has the state service. Users are better off
	// with a 503 and a Retry-After than with no controller at all, and the load balancer would
	// treat the controllers as down for a while after the outage.
	return c.now-c.startedAt > startupGrace && !c.ownership.stateReachable() && !c.peerHasState()
}

// peerHasState reports whether another controller is alive and reaches the state service.
func (c *Controller) peerHasState() bool {
	for _, p := range c.peers {
		if c.alive(p) && p.stateReachable {
			return true
		}
	}
	return false
}

// servesUsers reports whether this node can serve users as well as any other controller. It can't
// if it has lost the state service while another has not. It can if all have lost it.
func (c *Controller) servesUsers() bool {
	if c.now-c.ownership.lastStateReplyAt < maxStateSilence {
		return true
	}
	if c.peerHasState() {
		return false
	}
	// If no other controller is alive, this one serves users without the state service only while
	// its lease is valid, unless no other controllers are configured.
	return len(c.cfg.Peers) == 0 || c.anyPeerAlive() || c.ownership.leaseValid()
}

// anyPeerAlive reports whether another controller is alive.
func (c *Controller) anyPeerAlive() bool {
	for _, p := range c.peers {
		if c.alive(p) {
			return true
		}
	}
	return false
}
