package controller

import "garnethitch/internal/wire"

// What this node is entitled to is decided here: whether it may command the machines of a
// shard, hear a heartbeat, renew a machine's lease by answering it, start, free a machine, let
// it go, record, tell and lead. The times come from fence.go. docs/incidents/2026-12-cancelled-task-ran-on.md
// lists on what knowledge each path relies, and how old that may be.

// reason says why an act is allowed or refused.
type reason int

const (
	reasonNone reason = iota
	// Allowed.
	reasonCurrentView
	reasonStaleViewWithinGrace
	reasonHeartbeatAccepted
	// Refused, for a whole shard.
	reasonNotOwner
	reasonReleasing
	reasonNewerClaim
	reasonLeaseTooOld
	reasonStaleViewBeyondGrace
	// Refused, for one machine.
	reasonCordoned
	reasonReturned
	reasonStaleHeartbeat
	reasonHigherFencingToken
	reasonUnreachable
	reasonUnknownJob
	reasonLateStart

	reasonCount
)

// reasonNames are the words of the log and of the counters.
var reasonNames = [reasonCount]string{
	reasonNone:                 "none",
	reasonCurrentView:          "current_view",
	reasonStaleViewWithinGrace: "stale_view_within_grace",
	reasonHeartbeatAccepted:    "accepted",
	reasonNotOwner:             "not_owner",
	reasonReleasing:            "releasing",
	reasonNewerClaim:           "newer_claim",
	reasonLeaseTooOld:          "lease_too_old",
	reasonStaleViewBeyondGrace: "stale_view_beyond_grace",
	reasonCordoned:             "cordoned",
	reasonReturned:             "returned",
	reasonStaleHeartbeat:       "stale_heartbeat",
	reasonHigherFencingToken:   "higher_fencing_token",
	reasonUnreachable:          "unreachable",
	reasonUnknownJob:           "unknown_job",
	reasonLateStart:            "late_start",
}

func (r reason) String() string { return reasonNames[r] }

// decision is whether an act is allowed, and why.
type decision struct {
	allowed bool
	reason  reason
}

func allow(r reason) decision  { return decision{true, r} }
func refuse(r reason) decision { return decision{false, r} }

// leaseValid: may this node speak for its shards from memory, and record?
func (c *Controller) leaseValid() bool {
	return c.ownership.lease != 0 && c.now < c.ownership.renewedAt+c.bounds.LeaseValidity
}

// mayIssueCommands: may it answer heartbeats and command machines?
func (c *Controller) mayIssueCommands() bool {
	return c.ownership.lease != 0 && c.now < c.ownership.renewedAt+c.bounds.CommandValidity
}

// mayStart: no other node can have told a user of a cancellation that this one does
// not know of. Beyond the lease that is so only while every other controller says that
// it has lost the state service too: a successor may have told, and what it tells on
// may be under way.
func (c *Controller) mayStart() bool {
	if c.leaseValid() {
		return true
	}
	for _, p := range c.peers {
		if !c.alive(p) || p.stateOK {
			return false
		}
	}
	return true
}

// mayCommandShard: may this node answer the heartbeats of a shard's machines and send
// them orders? An owner that can't learn which jobs a former owner ended lets its
// machines' leases run out: tasks of a cancelled job may be on them.
func (c *Controller) mayCommandShard(s *shard) decision {
	switch {
	case !s.active:
		return refuse(reasonNotOwner)
	case s.releasing:
		return refuse(reasonReleasing)
	case s.ownerEpoch < s.highestSeenEpoch:
		return refuse(reasonNewerClaim)
	case !c.mayIssueCommands():
		return refuse(reasonLeaseTooOld)
	case s.jobsViewCurrent:
		return allow(reasonCurrentView)
	case c.now < c.ownership.jobWatch.completeAsOf+c.bounds.StaleViewGrace:
		return allow(reasonStaleViewWithinGrace)
	}
	return refuse(reasonStaleViewBeyondGrace)
}

// activeShard gives the shard if this node owns it and may command.
func (c *Controller) activeShard(id int) *shard {
	if s := c.ownership.shards[id]; c.mayCommandShard(s).allowed {
		return s
	}
	return nil
}

// mayAcceptHeartbeat: may this node take what a heartbeat says of a machine on record?
func (c *Controller) mayAcceptHeartbeat(m *machine, heartbeat *wire.Heartbeat) decision {
	if m.rec.Cordoned {
		return refuse(reasonCordoned)
	}
	s := c.ownership.shards[m.rec.Shard]
	switch v := c.mayCommandShard(s); {
	case !v.allowed:
		return v
	case m.view == nil:
		return refuse(reasonNotOwner)
	case m.returned:
		return refuse(reasonReturned)
	case m.view.sequenceKnown && !newerThan(heartbeat, m.view):
		return refuse(reasonStaleHeartbeat)
	case heartbeat.FencingToken > c.fencingToken(s, m):
		return refuse(reasonHigherFencingToken)
	default:
		return v
	}
}

