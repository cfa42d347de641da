package controller

import (
	"fmt"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// recordSetWriteTimeout is how long a write of record sets may take.
	recordSetWriteTimeout = 1500 * micros.Millisecond
	// recordSetWriteInterval is the time, before jitter, from the result of a write to the next
	// write of the same record set.
	recordSetWriteInterval = micros.Second
	// splitRetryDelay is the time after which a failed split of a record set is tried again.
	splitRetryDelay = 5 * micros.Second
	// splitInterval is the least time between two splits by this node. All machines of a record
	// set that is split send an additional heartbeat.
	splitInterval = 2 * micros.Second
)

// writeOutcome is the outcome of a write of record sets.
type writeOutcome int

const (
	// writeApplied means that the write was applied.
	writeApplied writeOutcome = iota
	// writeNotApplied means that the write was not applied and can't be applied any more.
	writeNotApplied
	// writeInDoubt means that the write may have been applied or may be applied later. The watch
	// shows it if it is.
	writeInDoubt
)

// String returns the name of the outcome.
func (o writeOutcome) String() string {
	switch o {
	case writeApplied:
		return "applied"
	case writeNotApplied:
		return "not_applied"
	case writeInDoubt:
		return "in_doubt"
	}
	return fmt.Sprintf("writeOutcome(%d)", int(o))
}

// failedWriteOutcome returns the outcome of a write whose reply does not confirm that it was
// applied.
func failedWriteOutcome(r statestore.Reply) writeOutcome {
	switch r.Outcome() {
	case statestore.NotExecuted, statestore.ConditionFailed:
		return writeNotApplied
	}
	return writeInDoubt
}

// recordSetWrite is the part of a transaction that writes or deletes one record set.
type recordSetWrite struct {
	key       string
	recordSet *machineRecordSet // nil: the write creates the record set
	record    wire.MachineRecordSet
	deleteKey bool // deletes the key, since no machine is left
}

// writeRecordSets writes several record sets in one transaction, on condition that lockKey still
// has the revision ownerEpoch, under which this node holds that lock. done is called with the
// outcome.
func (c *Controller) writeRecordSets(lockKey string, ownerEpoch uint64, writes []recordSetWrite, done func(writeOutcome)) {
	setWriteInFlight(writes, true)
	txn, ok := c.recordSetTxn(writes)
	if !ok {
		setWriteInFlight(writes, false)
		done(writeNotApplied)
		return
	}
	txn.Conditions = slices.Insert(txn.Conditions, 0, wire.Condition{Key: lockKey, ModRevision: ownerEpoch})
	c.queueStateRequest(statestore.ClassFleet, txn, recordSetWriteTimeout, func(r statestore.Reply) {
		for _, w := range writes {
			if w.recordSet != nil {
				w.recordSet.writeInFlight = false
				w.recordSet.nextWriteAt = c.now + c.jitter(recordSetWriteInterval)
			}
		}
		revision, ok := r.Revision()
		if !ok {
			done(failedWriteOutcome(r))
			return
		}
		c.applyRecordSetWrites(writes, revision)
		done(writeApplied)
	})
}

// setWriteInFlight sets on each of the record sets whether a write of it is under way.
func setWriteInFlight(writes []recordSetWrite, inFlight bool) {
	for _, w := range writes {
		if w.recordSet != nil {
			w.recordSet.writeInFlight = inFlight
		}
	}
}

// recordSetTxn returns the transaction that makes the writes, each on condition that its record
// set has not changed. ok is false if a record can't be encoded or is too large to be stored.
func (c *Controller) recordSetTxn(writes []recordSetWrite) (txn wire.Txn, ok bool) {
	for _, w := range writes {
		condition := wire.Condition{Key: w.key}
		if w.recordSet != nil {
			condition.ModRevision = w.recordSet.modRevision
		}
		txn.Conditions = append(txn.Conditions, condition)
		if w.deleteKey {
			txn.Changes = append(txn.Changes, wire.Change{Delete: w.key})
			continue
		}
		value, err := wire.Encode(w.record)
		if err != nil || !c.storable(value) {
			c.log(Error, "machine record set not encoded", "batch", w.key, "bytes", len(value), "error", err)
			return wire.Txn{}, false
		}
		txn.Changes = append(txn.Changes, wire.Change{Put: w.key, Value: value})
	}
	return txn, true
}

