package controller

import (
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// lockRequestTimeout is how long to wait for the response to a claim or release.
	lockRequestTimeout = micros.Second
	// releaseRetryDelay is the delay before a failed release is retried.
	releaseRetryDelay = 200 * micros.Millisecond
)

// lock is the lock of a shard or of the leader. Its owner holds it by a key in the state service
// that is bound to the owner's lease.
type lock struct {
	key   string
	owner wire.OwnerRecord
	// ownerEpoch is the revision of the owner's claim; 0 means that the lock is free.
	ownerEpoch uint64
	// freeSince is when the lock became free, or when this node's last claim of it ended.
	freeSince micros.Micros
	claiming  bool // a claim of this node is in flight
	// releasingEpoch is the epoch of this node's claim whose release is in flight or done; 0 means
	// none.
	releasingEpoch uint64
	releaseRetryAt micros.Micros
}

// ownedBy reports whether the process with this label and lease holds the lock.
func (l *lock) ownedBy(owner wire.OwnerRecord) bool {
	return !l.free() && owner.Incarnation != 0 && l.owner == owner
}

// ownedByFormerProcess reports whether an earlier process of the same node holds the lock. That
// process has ended, so its key may be replaced at once.
func (l *lock) ownedByFormerProcess(owner wire.OwnerRecord) bool {
	return !l.free() && l.owner.Label == owner.Label && l.owner.Incarnation != owner.Incarnation
}

// free reports whether no process holds the lock.
func (l *lock) free() bool { return l.ownerEpoch == 0 }

// claimTxn returns the transaction that claims the lock. Its condition is the state of the lock
// known to this node: free, or held by a former process of this node.
func (l *lock) claimTxn(value []byte, lease uint64) wire.Txn {
	return wire.Txn{
		Conditions: []wire.Condition{{Key: l.key, ModRevision: l.ownerEpoch}},
		Changes:    []wire.Change{{Put: l.key, Value: value, Lease: lease}},
	}
}

// releaseDue reports whether the release of this node's claim should be sent now.
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

// ownerRecord returns the record with which this process claims locks.
func (o *ownershipState) ownerRecord() wire.OwnerRecord {
	return wire.OwnerRecord{Label: o.cfg.Label, Incarnation: o.lease.ID()}
}

// holdsLock reports whether this process holds a lock.
func (o *ownershipState) holdsLock(l *lock) bool { return l.ownedBy(o.ownerRecord()) }

// claimLockIfDue claims a lock that is free or held by a former process of this node. index is the
// index of the shard, or the number of shards for the leader lock.
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

// claimLock sends a claim of a lock. The watch, not the response, decides whether this node holds the
// lock: the watch also shows a claim that was executed late, and by then it has shown all machine
// records written before the claim.
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

// handleClaimOutcome handles the outcome of a claim that was sent under a lease.
func (c *Controller) handleClaimOutcome(l *lock, lease uint64, outcome statestore.Outcome) {
	switch {
	case outcome == statestore.Rejected && c.ownership.lease.ID() == lease:
		c.loseLease()
		l.claiming = false
	case outcome == statestore.Applied || outcome == statestore.ConditionFailed:
		c.ownership.lastStateReplyAt = c.now
		c.deferToStepEnd(func() { l.claiming = false })
		l.freeSince = c.now // gives the watch time to show this claim before the next one
	default:
		l.claiming = false
		l.freeSince = c.now
	}
}

// releaseLock deletes this node's key of a lock. Once the deletion was sent, this node never acts
// under that epoch again, even if the deletion seems to have failed: a late copy of it could delete
// the key while the lease is valid, and a successor relies on this node having stopped its commands
// by the time the key is deleted.
func (o *ownershipState) releaseLock(l *lock) {
	if !l.releaseDue(o.now) {
		return
	}
	ownerEpoch := l.ownerEpoch
	l.releasingEpoch = ownerEpoch
	o.queueStateRequest(statestore.ClassLease, l.releaseTxn(), lockRequestTimeout, func(r statestore.Reply) {
		if l.ownerEpoch != ownerEpoch || r.Outcome() == statestore.Applied {
			return // the watch brings the deletion
		}
		l.releasingEpoch = 0
		l.releaseRetryAt = o.now + o.jitter(releaseRetryDelay)
	})
}
