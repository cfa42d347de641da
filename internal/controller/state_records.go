package controller

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// applyEvents takes in changes of keys, in their order.
func (c *Controller) applyEvents(events []wire.Event) {
	for _, e := range events {
		if e.Put != "" {
			c.applyPut(e.Put, e.Value, e.ModRevision)
		} else if e.Delete != "" {
			c.applyDelete(e.Delete, e.ModRevision)
		}
	}
	c.dropMachinesWithoutRecordSet()
}

// applyPut takes in a key's value, from a watch, a listing or a read. One that is older than
// what is known is ignored.
func (c *Controller) applyPut(key string, value wire.Raw, modRevision uint64) {
	if err := c.applyRecord(key, value, modRevision); err != nil {
		c.log(Error, "record not readable, ignored", "key", key, "error", err)
	}
}

// applyRecord takes in a record by the kind of its key. It returns an error if the record can't
// be decoded.
func (c *Controller) applyRecord(key string, value wire.Raw, modRevision uint64) error {
	switch {
	case strings.HasPrefix(key, wire.PrefixOwner):
		return c.applyShardOwner(key, value, modRevision)
	case key == wire.KeyLeader:
		return c.applyLeader(value, modRevision)
	case key == wire.KeyMachineTypes:
		return c.applyMachineTypes(value, modRevision)
	case strings.HasPrefix(key, wire.PrefixFleet):
		return c.applyRecordSet(key, value, modRevision)
	case strings.HasPrefix(key, wire.PrefixQuota):
		return c.applyQuota(key[len(wire.PrefixQuota):], value, modRevision)
	case strings.HasPrefix(key, wire.PrefixJob):
		return c.applyJob(key[len(wire.PrefixJob):], value, modRevision)
	}
	return nil
}

// shardOfOwnerKey returns the shard that an owner key belongs to, nil if there is none.
func (o *ownershipState) shardOfOwnerKey(key string) *shard {
	id, err := strconv.Atoi(key[len(wire.PrefixOwner):])
	if err != nil || id < 0 || id >= len(o.shards) {
		return nil
	}
	return o.shards[id]
}

// applyShardOwner takes in the record of a shard's owner.
func (c *Controller) applyShardOwner(key string, value wire.Raw, modRevision uint64) error {
	s := c.ownership.shardOfOwnerKey(key)
	if s == nil || modRevision <= s.ownerEpoch {
		return nil
	}
	var rec wire.OwnerRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.setOwner(s, rec, modRevision)
	return nil
}

// applyLeader takes in the record of the leader.
func (c *Controller) applyLeader(value wire.Raw, modRevision uint64) error {
	leader := &c.ownership.leader
	if modRevision <= leader.ownerEpoch {
		return nil
	}
	var rec wire.OwnerRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	leader.owner = rec
	leader.ownerEpoch = modRevision
	if c.ownership.isMine(leader) {
		c.startLeading()
	}
	return nil
}

// applyMachineTypes takes in the record of the machine types.
func (c *Controller) applyMachineTypes(value wire.Raw, modRevision uint64) error {
	var rec wire.MachineTypes
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.fleet.typesModRevision = max(c.fleet.typesModRevision, modRevision)
	c.learnTypes(rec, false)
	return nil
}

// applyRecordSet takes in a record set of machines.
func (c *Controller) applyRecordSet(key string, value wire.Raw, modRevision uint64) error {
	var rec wire.MachineRecordSet
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.applyMachineRecordSet(key, rec, modRevision)
	return nil
}

// applyQuota takes in the record of a group's quota.
func (c *Controller) applyQuota(group string, value wire.Raw, modRevision uint64) error {
	var rec quota.Record
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.learnQuota(group, rec, modRevision)
	return nil
}

// applyJob takes in the record of a job; a job whose record can't be decoded is unusable.
func (c *Controller) applyJob(id string, value wire.Raw, modRevision uint64) error {
	var rec wire.JobRecord
	if err := wire.Decode(value, &rec); err != nil {
		c.jobs.unusable[id] = true
		return err
	}
	c.learnJob(id, rec, modRevision)
	return nil
}

// applyDelete takes in the deletion of a key, by the kind of the key. One that is older than
// what is known is ignored.
func (c *Controller) applyDelete(key string, modRevision uint64) {
	switch {
	case strings.HasPrefix(key, wire.PrefixOwner):
		c.applyShardOwnerDelete(key, modRevision)
	case key == wire.KeyLeader:
		c.ownership.clearOwner(&c.ownership.leader, modRevision)
	case strings.HasPrefix(key, wire.PrefixFleet):
		if set := c.machineRecords.sets[key]; set != nil && modRevision >= set.modRevision {
			c.machineRecords.drop(set)
		}
	}
}

// applyShardOwnerDelete takes in that a shard's owner key was deleted.
func (c *Controller) applyShardOwnerDelete(key string, modRevision uint64) {
	s := c.ownership.shardOfOwnerKey(key)
	if s == nil {
		return
	}
	if c.ownership.clearOwner(&s.lock, modRevision) && s.owned() {
		c.deactivate(s)
	}
}

// clearOwner takes in that a lock has no owner. It returns false if a later owner is known.
func (o *ownershipState) clearOwner(l *lock, modRevision uint64) bool {
	if modRevision < l.ownerEpoch {
		return false
	}
	l.ownerEpoch = 0
	l.owner = wire.OwnerRecord{}
	l.absentSince = o.now
	return true
}

// dropKeysNotListed applies the deletions that a complete listing of the control keys shows.
func (c *Controller) dropKeysNotListed(listed map[string]bool, revision uint64) {
	for _, s := range c.ownership.shards {
		c.dropLockNotListed(&s.lock, ownerKey(s.id), listed, revision)
	}
	c.dropLockNotListed(&c.ownership.leader, wire.KeyLeader, listed, revision)
	for _, key := range sortedKeys(c.machineRecords.sets) {
		if set := c.machineRecords.sets[key]; set.modRevision <= revision && !listed[key] {
			c.machineRecords.drop(set)
		}
	}
}

// dropLockNotListed applies the deletion of a lock's key if the listing shows it, and notes since
// when there is none if none was ever seen.
func (c *Controller) dropLockNotListed(l *lock, key string, listed map[string]bool, revision uint64) {
	switch {
	case l.ownerEpoch == 0:
		if l.absentSince == 0 {
			l.absentSince = c.now
		}
	case l.ownerEpoch <= revision && !listed[key]:
		c.applyDelete(key, revision)
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
