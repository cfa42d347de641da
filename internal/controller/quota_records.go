package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// The records of groups in the state service.

// quotaPageSize is the number of records that are read at a time.
const quotaPageSize = 200

// followQuota keeps the records of groups watched.
func (c *Controller) followQuota() {
	if c.quota.ledger != nil {
		c.follow(&c.quota.watch)
	}
}

// learnQuota takes in a group's record from a watch, a listing or a read.
func (c *Controller) learnQuota(group string, rec quota.Record, modRevision uint64) {
	if c.quota.ledger == nil {
		return
	}
	c.stepQuota(quota.Learned{Group: group, Record: rec, ModRevision: modRevision})
	c.quota.indexQuota()
}

// indexQuota notes which groups each team is in, after a record has come.
func (q *quotas) indexQuota() {
	clear(q.members)
	for team, t := range q.cfg.Teams {
		q.paths[team] = q.ledger.Path(t.Name)
		for _, group := range q.paths[team] {
			q.members[group] = append(q.members[group], team)
		}
	}
	q.schedulingDue = true
}

// holdQuota has the ledger hold a shard that this controller has come to own: nothing is granted
// there from any group before all records were read anew, for the former owner may have given up
// more than is known here.
func (c *Controller) holdQuota(s *shard) {
	if c.quota.ledger == nil {
		return
	}
	c.stepQuota(quota.ShardAcquired{Shard: s.id})
	c.refreshQuota(s, s.ownerEpoch, "")
}

// refreshQuota reads all records anew for a shard that was claimed at ownerEpoch, page by page,
// from those after a key on.
func (c *Controller) refreshQuota(s *shard, ownerEpoch uint64, after string) {
	request := statestore.ListKeys{Prefix: wire.PrefixQuota, After: after, Limit: quotaPageSize}
	c.askState(statestore.ClassLease, request, c.cfg.Lease, func(r statestore.Reply) {
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
			c.refreshQuota(s, ownerEpoch, after)
			return
		}
		c.stepQuota(quota.RecordsRead{Shard: s.id})
		c.quota.nextUsageAt = 0
		c.schedulingDue = true
	})
}

// dropQuota has the ledger drop a shard that this controller no longer owns.
func (c *Controller) dropQuota(s *shard) { c.stepQuota(quota.ShardReleased{Shard: s.id}) }

// rereadQuotas reads the records anew that the ledger has asked for, or that could not be read.
func (c *Controller) rereadQuotas() {
	for _, group := range sortedKeys(c.quota.staleGroups) {
		delete(c.quota.staleGroups, group)
		c.readQuota(group)
	}
}

// readQuota reads a group's record anew, and again with the next usage if that fails.
func (c *Controller) readQuota(group string) {
	c.askState(statestore.ClassFleet, statestore.GetKey{Key: wire.QuotaKey(group)}, quotaTimeout, func(r statestore.Reply) {
		switch kv, ok := r.Body.(*wire.KeyValue); {
		case r.Status == http.StatusNotFound:
		case ok && r.Status == http.StatusOK:
			c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		default:
			c.quota.staleGroups[group] = true
		}
	})
}

// writeQuota sends a record, under the keys by which this controller may write it.
func (c *Controller) writeQuota(w quota.Write) {
	done := func(o quota.Outcome, modRevision uint64) {
		c.stepQuota(quota.WriteResult{ID: w.ID, Outcome: o, ModRevision: modRevision})
	}
	value, err := wire.Encode(w.Record)
	if err != nil || !c.storable(value) {
		c.log(Error, "record of a group not stored", "group", w.Group, "bytes", len(value), "error", err)
		c.later(func() { done(quota.NotSent, 0) })
		return
	}
	txn := wire.Txn{Conditions: c.ownership.quotaConditions(w), Changes: []wire.Change{{Put: wire.QuotaKey(w.Group), Value: value}}}
	c.askState(statestore.ClassFleet, txn, quotaTimeout, func(r statestore.Reply) {
		if revision, ok := r.Revision(); ok {
			done(quota.Applied, revision)
			c.quota.indexQuota()
			return
		}
		done(quotaOutcome(r.Outcome()), 0)
	})
}

// quotaConditions returns under which conditions a record may be written: that it is the one
// known, and that this controller still leads or owns the shards that the write is for.
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

// quotaOutcome returns for the ledger what became of a write that was not applied.
func quotaOutcome(o statestore.Outcome) quota.Outcome {
	switch o {
	case statestore.ConditionFailed:
		return quota.Refused
	case statestore.NotExecuted, statestore.Rejected:
		return quota.NotSent
	}
	return quota.Unknown
}
