package controller

import (
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// lockRequestTimeout is how long a claim or release waits for its response.
	lockRequestTimeout = micros.Second
	// releaseRetryDelay is after how long a release that failed is tried again.
	releaseRetryDelay = 200 * micros.Millisecond
)

// lock is a lock that one controller holds by a key in the state service, which stands as long as
// the controller's lease: the one of a shard, or that of the leader.
type lock struct {
	key   string
	owner wire.OwnerRecord
	// ownerEpoch is the revision of the owner's claim; 0: nobody holds the lock.
	ownerEpoch uint64
	// freeSince is since when nobody holds it, or when this node's last claim ended.
	freeSince micros.Micros
	claiming  bool // a claim of this node is in flight
	// releasingEpoch is the epoch of this node's claim whose release is in flight or done; 0:
	// none.
	releasingEpoch uint64
	releaseRetryAt micros.Micros
}

// ownedBy reports whether a process holds the lock: the one of this label and lease.
func (l *lock) ownedBy(owner wire.OwnerRecord) bool {
	return !l.free() && owner.Incarnation != 0 && l.owner == owner
}

// ownedByFormerProcess reports whether an earlier process of the same node holds the lock. That
// process has ended: its key may be replaced at once.
func (l *lock) ownedByFormerProcess(owner wire.OwnerRecord) bool {
	return !l.free() && l.owner.Label == owner.Label && l.owner.Incarnation != owner.Incarnation
}

// free reports whether nobody holds the lock.
func (l *lock) free() bool { return l.ownerEpoch == 0 }

// claimTxn returns the transaction that claims the lock as this node knows it: free, or held by
// its former process.
func (l *lock) claimTxn(value []byte, lease uint64) wire.Txn {
	return wire.Txn{
		Conditions: []wire.Condition{{Key: l.key, ModRevision: l.ownerEpoch}},
		Changes:    []wire.Change{{Put: l.key, Value: value, Lease: lease}},
	}
}

// releaseDue reports whether the release of this node's claim is to be sent.
func (l *lock) releaseDue(now micros.Micros) bool {
	return l.releasingEpoch != l.ownerEpoch && now >= l.releaseRetryAt
}

// releaseTxn returns the transaction that deletes this node's key.
func (l *lock) releaseTxn() wire.Txn {
	return wire.Txn{
		Conditions: []wire.Condition{{Key: l.key, ModRevision: l.ownerEpoch}},
		Changes:    []wire.Change{{Delete: l.key}},
	}
}

// ownerRecord returns the record by which this process holds locks.
func (o *ownershipState) ownerRecord() wire.OwnerRecord {
	return wire.OwnerRecord{Label: o.cfg.Label, Incarnation: o.lease.ID()}
}

// isMine reports whether this process holds a lock.
func (o *ownershipState) isMine(l *lock) bool { return l.ownedBy(o.ownerRecord()) }

// claimLockIfDue claims a lock that nobody holds, or that a former process of this node held. index
// is that of the shard; the leader lock counts as one more.
func (c *Controller) claimLockIfDue(l *lock, index int) {
	switch {
	case l.claiming:
		return
	case l.free() && c.now < l.freeSince+c.claimDelay(index):
		return
	case !l.free() && !l.ownedByFormerProcess(c.ownership.ownerRecord()):
		return
	}
	c.claimLock(l)
}

// claimLock claims a lock. Whether that took effect is for the watch to show, which also shows late
// copies and, with it, all machines recorded before.
func (c *Controller) claimLock(l *lock) {
	owner := c.ownership.ownerRecord()
	value, err := wire.Encode(owner)
	if err != nil {
		c.log(Error, "claim not encoded", "error", err)
		return
	}
	l.claiming = true
	c.queueStateRequest(statestore.ClassLease, l.claimTxn(value, owner.Incarnation), lockRequestTimeout, func(r statestore.Reply) {
		c.handleClaimOutcome(l, owner.Incarnation, r.Outcome())
	})
}

// handleClaimOutcome takes the outcome of a claim that was sent under a lease.
func (c *Controller) handleClaimOutcome(l *lock, lease uint64, outcome statestore.Outcome) {
	switch {
	case outcome == statestore.Rejected && c.ownership.lease.ID() == lease:
		c.loseLease()
		l.claiming = false
	case outcome == statestore.Applied || outcome == statestore.ConditionFailed:
		c.ownership.lastStateReplyAt = c.now
		c.deferToStepEnd(func() { l.claiming = false })
		l.freeSince = c.now // gives the watch time before another claim
	default:
		l.claiming = false
		l.freeSince = c.now
	}
}

// releaseLock deletes this node's key of a lock. Once that has been sent, this node never acts
// under its epoch again: a late copy could delete the key while the lease lives, and a successor
// relies on this node's commands having ended by then.
func (o *ownershipState) releaseLock(l *lock) {
	if !l.releaseDue(o.now) {
		return
	}
	ownerEpoch := l.ownerEpoch
	l.releasingEpoch = ownerEpoch
	o.queueStateRequest(statestore.ClassLease, l.releaseTxn(), lockRequestTimeout, func(r statestore.Reply) {
		if l.ownerEpoch != ownerEpoch || r.Outcome() == statestore.Applied {
			return // the watch shows the rest
		}
		l.releasingEpoch = 0
		l.releaseRetryAt = o.now + o.jitter(releaseRetryDelay)
	})
}
