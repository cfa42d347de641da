package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// This file reads and writes the records of groups in the state service.

// quotaPageSize is the number of records that are read with one request.
const quotaPageSize = 200

// followQuota maintains the watch on the records of groups.
func (c *Controller) followQuota() {
	if c.quota.ledger != nil {
		c.continueWatch(&c.quota.watch)
	}
}

// applyQuotaRecord handles the record of a group that came with a watch event, a listing or a read.
func (c *Controller) applyQuotaRecord(group string, rec quota.Record, modRevision uint64) {
	if c.quota.ledger == nil {
		return
	}
	c.stepQuota(quota.Learned{Group: group, Record: rec, ModRevision: modRevision})
	c.quota.indexTeamGroups()
}

// indexTeamGroups rebuilds paths and members from the ledger after a record has changed.
func (q *quotas) indexTeamGroups() {
	clear(q.members)
	for team, t := range q.cfg.Teams {
		q.paths[team] = q.ledger.Path(t.Name)
		for _, group := range q.paths[team] {
			q.members[group] = append(q.members[group], team)
		}
	}
	q.schedulingDue = true
}

// holdQuota tells the ledger that this controller now owns a shard. The shard is granted nothing
// from any group until all records have been read again, because the former owner may have given up
// more than this controller knows.
func (c *Controller) holdQuota(s *shard) {
	if c.quota.ledger == nil {
		return
	}
	c.stepQuota(quota.ShardAcquired{Shard: s.id})
	c.readAllQuotas(s, s.ownerEpoch, "")
}

// readAllQuotas reads the records of all groups for a shard that was claimed at ownerEpoch. It
// reads them page by page, beginning with the first key that follows after. If a read fails, the
// shard is marked as stale and read again later.
func (c *Controller) readAllQuotas(s *shard, ownerEpoch uint64, after string) {
	request := statestore.ListKeys{Prefix: wire.PrefixQuota, After: after, Limit: quotaPageSize}
	c.queueStateRequest(statestore.ClassLease, request, c.cfg.Lease, func(r statestore.Reply) {
		if !s.owned() || s.ownerEpoch != ownerEpoch {
			return
		}
		body, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != http.StatusOK {
			c.quota.staleShards[s.id] = true
			return
		}
		for _, kv := range body.Items {
			c.applyPut(kv.Key, kv.Value, kv.ModRevision)
			after = kv.Key
		}
		if body.More && len(body.Items) > 0 {
			c.readAllQuotas(s, ownerEpoch, after)
			return
		}
		c.stepQuota(quota.RecordsRead{Shard: s.id})
		c.quota.nextUsageAt = 0
		c.schedulingDue = true
	})
}

// dropQuota tells the ledger that this controller no longer owns a shard.
func (c *Controller) dropQuota(s *shard) { c.stepQuota(quota.ShardReleased{Shard: s.id}) }

// rereadQuotas reads the records of stale groups: those that the ledger has asked for, and those
// whose last read failed.
func (c *Controller) rereadQuotas() {
	for _, group := range sortedKeys(c.quota.staleGroups) {
		delete(c.quota.staleGroups, group)
		c.readQuota(group)
	}
}

// readQuota reads the record of a group. If the read fails, the group is marked as stale and read
// again at the next usage update.
func (c *Controller) readQuota(group string) {
	c.queueStateRequest(statestore.ClassFleet, statestore.GetKey{Key: wire.QuotaKey(group)}, quotaTimeout, func(r statestore.Reply) {
		switch kv, ok := r.Body.(*wire.KeyValue); {
		case r.Status == http.StatusNotFound:
		case ok && r.Status == http.StatusOK:
			c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		default:
			c.quota.staleGroups[group] = true
		}
	})
}

// writeQuota writes a record, on the conditions of quotaConditions, and passes the outcome to the
// ledger.
func (c *Controller) writeQuota(w quota.Write) {
	done := func(o quota.Outcome, modRevision uint64) {
		c.stepQuota(quota.WriteResult{ID: w.ID, Outcome: o, ModRevision: modRevision})
	}
	value, err := wire.Encode(w.Record)
	if err != nil || !c.storable(value) {
		c.log(Error, "record of a group not stored", "group", w.Group, "bytes", len(value), "error", err)
		c.deferToStepEnd(func() { done(quota.NotSent, 0) })
		return
	}
	txn := wire.Txn{Conditions: c.ownership.quotaConditions(w), Changes: []wire.Change{{Put: wire.QuotaKey(w.Group), Value: value}}}
	c.queueStateRequest(statestore.ClassFleet, txn, quotaTimeout, func(r statestore.Reply) {
		if revision, ok := r.Revision(); ok {
			done(quota.Applied, revision)
			c.quota.indexTeamGroups()
			return
		}
		done(quotaOutcome(r.Outcome()), 0)
	})
}

// quotaConditions returns the conditions of a write: the record is at the known revision, and this
// controller still leads or owns the shards that the write is for.
func (o *ownershipState) quotaConditions(w quota.Write) []wire.Condition {
	conditions := []wire.Condition{{Key: wire.QuotaKey(w.Group), ModRevision: w.ModRevision}}
	if w.Leader {
		conditions = append(conditions, wire.Condition{Key: wire.KeyLeader, ModRevision: o.leader.ownerEpoch})
	}
	for _, id := range w.Shards {
		conditions = append(conditions, wire.Condition{Key: ownerKey(id), ModRevision: o.shards[id].ownerEpoch})
	}
	return conditions
}

// quotaOutcome converts the outcome of a write that was not applied for the ledger.
func quotaOutcome(o statestore.Outcome) quota.Outcome {
	switch o {
	case statestore.ConditionFailed:
		return quota.Refused
	case statestore.NotExecuted, statestore.Rejected:
		return quota.NotSent
	}
	return quota.Unknown
}
