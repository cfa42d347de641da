package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// The leader's requests to the owners of shards to release machines.

const (
	// releaseRepeatInterval is the time between two requests for one machine.
	releaseRepeatInterval = 2 * micros.Second
	// releaseTimeout is how long an owner has to answer a request.
	releaseTimeout = micros.Second
)

// machineMoves holds the releases of machines that the leader requests from the owners of their
// shards, and the machines that it has drained before they move or are returned.
type machineMoves struct {
	releaseRequestedAt map[string]micros.Micros // when the release of a machine was last requested
	releaseRequests    []releaseRequest         // not sent yet
	plannedMoves       map[string]plannedMove   // by machine ID
}

// reset clears all requests and planned moves.
func (m *machineMoves) reset() {
	m.releaseRequestedAt = map[string]micros.Micros{}
	m.releaseRequests = nil
	m.plannedMoves = map[string]plannedMove{}
}

// releaseRequest is a request to the owner of one machine's shard to release the machine.
type releaseRequest struct {
	machine string
	peer.Release
}

// requestMachineRelease queues a request to release a machine, unless one was made less than
// releaseRepeatInterval ago.
func (c *Controller) requestMachineRelease(id string, r peer.Release) {
	f := &c.fleet
	m := c.machines[id]
	requestedAt := f.releaseRequestedAt[id]
	if m == nil || requestedAt != 0 && c.now < requestedAt+releaseRepeatInterval {
		return
	}
	f.releaseRequestedAt[id] = c.now
	if r.Cordon {
		r.ToShard = m.rec.Shard
	}
	f.releaseRequests = append(f.releaseRequests, releaseRequest{id, r})
}

// releaseKey holds what the requests in one message have in common.
type releaseKey struct {
	from, to            int // shards
	cordon, drain, save bool
}

// sendReleases sends the queued requests. Requests with the same releaseKey go in one message.
func (c *Controller) sendReleases() {
	byKey := map[releaseKey]*peer.Release{}
	var keys []releaseKey
	for _, request := range c.fleet.releaseRequests {
		m := c.machines[request.machine]
		if m == nil {
			continue
		}
		key := releaseKey{m.rec.Shard, request.ToShard, request.Cordon, request.Drain, request.Save}
		r := byKey[key]
		if r == nil {
			r = &peer.Release{Cordon: request.Cordon, Drain: request.Drain, Save: request.Save, ToShard: request.ToShard}
			byKey[key] = r
			keys = append(keys, key)
		}
		r.Machines = append(r.Machines, request.machine)
	}
	c.fleet.releaseRequests = nil
	for _, key := range keys {
		c.sendReleaseRequest(c.ownership.shards[key.from], byKey[key])
	}
}

// sendReleaseRequest sends a request to the owner of a shard, or carries it out if that is this
// node.
func (c *Controller) sendReleaseRequest(s *shard, r *peer.Release) {
	if c.ownership.activeShard(s.id) != nil {
		c.release(*r)
		return
	}
	if p := c.peers[s.owner.Label]; p != nil {
		request := peer.Request{From: c.cfg.Label, Release: r}
		c.sendCall(Call{To: ToPeer, Addr: p.label, Req: request, Timeout: releaseTimeout}, func(Result) {})
	}
}
