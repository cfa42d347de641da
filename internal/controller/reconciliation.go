package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// reconciliationView holds the position of a machine's last heartbeat, and whether commands or tasks
// of a former owner may still be on the machine. A heartbeat that is not newer than (agentEpoch,
// sequence) changes nothing.
//
// The booleans occur in these combinations:
//
//   - neverCommanded with reconciled, before the first heartbeat (sequenceKnown is false) of a
//     machine that was first recorded under this owner. The first heartbeat clears
//     neverCommanded;
//   - reconciled alone, once a heartbeat has shown a fencing token of this owner;
//   - none of the others, while such a heartbeat is awaited, with
//     unreconciledFromPredecessor if the machine was on record when the shard was claimed;
//   - leaseExpired alone, once the machine's lease has provably run out or the cloud has
//     confirmed its return, until it is reconciled again or begins a new agent epoch. On a
//     machine that was returned before its first heartbeat, neverCommanded stays set too.
//
// sequenceKnown is set by the first heartbeat and stays set; only without it can
// neverCommanded hold.
type reconciliationView struct {
	reconciled     bool // the task list is complete, and no command of a former owner can still act
	neverCommanded bool // no other owner can have commanded the machine
	reconciledAt   micros.Micros
	// unreconciledFromPredecessor is set if the machine was on record at the claim and has since
	// neither been reconciled, nor lost its lease, nor been returned: tasks of a former owner may
	// be on it.
	unreconciledFromPredecessor bool
	leaseExpired                bool // the machine can hold no task any more
	sequenceKnown               bool // agentEpoch and sequence are set
	agentEpoch                  uint64
	sequence                    uint64
	fencingToken                uint64 // the highest fencing token that the worker has shown
}

// newerThan reports whether a heartbeat was sent after the last one that the view reflects.
func newerThan(heartbeat *wire.Heartbeat, v *machineView) bool {
	return positionOf(heartbeat).After(v.lastPosition())
}

// confirmNeverCommanded checks by its first heartbeat that no other owner has commanded a machine:
// a fencing token below this node's comes from another owner, and the machine then has to be
// reconciled.
func (c *Controller) confirmNeverCommanded(s *shard, m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	foreignToken := heartbeat.FencingToken != 0 && heartbeat.FencingToken < c.fencingToken(s, m)
	v.neverCommanded = false
	v.reconciled = v.reconciled && !foreignToken
	v.reconciledAt = c.now
	c.schedulingDue = true
}

// markReconciled marks a machine as reconciled after its worker has shown a fencing token of this
// owner: no older command can act any more.
func (c *Controller) markReconciled(m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	v.reconciled = true
	v.reconciledAt = c.now
	v.leaseExpired = false
	v.unreconciledFromPredecessor = false
	c.schedulingDue = true
	c.ownership.markDirty(m)
	c.log(Debug, "machine reconciled", "machine", m.id, "fencing_token", heartbeat.FencingToken, "tasks", len(heartbeat.Tasks))
}

// expireLease updates the view of a machine whose lease has run out: it holds no task any more.
func (c *Controller) expireLease(m *machine) {
	v := m.view
	c.freeAllAttempts(m, "its lease has run out", false)
	v.leaseExpired = true
	v.reconciled = false
	v.unreconciledFromPredecessor = false
	v.reachability.Reset()
	c.ownership.markDirty(m)
	c.schedulingDue = true
}

// voidInDoubtCommands ends the doubt about unanswered commands if a heartbeat shows a fencing token
// above theirs: its task list has what they started, and they can't act any more.
func (c *Controller) voidInDoubtCommands(v *machineView, heartbeat *wire.Heartbeat) {
	if v.inDoubtToken == 0 || heartbeat.FencingToken <= v.inDoubtToken {
		return
	}
	v.inDoubtToken = 0
	for _, att := range v.attemptList {
		if att.state == attemptInDoubt {
			att.state = attemptSent
			att.sentSequence = 0
		}
	}
	c.schedulingDue = true
}

const (
	// reconcileRetryDelay is the time before the next attempt to reconcile a machine. Each
	// command to it that was not answered adds as much, so that other machines are tried first.
	reconcileRetryDelay = micros.Second
	// maxReconcileBackoff is the largest number of unanswered commands that add to the delay.
	maxReconcileBackoff = 3
)

// reconcileMachine sends an empty direct command to an unreconciled machine, so that it shows its
// tasks under this node's fencing token. The answer carries either that token, or the agent epoch
// that the command should have named.
func (c *Controller) reconcileMachine(s *shard, m *machine) {
	v := m.view
	if v.reconciled || m.returned || v.commandInFlight || c.now < v.nextProbeAt || m.rec.Addr == "" {
		return
	}
	if c.ownership.activeShard(s.id) == nil || !c.commandQueue.takeProbe() {
		return
	}
	backoff := 1 + min(v.unansweredCommands, maxReconcileBackoff)
	v.nextProbeAt = c.now + reconcileRetryDelay*micros.Micros(backoff)
	m.agentEpoch = max(m.agentEpoch, 1)
	c.sendCommands(s, m, []wire.Command{})
}

// allReconciled reports whether no machine of a shard may still hold unknown tasks of a former
// owner; see unreconciledFromPredecessor.
func (o *ownershipState) allReconciled(s *shard) bool {
	for _, m := range s.machines {
		if m.view != nil && m.view.unreconciledFromPredecessor {
			return false
		}
	}
	return true
}