// applyRecordSetWrites updates the machines with the writes of an applied transaction, without
// waiting for the watch.
func (c *Controller) applyRecordSetWrites(writes []recordSetWrite, revision uint64) {
	for _, w := range writes {
		if !w.deleteKey {
			c.applyMachineRecordSet(w.key, w.record, revision)
			continue
		}
		if set := c.machineRecords.sets[w.key]; set != nil && set.modRevision <= revision {
			c.machineRecords.drop(set)
		}
	}
	c.dropMachinesWithoutRecordSet()
}

// raiseFencingToken rewrites a machine's record set. The fencing tokens of all machines in it rise
// above those of unanswered commands, and unanswered releases of these machines can't be applied
// any more.
func (c *Controller) raiseFencingToken(s *shard, m *machine) {
	set := m.recordSet
	if set.writeInFlight || c.now < set.nextWriteAt {
		return
	}
	if c.overRecordLimit(set) {
		c.splitRecordSet(s, set) // raises the fencing tokens too
		return
	}
	write := recordSetWrite{key: set.key, recordSet: set, record: recordSetOf(set.machines, nil, nil)}
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, []recordSetWrite{write}, func(outcome writeOutcome) {
		if outcome != writeApplied {
			return
		}
		for _, other := range set.machines {
			if other.view != nil {
				other.view.releasing = false
			}
		}
	})
}

// splitRecordSet splits a record set of a shard of this node into several in one transaction. No
// write of the record set may be under way.
func (c *Controller) splitRecordSet(s *shard, set *machineRecordSet) {
	set.nextWriteAt = c.now + splitRetryDelay // also if the transaction would be too large
	writes := c.splitWrites(s, set)
	if len(writes) > c.cfg.TxnOps {
		c.log(Error, "machine record set can't be split in one transaction, it stays as it is", "batch", set.key, "machines", len(set.machines), "parts", len(writes))
		return
	}
	c.log(Info, "machine record set split for smaller limits", "batch", set.key, "machines", len(set.machines), "parts", len(writes))
	// The watch shows whether the write was applied.
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, writes, func(writeOutcome) {})
}

// splitWrites returns the writes that keep the first machines of a record set in it and move
// the others to new ones.
func (c *Controller) splitWrites(s *shard, set *machineRecordSet) []recordSetWrite {
	var writes []recordSetWrite
	for chunk := range slices.Chunk(slices.Clone(set.machines), c.recordSetLimit()) {
		write := recordSetWrite{record: recordSetOf(chunk, nil, nil)}
		if len(writes) == 0 {
			write.key = set.key
			write.recordSet = set
		} else {
			write.key = wire.MachineRecordSetKey(s.id, c.machineRecords.newName(recordSetMoved, s.ownerEpoch))
		}
		writes = append(writes, write)
	}
	return writes
}

// splitOneRecordSet splits one record set of a shard if one is over the limit, the last split was
// long enough ago, and this node's lease is valid.
func (c *Controller) splitOneRecordSet(s *shard) {
	if c.now < c.machineRecords.nextSplitAt || !c.ownership.leaseValid() {
		return
	}
	c.machineRecords.nextSplitAt = c.now + splitInterval
	for _, m := range s.machines {
		set := m.recordSet
		if c.overRecordLimit(set) && !set.writeInFlight && c.now >= set.nextWriteAt {
			c.splitRecordSet(s, set)
			return
		}
	}
}
