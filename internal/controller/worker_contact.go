package controller

import (
	"net/http"

	"garnethitch/internal/micros"
)

// A controller that has lost contact with the workers, but not with the state service, would keep
// its shards while the leases of their machines run out. It can distinguish this from a failure of
// the machines, because these then try the other controllers. In this case it releases its locks,
// and claims none until it reaches machines again.

const (
	// workerContactInterval is how often contact with the workers is checked.
	workerContactInterval = micros.Second / 2
	// workerProbeTimeout is how long a machine has to answer a probe.
	workerProbeTimeout = micros.Second
	// workerProbesNeeded is how many probes in a row must be answered before contact is
	// considered restored.
	workerProbesNeeded = 3
	// minSilentMachines is how many machines must be silent for contact to be considered lost: if
	// only one is, that machine has failed.
	minSilentMachines = 2
)

// contactState says whether this node has contact with the workers.
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

// workerContact is the state of this node's contact with the workers.
type workerContact struct {
	state          contactState
	nextCheckAt    micros.Micros
	probeInFlight  bool
	answeredProbes int // number of consecutive probes that were answered
	probeIndex     int // index of the machine probed last, in the order of the IDs
}

// lost reports whether contact with the workers is lost.
func (w *workerContact) lost() bool { return w.state == contactLost }

// recordProbe records the outcome of a probe, and reports whether it restores contact.
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

// heartbeatSilence counts the machines in the shards that this node commands, and those of them
// whose heartbeats are missing.
type heartbeatSilence struct {
	machines  int // machines that have been or may have been commanded
	silent    int // machines without a heartbeat for longer than the timeout
	elsewhere int // silent machines that tried another controller recently
}

// mostSilent reports whether most machines are silent, and at least minSilentMachines: the cause
// may then be this node.
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

// countSilence counts the machines of the shards that this node commands.
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

// triesAnotherController reports whether another controller in contact with the workers has received
// heartbeats of a machine recently.
func (c *Controller) triesAnotherController(m *machine) bool {
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		if c.reachesWorkers(p) && p.misdirectedHeartbeats[m.id] {
			return true
		}
	}
	return false
}

// reachesWorkers reports whether another controller is alive and in contact with the workers.
func (c *Controller) reachesWorkers(p *peerView) bool { return c.alive(p) && !p.workersUnreachable }

// workersLost reports whether the silence shows that this node has lost contact with the workers,
// rather than that the machines have failed.
func (c *Controller) workersLost(silence heartbeatSilence) bool {
	if !silence.mostSilent() {
		return false
	}
	if c.anyPeerAlive() {
		return silence.mostTryElsewhere()
	}
	// No peer is alive that could have received their heartbeats. If nearly all machines are silent
	// while the state service answers, a fault of this node's network is more likely than one of
	// all machines. If it is not the cause, nothing is lost by releasing the locks.
	hasPeers := len(c.cfg.Peers) > 0
	return hasPeers && silence.nearlyAllSilent() && c.ownership.stateReachable()
}

// loseWorkerContact sets contact to lost, and releases all locks so that other controllers can claim
// them.
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

// probeWorkers probes the next machine in turn, to find out whether the workers can be reached
// again. If there are no machines, it sets contact to held.
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
