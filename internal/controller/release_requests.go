package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// The leader's requests to the owners of shards to release machines.

const (
	// releaseRepeatInterval is the time between two requests for one machine.
	releaseRepeatInterval = 2 * micros.Second
	// releaseTimeout bounds a request to an owner.
	releaseTimeout = micros.Second
)

// machineMoves are the machines that their owners are asked to release.
type machineMoves struct {
	releaseRequestedAt map[string]micros.Micros // when the owner was last asked
	releaseRequests    []releaseRequest         // to be sent
	plannedMoves       map[string]plannedMove
}

// reset forgets all moves.
func (m *machineMoves) reset() {
	m.releaseRequestedAt = map[string]micros.Micros{}
	m.releaseRequests = nil
	m.plannedMoves = map[string]plannedMove{}
}

// releaseRequest is one machine that its owner is asked to release.
type releaseRequest struct {
	machine string
	peer.Release
}

// requestMachineRelease notes that a machine's owner is to be asked to release it, unless it was
// asked a short time ago.
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

// releaseKey is what the requests of one message have in common.
type releaseKey struct {
	from, to            int // shards
	retire, drain, save bool
}

// sendReleases asks the owners, in one message for requests that are alike.
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

// sendReleaseRequest asks the owner of a shard to release machines.
func (c *Controller) sendReleaseRequest(s *shard, r *peer.Release) {
	if c.ownership.activeShard(s.id) != nil {
		c.release(*r)
		return
	}
	if p := c.peers[s.owner.Label]; p != nil {
		request := peer.Request{From: c.cfg.Label, Release: r}
		c.call(Call{To: ToPeer, Addr: p.label, Req: request, Timeout: releaseTimeout}, func(Result) {})
	}
}
