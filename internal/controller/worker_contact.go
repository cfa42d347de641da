package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A controller that has lost the workers, but not the state service, would hold
// its shards for as long as that lasts while their machines' leases run out.
// What tells it from machines that are gone is that the machines try the other
// controllers. It then lets its locks go, and takes none on before it reaches
// machines again.

// workerContact is whether this node hears the workers.
type workerContact struct {
	lost       bool
	next       micros.Micros
	busy       bool
	good       int // probes answered in a row
	probeIndex int
}

func (c *Controller) checkWorkerContact() {
	e := &c.contact
	if c.now < e.next {
		return
	}
	e.next = c.now + micros.Second/2
	if e.lost {
		c.probe()
		return
	}
	silent, elsewhere, all := 0, 0, 0
	for _, s := range c.ownership.shards {
		if c.activeShard(s.id) == nil {
			continue
		}
		for _, m := range s.machines {
			if m.view == nil || m.view.neverCommanded {
				continue
			}
			all++
			if c.sinceLastHeartbeat(m.view) <= c.heartbeatTimeout() {
				continue
			}
			silent++
			for _, label := range c.cfg.Peers {
				if p := c.peers[label]; c.alive(p) && !p.withoutWorkers && p.misdirectedHeartbeats[m.id] {
					elsewhere++
					break
				}
			}
		}
	}
	if silent < 2 || 2*silent <= all {
		return
	}
	if c.anyPeerAlive() {
		if 2*elsewhere <= silent {
			return
		}
	} else if len(c.cfg.Peers) == 0 || 10*silent < 9*all || !c.stateFresh() {
		// No peer can be asked. That nearly all machines have fallen silent while the
		// state service answers is rather this node's network than all of theirs; and
		// if it is not, nothing is lost (peers refused and workers lost at a time: a
		// node held its shard for 50 s while 10,000 tasks ended with their machines'
		// leases).
		return
	}
	c.log(Info, "workers are unreachable from here, releasing locks", "silent", silent, "machines", all, "elsewhere", elsewhere)
	e.lost, e.good = true, 0
	for _, s := range c.ownership.shards {
		if s.active && !s.releasing && c.isMine(&s.lock) {
			c.releaseShard(s)
		}
	}
	if l := &c.ownership.leader; c.isMine(l) {
		c.ownership.steppedDownEpoch = l.ownerEpoch
		c.releaseLock(l, wire.KeyLeader)
	}
}

// probe asks one machine after the other whether it can be reached again.
func (c *Controller) probe() {
	e := &c.contact
	ids := sortedKeys(c.machines)
	if e.busy {
		return
	}
	if len(ids) == 0 {
		e.lost = false
		return
	}
	e.probeIndex = (e.probeIndex + 1) % len(ids)
	e.busy = true
	c.call(Call{To: ToWorker, Addr: c.machines[ids[e.probeIndex]].rec.Addr, Req: GetHeartbeat{}, Timeout: micros.Second}, func(r Result) {
		e.busy = false
		if r.Status != http.StatusOK {
			e.good = 0
			return
		}
		if e.good++; e.good >= 3 {
			e.lost = false
			c.log(Info, "workers are reachable again")
		}
	})
}