// mayRenewMachineLease: may a heartbeat that was heard be answered, which renews the machine's lease?
func (c *Controller) mayRenewMachineLease(s *shard, m *machine, heartbeat *wire.Heartbeat) decision {
	if m.view.reconciled && c.holdsTaskOfUnknownJob(s, m) || !m.view.reconciled && c.listsTaskOfUnknownJob(s, heartbeat) {
		// Nothing vouches for the task: its user may have been told long ago that the job
		// is cancelled. The view of jobs settles it in a moment; if it can't, the lease
		// runs out.
		return refuse(reasonUnknownJob)
	}
	if c.holdsLateStart(m) {
		return refuse(reasonLateStart)
	}
	if c.unreachable(m) {
		// What it says counts; what it is told does not arrive. No answer renews its
		// lease by chance while we count on the end of that.
		return refuse(reasonUnreachable)
	}
	return allow(reasonHeartbeatAccepted)
}

// holdsLateStart: a command that was not answered may yet start a task on the machine whose
// job is over, or is to be cancelled, and has been for so long that the machine's session,
// which the order names, must end.
func (c *Controller) holdsLateStart(m *machine) bool {
	if m.view.inDoubtToken == 0 {
		return false
	}
	for _, att := range m.view.list {
		if att.state == attemptInDoubt && att.stopMode == stopImmediate && c.now >= att.stopRequestedAt+c.bounds.LateStartGrace {
			return true
		}
	}
	return false
}

// mayAnswerFromMemory: this node may tell of an open job from memory.
func (c *Controller) mayAnswerFromMemory(j *job) bool {
	s := c.activeShard(j.shard)
	return j.run != nil && s != nil && c.leaseValid() && (s.jobsViewCurrent || j.run.acceptedUnderClaim)
}

// leading: may this node rent, return and assign machines for all?
func (c *Controller) leading() bool {
	return c.isMine(&c.ownership.leader) && c.ownership.leader.ownerEpoch != c.ownership.steppedDownEpoch && c.leaseValid()
}

// mayFreeMachine: does a machine provably hold no task any more, since its lease has run out?
// Once another node could own the shard, it may have answered the machine and so renewed
// its lease (ran_twice in the grown simulation: a node that had lost the state service and
// its peers, but not its workers).
func (c *Controller) mayFreeMachine(s *shard, m *machine) bool {
	v := m.view
	if v.leaseExpired || !v.sequenceKnown && !v.unreconciledFromPredecessor || !c.leaseValid() {
		return false
	}
	bound := max(v.reconciledAt, v.lastReplyAt) + c.bounds.WorkerExpiry
	if !v.reconciled {
		bound = max(s.machinesFreeAt, v.lastReplyAt+c.bounds.WorkerExpiry, v.reconciledAt+c.bounds.WorkerExpiry)
	}
	return c.now >= bound
}

// mayReleaseMachine: nothing is on the machine, and nothing that could come.
func (c *Controller) mayReleaseMachine(m *machine, retire bool) bool {
	v := m.view
	return !v.releasing && !v.commandInFlight && v.inDoubtToken == 0 && (v.reconciled || v.leaseExpired) && v.empty() &&
		(retire || !v.leaseExpired && v.sequenceKnown) && !c.overRecordLimit(m.recordSet) && !m.recordSet.writeInFlight && c.now >= m.recordSet.nextWriteAt
}

// InvariantBroken is the text of the log line that tells of a broken invariant.
const InvariantBroken = "invariant broken"

// invariantFails notes that what must hold whenever this node acts does not. The line
// tells the evidence; service goes on.
func (c *Controller) invariantFails(name string, evidence ...any) {
	c.decisionLog.broken++
	c.log(Error, InvariantBroken, append([]any{"invariant", name, "count", c.decisionLog.broken}, evidence...)...)
}

// checkRenewal: no answer renews the lease of a machine on which a cancelled task is left
// without its stop, or a task of a job that this node does not know and nothing vouches for.
func (c *Controller) checkRenewal(s *shard, m *machine) {
	if !m.view.reconciled {
		return
	}
	for _, att := range m.view.list {
		if c.stopPending(att) {
			c.invariantFails("a renewal stops cancelled tasks", "task", wire.TaskName(att.key.job, att.index), "machine", m.id, "epoch", s.ownerEpoch)
		}
		if c.jobStatusForRenewal(s, att) != jobOpen {
			c.invariantFails("a renewal feeds no task of an unknown job", "task", wire.TaskName(att.key.job, att.index), "machine", m.id, "epoch", s.ownerEpoch)
		}
	}
}

// checkStart: no start is sent for a job that is over or is to be cancelled.
func (c *Controller) checkStart(att *attempt) {
	if att.prefetch {
		return // for its image only, of a job that is done
	}
	if _, over := c.jobs.final(att.key.job); over || c.cancelled(att.key.job) {
		c.invariantFails("no start of a job that is over", "task", wire.TaskName(att.key.job, att.index), "machine", att.machine.id)
	}
}
