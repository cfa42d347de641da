package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// machine is a machine on record.
type machine struct {
	id        string
	rec       machineRecord
	recordSet *machineRecordSet
	// agentEpoch is the last one that it showed to this node, in any lock: a guess
	// for the first order to it.
	agentEpoch uint64
	// returned: the cloud has confirmed its return, so it never comes back.
	returned bool
	view     *view // at the owner of its shard
}

// machineRecord is what the records say of a machine.
type machineRecord struct {
	Shard            int
	Cordoned         bool
	Addr, Type, Zone string
	Spot             bool
}

// view is what the owner of a machine's shard knows of it.
type view struct {
	reconciliationView
	contactView
	healthView
	commandView
	releaseView
	attemptView

	images         map[string]bool
	nextPrefetchAt micros.Micros // no image is fetched ahead before
	idleAt         micros.Micros // when it last had something on it
	reclaimAt      micros.Micros // the cloud takes it away then; 0: no notice
}

// reconciliationView orders what a machine says, and tells what a former owner may have left
// on it. What is older than (session, seq) changes nothing.
type reconciliationView struct {
	reconciled     bool // its task list is complete, and no older command can still act
	neverCommanded bool // nobody but this owner can have commanded it; ends with its first heartbeat
	reconciledAt   micros.Micros
	// unreconciledFromPredecessor: it was on record when the shard was claimed, and has neither been
	// settled nor gone since: a former owner's tasks may be on it.
	unreconciledFromPredecessor bool
	leaseExpired                bool // it can hold no task any more; a new session brings it back
	sequenceKnown               bool // session and seq are set
	agentEpoch                  uint64
	sequence                    uint64
	fencingToken                uint64 // highest that the worker showed
}

// attemptView is what is on a machine. Each attempt stands in the map and in the list;
// sum holds unless stale is set.
type attemptView struct {
	attempts      map[attemptKey]*attempt
	list          []*attempt        // the same, in the order in which they came up
	lastTaskList  []wire.TaskStatus // the list last taken in whole,
	lastSeenRound uint64            // in this round of observe
	usage         machineUsage
	usageStale    bool // sum is to be counted again
	reservation   reservation
}

// machineUsage is what the attempts on a machine take, and what is to be done about
// them. It is counted again only after something has changed there.
type machineUsage struct {
	cpus, gpus, mem float64
	// soon is what tasks being stopped will leave.
	soonCPUs, soonGPUs, soonMem float64
	tasks                       int  // not exited
	unknown                     bool // an attempt whose job is not known
	used                        []usage
}

// reservation keeps room on a machine for a job for which others were stopped there.
type reservation struct {
	job             *job
	cpus, gpus, mem float64
	until           micros.Micros
}

// empty: nothing on the machine matters any more.
func (v *view) empty() bool {
	for _, att := range v.list {
		if att.state != attemptExited || !att.outcomeHandled {
			return false
		}
	}
	return true
}

func (c *Controller) newView() *view {
	return &view{
		contactView:        contactView{lastHeartbeatAt: -micros.Never, lastReplyAt: -micros.Never, since: c.now},
		reconciliationView: reconciliationView{reconciledAt: -micros.Never},
		attemptView:        attemptView{attempts: map[attemptKey]*attempt{}, usageStale: true},
		healthView:         healthView{failuresByJob: map[string]int{}},
		images:             map[string]bool{},
		idleAt:             c.now,
	}
}

// setView begins or ends this node's care for a machine.
func (c *Controller) setView(m *machine, v *view) {
	if m.view != nil {
		m.view.usageStale = true // so that it is not put on the list of changes again
	}
	m.view = v
	s := c.ownership.shards[m.rec.Shard]
	s.recountAll = true
}

// markDirty notes that something about a machine's attempts has changed.
func (c *Controller) markDirty(m *machine) {
	if v := m.view; v != nil && !v.usageStale {
		v.usageStale = true
		s := c.ownership.shards[m.rec.Shard]
		s.dirtyMachines = append(s.dirtyMachines, m)
	}
}

// fencingToken is what entitles this node to command a machine of its shard.
func (c *Controller) fencingToken(s *shard, m *machine) uint64 {
	return max(s.ownerEpoch, m.recordSet.modRevision)
}

