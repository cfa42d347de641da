package controller

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// applyEvents applies changes of keys in their order.
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

// applyPut applies the value of a key from a watch, a listing or a read. A value older than the
// known one is ignored.
func (c *Controller) applyPut(key string, value wire.Raw, modRevision uint64) {
	if err := c.applyRecord(key, value, modRevision); err != nil {
		c.log(Error, "record not readable, ignored", "key", key, "error", err)
	}
}

// applyRecord applies a record according to the prefix of its key. It returns an error if the
// record cannot be decoded.
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

// shardOfOwnerKey returns the shard of an owner key, or nil if there is no such shard.
func (o *ownershipState) shardOfOwnerKey(key string) *shard {
	id, err := strconv.Atoi(key[len(wire.PrefixOwner):])
	if err != nil || id < 0 || id >= len(o.shards) {
		return nil
	}
	return o.shards[id]
}

// applyShardOwner applies the owner record of a shard.
func (c *Controller) applyShardOwner(key string, value wire.Raw, modRevision uint64) error {
	s := c.ownership.shardOfOwnerKey(key)
	if s == nil || modRevision <= s.ownerEpoch {
		return nil
	}
	var rec wire.OwnerRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.setShardOwner(s, rec, modRevision)
	return nil
}

// applyLeader applies the owner record of the leader lock.
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
	if c.ownership.holdsLock(leader) {
		c.startLeading()
	}
	return nil
}

// applyMachineTypes applies the record of the machine types.
func (c *Controller) applyMachineTypes(value wire.Raw, modRevision uint64) error {
	var rec wire.MachineTypes
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.fleet.typesModRevision = max(c.fleet.typesModRevision, modRevision)
	c.applyTypes(rec, false)
	return nil
}

// applyRecordSet applies a machine record set.
func (c *Controller) applyRecordSet(key string, value wire.Raw, modRevision uint64) error {
	var rec wire.MachineRecordSet
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.applyMachineRecordSet(key, rec, modRevision)
	return nil
}

// applyQuota applies the quota record of a group.
func (c *Controller) applyQuota(group string, value wire.Raw, modRevision uint64) error {
	var rec quota.Record
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	c.applyQuotaRecord(group, rec, modRevision)
	return nil
}

// applyJob applies the record of a job. A job whose record cannot be decoded is marked unusable.
func (c *Controller) applyJob(id string, value wire.Raw, modRevision uint64) error {
	var rec wire.JobRecord
	if err := wire.Decode(value, &rec); err != nil {
		c.jobs.unusable[id] = true
		return err
	}
	c.applyJobRecord(id, rec, modRevision)
	return nil
}

// applyDelete applies the deletion of a key according to its prefix. A deletion older than the
// known value is ignored.
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

// applyShardOwnerDelete applies the deletion of a shard's owner key.
func (c *Controller) applyShardOwnerDelete(key string, modRevision uint64) {
	s := c.ownership.shardOfOwnerKey(key)
	if s == nil {
		return
	}
	if c.ownership.clearOwner(&s.lock, modRevision) && s.owned() {
		c.deactivateShard(s)
	}
}

// clearOwner marks a lock as free as of a revision. It returns false and changes nothing if a later
// owner is known.
func (o *ownershipState) clearOwner(l *lock, modRevision uint64) bool {
	if modRevision < l.ownerEpoch {
		return false
	}
	l.ownerEpoch = 0
	l.owner = wire.OwnerRecord{}
	l.freeSince = o.now
	return true
}

// dropUnlistedKeys applies the deletion of each control key that is known but missing from a
// complete listing at a revision.
func (c *Controller) dropUnlistedKeys(listed map[string]bool, revision uint64) {
	for _, s := range c.ownership.shards {
		c.dropUnlistedLock(&s.lock, ownerKey(s.id), listed, revision)
	}
	c.dropUnlistedLock(&c.ownership.leader, wire.KeyLeader, listed, revision)
	for _, key := range sortedKeys(c.machineRecords.sets) {
		if set := c.machineRecords.sets[key]; set.modRevision <= revision && !listed[key] {
			c.machineRecords.drop(set)
		}
	}
}

// dropUnlistedLock frees a lock whose key is missing from the listing. A lock that this node has
// never seen held counts as free from now on.
func (c *Controller) dropUnlistedLock(l *lock, key string, listed map[string]bool, revision uint64) {
	switch {
	case l.ownerEpoch == 0:
		if l.freeSince == 0 {
			l.freeSince = c.now
		}
	case l.ownerEpoch <= revision && !listed[key]:
		c.applyDelete(key, revision)
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
