package controller

import (
	"garnethitch/internal/peer"
)

// maintainMachines runs the periodic work on the shards that this node owns and on their machines.
func (c *Controller) maintainMachines() {
	c.commandQueue.resetProbes()
	for _, s := range c.ownership.shards {
		if s.owned() && !s.jobsViewCurrent && c.ownership.leaseValid() {
			c.refreshJobsView(s)
		}
		if c.ownership.activeShard(s.id) == nil {
			continue
		}
		c.splitOneRecordSet(s)
		c.releaseByPlan(c.maintainShardMachines(s))
		if s.owned() && !s.checkpointsLoaded && !s.loadingCheckpoints && c.ownership.leaseValid() {
			c.loadCheckpoints(s)
		}
	}
}

// maintainShardMachines maintains a shard's machines and returns those that are to be
// released now.
func (c *Controller) maintainShardMachines(s *shard) []*machine {
	var ready []*machine
	for _, m := range s.machines {
		if m.view != nil && c.maintainMachine(s, m) {
			ready = append(ready, m)
		}
	}
	return ready
}

// releaseByPlan releases machines by their planned releases. Machines with the same destination are
// released together.
func (c *Controller) releaseByPlan(ready []*machine) {
	for len(ready) > 0 {
		plan := ready[0].view.plannedRelease
		var same, others []*machine
		for _, m := range ready {
			if sameDestination(m.view.plannedRelease, plan) {
				same = append(same, m)
			} else {
				others = append(others, m)
			}
		}
		c.releaseMachines(same, plan)
		ready = others
	}
}

// sameDestination reports whether machines of the two releases can be released by one transaction.
func sameDestination(a, b peer.Release) bool {
	return a.Cordon == b.Cordon && a.ToShard == b.ToShard
}

// maintainMachine maintains one machine, and reports whether it is to be released now.
func (c *Controller) maintainMachine(s *shard, m *machine) bool {
	v := m.view
	c.visited++
	if m.returned {
		return false
	}
	if c.ownership.mayFreeMachine(s, m) {
		c.expireLease(m)
	}
	if !v.reconciled {
		c.reconcileMachine(s, m)
	} else if !v.neverCommanded {
		c.probeOverdueMachine(s, m)
	}
	if c.needsHigherToken(s, m) {
		c.raiseFencingToken(s, m)
	}
	if v.reclaimAt != 0 {
		c.drain(m)
	}
	if c.needsDirectCommand(m) {
		c.queueCommand(m)
	}
	return c.now < v.plannedUntil && c.mayReleaseMachine(m, v.plannedRelease.Cordon)
}

// maxUnforgottenAttempts is how many attempts with handled outcomes a machine may go on listing
// before its fencing token is raised so that its worker can forget them.
const maxUnforgottenAttempts = 24

// needsHigherToken reports whether a machine's fencing token is to be raised: to void commands that
// are in doubt, or so that exited attempts can be forgotten.
func (c *Controller) needsHigherToken(s *shard, m *machine) bool {
	if !c.ownership.leaseValid() {
		return false
	}
	v := m.view
	fencingToken := c.fencingToken(s, m)
	if v.inDoubtToken != 0 && fencingToken <= v.inDoubtToken {
		return true
	}
	return len(v.attemptList) > maxUnforgottenAttempts && c.jobs.unforgottenAttempts(v, fencingToken) > maxUnforgottenAttempts
}

// unforgottenAttempts counts the attempts with handled outcomes that the worker may forget only under
// a higher fencing token than the given one.
func (t *jobTable) unforgottenAttempts(v *machineView, fencingToken uint64) int {
	n := 0
	for _, att := range v.attemptList {
		handled := att.state == attemptExited && att.outcomeHandled
		if handled && att.startToken >= fencingToken && !t.forgettable(att) {
			n++
		}
	}
	return n
}