// heartbeat answers a worker's heartbeat.
func (c *Controller) handleHeartbeat(in Heartbeat) {
	heartbeat := &in.Heartbeat
	m := c.machines[heartbeat.Machine]
	if m == nil {
		c.registerMachine(in)
		return
	}
	s := c.ownership.shards[m.rec.Shard]
	if v := c.mayAcceptHeartbeat(m, heartbeat); !v.allowed {
		c.refuseHeartbeat(in, m, v)
		return
	}
	v := m.view
	c.recordReachability(m, heartbeat)
	c.applyHeartbeat(s, m, heartbeat, true)
	if v := c.mayRenewMachineLease(s, m, heartbeat); !v.allowed {
		c.refuseHeartbeat(in, m, v)
		return
	}
	v.lastReplyAt = c.now
	if v.reconciled {
		c.scheduleOnMachine(s, m) // what it is to do goes into the answer, not into an order
	}
	stops := c.stopsForCancelledTasks(s, m, heartbeat)
	commands := c.commands(m, true)
	if len(stops) > 0 {
		commands = append(commands, stops...) // which is empty: the list is not believed yet
	}
	c.checkRenewal(s, m)
	v.reachability.replied(c.fencingToken(s, m), v.fencingToken, commands)
	c.logHeartbeat(m, heartbeat, allow(reasonHeartbeatAccepted), commands)
	c.answer(in.Reply, http.StatusOK, wire.HeartbeatReply{FencingToken: c.fencingToken(s, m), Commands: commands}, 0)
	if !v.reconciled {
		c.reconcileMachine(s, m) // shows our fencing token at once
	}
}

// refuseHeartbeat sends a worker away.
func (c *Controller) refuseHeartbeat(in Heartbeat, m *machine, v decision) {
	c.decisionLog.refused[v.reason]++
	c.logHeartbeat(m, &in.Heartbeat, v, nil)
	switch v.reason {
	case reasonNotOwner, reasonReleasing, reasonNewerClaim, reasonLeaseTooOld, reasonStaleViewBeyondGrace:
		c.misdirectedHeartbeats[m.id] = c.now // bounded: it is on record
		c.redirect(in.Reply, &c.ownership.shards[m.rec.Shard].lock)
	default:
		c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
	}
}

// redirect sends a worker to the holder of a lock, if that is somebody else
// and this node's knowledge is fresh.
func (c *Controller) redirect(r ReplyID, holder *lock) {
	if holder.ownerEpoch != 0 && holder.owner.Label != c.cfg.Label && c.peers[holder.owner.Label] != nil && c.now-c.ownership.lastStateReplyAt < c.cfg.Lease {
		c.answer(r, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: holder.owner.Label}, 0)
		return
	}
	c.answer(r, http.StatusServiceUnavailable, nil, 0)
}

func newerThan(heartbeat *wire.Heartbeat, v *view) bool {
	if heartbeat.AgentEpoch != v.agentEpoch {
		return heartbeat.AgentEpoch > v.agentEpoch
	}
	return heartbeat.Sequence > v.sequence
}

// applyHeartbeat takes a worker's heartbeat, from a heartbeat or as the answer to a direct
// request. It must come from the machine's owner only.
func (c *Controller) applyHeartbeat(s *shard, m *machine, heartbeat *wire.Heartbeat, inHeartbeat bool) {
	v := m.view
	if m.returned || v.sequenceKnown && !newerThan(heartbeat, v) {
		return // its task list is older than what we know
	}
	if v.sequenceKnown && heartbeat.AgentEpoch > v.agentEpoch {
		// All earlier tasks there are gone, and orders to that session are void.
		c.freeAll(m, "worker began a new session", true)
		v.inDoubtToken = 0
		v.leaseExpired = false
		v.images = map[string]bool{}
		v.reconciled = false
	}
	if v.neverCommanded {
		// It must be as new as it looks: a fencing token on it would be another owner's.
		v.neverCommanded = false
		v.reconciled = v.reconciled && (heartbeat.FencingToken == 0 || heartbeat.FencingToken >= c.fencingToken(s, m))
		v.reconciledAt = c.now
		c.schedulingDue = true
	}
	v.sequenceKnown, v.agentEpoch, v.sequence, v.lastHeartbeatAt = true, heartbeat.AgentEpoch, heartbeat.Sequence, c.now
	m.agentEpoch = heartbeat.AgentEpoch
	v.fencingToken = max(v.fencingToken, heartbeat.FencingToken)
	c.noteNotice(m, heartbeat)
	if heartbeat.Addr != "" {
		m.rec.Addr = heartbeat.Addr
	}
	if !v.reconciled {
		if heartbeat.FencingToken < c.fencingToken(s, m) {
			return
		}
		// The worker has seen a fencing token of this ownership: no older command acts.
		v.reconciled, v.reconciledAt = true, c.now
		v.leaseExpired, v.unreconciledFromPredecessor = false, false
		c.schedulingDue = true
		c.markDirty(m)
		c.log(Debug, "machine reconciled", "machine", m.id, "fencing_token", heartbeat.FencingToken, "tasks", len(heartbeat.Tasks))
	}
	if v.inDoubtToken != 0 && heartbeat.FencingToken > v.inDoubtToken {
		v.inDoubtToken = 0 // unanswered commands are void now; what they did is in this heartbeat
		for _, att := range v.list {
			if att.state == attemptInDoubt {
				att.state, att.sentSequence = attemptSent, 0
			}
		}
		c.schedulingDue = true
	}
	if !c.taskListUnchanged(v, heartbeat) {
		c.applyTaskList(m, heartbeat, inHeartbeat)
	}
	for _, att := range v.list {
		if att.lastSeenRound == v.lastSeenRound && !att.tracked && !att.outcomeHandled {
			c.adoptTasks(m)
			break
		}
	}
	if v.busy() {
		v.idleAt = c.now
	}
}

