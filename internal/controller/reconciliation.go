package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// reconciliationView is the position of a machine's last heartbeat, and what a former owner may
// have left on it. A heartbeat that is older than (agentEpoch, sequence) changes nothing.
//
// The booleans occur in these combinations:
//
//   - neverCommanded with reconciled, before the first heartbeat (sequenceKnown is false) of a
//     machine that came to the record under this owner. The first heartbeat ends it;
//   - reconciled alone, once a heartbeat has shown a fencing token of this owner;
//   - none of the others, while such a heartbeat is awaited, with
//     unreconciledFromPredecessor if the machine was on record when the shard was claimed;
//   - leaseExpired alone, once the machine's lease has provably run out or the cloud has
//     taken it back, until it is reconciled again or begins a new agent epoch. A machine
//     that was returned before its first heartbeat keeps neverCommanded with it.
//
// sequenceKnown is set by the first heartbeat and stays set; only without it can
// neverCommanded hold.
type reconciliationView struct {
	reconciled     bool // its task list is complete, and no older command can still act
	neverCommanded bool // nobody but this owner can have commanded it
	reconciledAt   micros.Micros
	// unreconciledFromPredecessor is set if it has neither been reconciled nor gone since the
	// claim: a former owner's tasks may be on it.
	unreconciledFromPredecessor bool
	leaseExpired                bool // it can hold no task any more
	sequenceKnown               bool // agentEpoch and sequence are set
	agentEpoch                  uint64
	sequence                    uint64
	fencingToken                uint64 // highest that the worker showed
}

// newerThan reports whether a heartbeat was sent after the last one that a view holds.
func newerThan(heartbeat *wire.Heartbeat, v *machineView) bool {
	return positionOf(heartbeat).After(v.lastPosition())
}

// confirmNeverCommanded checks by its first heartbeat that a machine is as new as its record
// says: a fencing token below this node's would be another
// owner's.
func (c *Controller) confirmNeverCommanded(s *shard, m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	foreignToken := heartbeat.FencingToken != 0 && heartbeat.FencingToken < c.fencingToken(s, m)
	v.neverCommanded = false
	v.reconciled = v.reconciled && !foreignToken
	v.reconciledAt = c.now
	c.schedulingDue = true
}

// markReconciled notes that a worker has shown a fencing token of this owner: no older command
// can act any more.
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

// expireLease notes that a machine's lease has run out: it holds no task any more.
func (c *Controller) expireLease(m *machine) {
	v := m.view
	c.freeAll(m, "its lease has run out", false)
	v.leaseExpired = true
	v.reconciled = false
	v.unreconciledFromPredecessor = false
	v.reachability.Reset()
	c.ownership.markDirty(m)
	c.schedulingDue = true
}

// voidInDoubtCommands notes that a heartbeat shows a fencing token above that of unanswered
// commands: what they did is in this heartbeat, and they can do nothing more.
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
	// reconcileRetryDelay is added to the time before the next attempt to reconcile a machine
	// for each command that was not answered, so that other machines are tried first.
	reconcileRetryDelay = micros.Second
	// maxReconcileBackoff bounds how many unanswered commands count.
	maxReconcileBackoff = 3
)

// reconcileMachine makes an unreconciled machine show its tasks under this node's fencing token,
// by an empty direct command: its answer carries the fencing token, or the agent epoch
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
// owner.
func (o *ownershipState) allReconciled(s *shard) bool {
	for _, m := range s.machines {
		if m.view != nil && m.view.unreconciledFromPredecessor {
			return false
		}
	}
	return true
}
