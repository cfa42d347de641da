package controller

import (
	"net/http"

	"garnethitch/internal/micros"
)

// A controller that has lost the workers, but not the state service, would keep its shards for
// as long as that lasts while the leases of their machines run out. It can distinguish this from
// machines that have failed: the machines try the other controllers. It then releases its locks,
// and claims none before it reaches machines again.

const (
	// workerContactInterval is how often contact with the workers is checked.
	workerContactInterval = micros.Second / 2
	// workerProbeTimeout is how long one machine has to answer a probe.
	workerProbeTimeout = micros.Second
	// workerProbesNeeded is how many probes in a row must be answered before contact counts
	// as restored.
	workerProbesNeeded = 3
	// minSilentMachines is how many machines must be silent: a single one has failed itself.
	minSilentMachines = 2
)

// contactState is whether a node has contact with the workers.
type contactState int

const (
	// contactHeld means that heartbeats arrive.
	contactHeld contactState = iota
	// contactLost means that the locks have been released, and machines are probed.
	contactLost
)

// String returns the name of the state.
func (s contactState) String() string {
	if s == contactLost {
		return "lost"
	}
	return "held"
}

// workerContact is what a node knows of its contact with the workers.
type workerContact struct {
	state          contactState
	nextCheckAt    micros.Micros
	probeInFlight  bool
	answeredProbes int // in a row
	probeIndex     int // of the machine probed last, in order of name
}

// lost reports whether contact with the workers is lost.
func (w *workerContact) lost() bool { return w.state == contactLost }

// recordProbe takes the outcome of a probe, and reports whether it restores contact.
func (w *workerContact) recordProbe(answered bool) (restored bool) {
	w.probeInFlight = false
	if !answered {
		w.answeredProbes = 0
		return false
	}
	w.answeredProbes++
	if w.answeredProbes < workerProbesNeeded {
		return false
	}
	w.state = contactHeld
	return true
}

// heartbeatSilence counts the machines that this node commands, and those of them whose
// heartbeats are missing.
type heartbeatSilence struct {
	machines  int // all that have been commanded
	silent    int // without a heartbeat for longer than the timeout
	elsewhere int // silent ones that tried another controller recently
}

// mostSilent reports whether so many machines are silent that the cause may be this node.
func (h heartbeatSilence) mostSilent() bool {
	return h.silent >= minSilentMachines && 2*h.silent > h.machines
}

// nearlyAllSilent reports whether at least nine tenths of the machines are silent.
func (h heartbeatSilence) nearlyAllSilent() bool { return 10*h.silent >= 9*h.machines }

// mostTryElsewhere reports whether most of the silent machines tried another controller.
func (h heartbeatSilence) mostTryElsewhere() bool { return 2*h.elsewhere > h.silent }

// checkWorkerContact checks from time to time whether this node has lost the workers, or
// reaches them again.
func (c *Controller) checkWorkerContact() {
	w := &c.workerContact
	if c.now < w.nextCheckAt {
		return
	}
	w.nextCheckAt = c.now + workerContactInterval
	if w.lost() {
		c.probeWorkers()
		return
	}
	if silence := c.countSilence(); c.workersLost(silence) {
		c.loseWorkerContact(silence)
	}
}

// countSilence counts over the shards that this node commands.
func (c *Controller) countSilence() (h heartbeatSilence) {
	for _, s := range c.ownership.shards {
		if c.ownership.activeShard(s.id) == nil {
			continue
		}
		for _, m := range s.machines {
			if m.view == nil || m.view.neverCommanded {
				continue
			}
			h.machines++
			if c.sinceLastHeartbeat(m.view) <= c.heartbeatDeadlines.Timeout {
				continue
			}
			h.silent++
			if c.triesAnotherController(m) {
				h.elsewhere++
			}
		}
	}
	return h
}

// triesAnotherController reports whether a controller with workers has had heartbeats of a
// machine recently.
func (c *Controller) triesAnotherController(m *machine) bool {
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		if c.hasWorkers(p) && p.misdirectedHeartbeats[m.id] {
			return true
		}
	}
	return false
}

// hasWorkers reports whether another controller is alive and in contact with the workers.
func (c *Controller) hasWorkers(p *peerView) bool { return c.alive(p) && !p.withoutWorkers }

// workersLost reports whether silence shows that this node does not reach the workers, rather
// than that the machines have failed.
func (c *Controller) workersLost(silence heartbeatSilence) bool {
	if !silence.mostSilent() {
		return false
	}
	if c.anyPeerAlive() {
		return silence.mostTryElsewhere()
	}
	// No peer can be asked. That nearly all machines have fallen silent while the state service
	// answers is rather a fault of this node's network than of all of theirs; and if it is not,
	// nothing is lost by releasing the locks.
	hasPeers := len(c.cfg.Peers) > 0
	return hasPeers && silence.nearlyAllSilent() && c.ownership.stateReachable()
}

// loseWorkerContact releases all locks to the other controllers.
func (c *Controller) loseWorkerContact(silence heartbeatSilence) {
	c.log(Info, "workers are unreachable from here, releasing locks", "silent", silence.silent, "machines", silence.machines, "elsewhere", silence.elsewhere)
	c.workerContact.state = contactLost
	c.workerContact.answeredProbes = 0
	for _, s := range c.ownership.shards {
		if s.ownership == shardOwned && c.ownership.holdsLock(&s.lock) {
			c.releaseShard(s)
		}
	}
	c.ownership.stepDownAsLeader()
}

// probeWorkers asks one machine after the other whether it can be reached again. Without
// machines there is no contact that could be lost.
func (c *Controller) probeWorkers() {
	w := &c.workerContact
	if w.probeInFlight {
		return
	}
	ids := sortedKeys(c.machines)
	if len(ids) == 0 {
		w.state = contactHeld
		return
	}
	w.probeIndex = (w.probeIndex + 1) % len(ids)
	w.probeInFlight = true
	addr := c.machines[ids[w.probeIndex]].rec.Addr
	c.sendCall(Call{To: ToWorker, Addr: addr, Req: GetHeartbeat{}, Timeout: workerProbeTimeout}, func(r Result) {
		if w.recordProbe(r.Status == http.StatusOK) {
			c.log(Info, "workers are reachable again")
		}
	})
}