// taskListUnchanged: a heartbeat lists just what the last one did, and nothing was sent to
// the machine or forgotten here meanwhile, so that there is nothing to take from
// it. Most heartbeats are like that. Lists are compared by where they are held, see
// wire.HeartbeatReader.
func (c *Controller) taskListUnchanged(v *view, heartbeat *wire.Heartbeat) bool {
	n := len(heartbeat.Tasks)
	if n != len(v.list) || n != len(v.lastTaskList) || n > 0 && &heartbeat.Tasks[0] != &v.lastTaskList[0] {
		return false
	}
	for _, att := range v.list {
		if att.lastSeenRound != v.lastSeenRound {
			return false
		}
	}
	return true
}

// busy: something on it still runs or may.
func (v *view) busy() bool {
	for _, att := range v.list {
		if att.state != attemptExited {
			return true
		}
	}
	return false
}

// maintainMachines looks at what time does to machines.
func (c *Controller) maintainMachines() {
	c.commandQueue.resetProbes()
	for _, s := range c.ownership.shards {
		if s.active && !s.jobsViewCurrent && c.leaseValid() {
			c.refreshJobsView(s)
		}
		if c.activeShard(s.id) == nil {
			continue
		}
		c.splitOneRecordSet(s)
		var ready []*machine
		for _, m := range s.machines {
			if m.view != nil && c.maintainMachine(s, m) {
				ready = append(ready, m)
			}
		}
		for len(ready) > 0 { // those that go the same way go together
			to := ready[0].view.plannedRelease
			same := func(m *machine) bool {
				return m.view.plannedRelease.Retire == to.Retire && m.view.plannedRelease.Shard == to.Shard
			}
			var now, later []*machine
			for _, m := range ready {
				if same(m) {
					now = append(now, m)
				} else {
					later = append(later, m)
				}
			}
			c.releaseMachines(now, to)
			ready = later
		}
		if s.active && !s.checkpointsLoaded && !s.loadingCheckpoints && c.leaseValid() {
			c.loadCheckpoints(s)
		}
	}
}

// maintainMachine looks at one machine, and tells whether it is to be released now.
func (c *Controller) maintainMachine(s *shard, m *machine) bool {
	v := m.view
	c.visited++
	if m.returned {
		return false
	}
	if c.mayFreeMachine(s, m) {
		c.freeAll(m, "its lease has run out", false)
		v.leaseExpired, v.reconciled, v.unreconciledFromPredecessor = true, false, false
		v.reachability = reachability{}
		c.markDirty(m)
		c.schedulingDue = true
	}
	if !v.reconciled {
		c.reconcileMachine(s, m)
	} else if !v.neverCommanded {
		c.probeOverdueMachine(s, m)
	}
	if c.leaseValid() && (v.inDoubtToken != 0 && c.fencingToken(s, m) <= v.inDoubtToken || len(v.list) > maxUnclearedAttempts && v.unclearedAttempts(c.fencingToken(s, m)) > maxUnclearedAttempts) {
		c.raiseFencingToken(s, m)
	}
	if v.reclaimAt != 0 {
		c.drain(m)
	}
	if c.needsDirectCommand(m) {
		c.queueCommand(m)
	}
	return c.now < v.plannedUntil && c.mayReleaseMachine(m, v.plannedRelease.Retire)
}

// maxUnclearedAttempts is how many dealt with attempts a machine may go on reporting before
// its fencing token is raised so that they can be cleared.
const maxUnclearedAttempts = 24

// unclearedAttempts counts the attempts that wait for a fencing token above the current one.
func (v *view) unclearedAttempts(fencingToken uint64) int {
	n := 0
	for _, att := range v.list {
		if att.state == attemptExited && att.outcomeHandled && !att.clearable() && att.startToken >= fencingToken {
			n++
		}
	}
	return n
}

// allReconciled: nothing of a former owner can still be on an unknown place.
func (c *Controller) allReconciled(s *shard) bool {
	for _, m := range s.machines {
		if m.view != nil && m.view.unreconciledFromPredecessor {
			return false
		}
	}
	return true
}
