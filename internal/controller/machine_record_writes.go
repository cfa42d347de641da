package controller

import (
	"fmt"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// recordSetWriteTimeout bounds a write of record sets.
	recordSetWriteTimeout = 1500 * micros.Millisecond
	// recordSetWriteInterval is about how long after a write the same record set may be
	// written again.
	recordSetWriteInterval = micros.Second
	// splitRetryDelay is how long after an attempt to split a record set it is tried again.
	splitRetryDelay = 5 * micros.Second
	// splitInterval is how long after one record set the next of this node is split: all in
	// it send one more heartbeat.
	splitInterval = 2 * micros.Second
)

// writeOutcome is what became of a write of record sets.
type writeOutcome int

const (
	// writeApplied means that the records stand.
	writeApplied writeOutcome = iota
	// writeNotApplied means that they do not, and the write can't be applied any more.
	writeNotApplied
	// writeInDoubt means that the write may have been applied or may yet be; the watch shows it
	// then.
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

// failedWriteOutcome is the outcome of a write whose result does not say that it was applied.
func failedWriteOutcome(r statestore.Reply) writeOutcome {
	switch r.Outcome() {
	case statestore.NotExecuted, statestore.ConditionFailed:
		return writeNotApplied
	}
	return writeInDoubt
}

// recordSetWrite is one record set's part of a transaction.
type recordSetWrite struct {
	key       string
	recordSet *machineRecordSet // nil: a new one
	record    wire.MachineRecordSet
	deleteKey bool // no machine is left
}

// writeRecordSets writes several record sets in one transaction, on condition that a key of
// this node still has the revision under which this node holds it. done is called with the outcome.
func (c *Controller) writeRecordSets(under string, ownerEpoch uint64, writes []recordSetWrite, done func(writeOutcome)) {
	setWriteInFlight(writes, true)
	txn, ok := c.recordSetTxn(writes)
	if !ok {
		setWriteInFlight(writes, false)
		done(writeNotApplied)
		return
	}
	txn.Conditions = slices.Insert(txn.Conditions, 0, wire.Condition{Key: under, ModRevision: ownerEpoch})
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

// setWriteInFlight notes whether a write of the record sets is under way or in doubt.
func setWriteInFlight(writes []recordSetWrite, inFlight bool) {
	for _, w := range writes {
		if w.recordSet != nil {
			w.recordSet.writeInFlight = inFlight
		}
	}
}

// recordSetTxn returns the transaction of some writes, each on condition that its record set
// has not changed; ok is false if one of them can't be stored.
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

// applyRecordSetWrites takes what a transaction has written, ahead of the watch.
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

// raiseFencingToken rewrites a machine's record set, so that the fencing token of all in it
// rises above unanswered commands, and unanswered releases of them can't be applied any more.
func (c *Controller) raiseFencingToken(s *shard, m *machine) {
	set := m.recordSet
	if set.writeInFlight || c.now < set.nextWriteAt {
		return
	}
	if c.overRecordLimit(set) {
		c.splitRecordSet(s, set) // which raises as well
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

// splitRecordSet splits a record set of a shard of this node, of which no write is under way,
// into several, in one transaction.
func (c *Controller) splitRecordSet(s *shard, set *machineRecordSet) {
	set.nextWriteAt = c.now + splitRetryDelay // also where it can't be done
	writes := c.splitWrites(s, set)
	if len(writes) > c.cfg.TxnOps {
		c.log(Error, "machine record set can't be split in one transaction, it stays as it is", "batch", set.key, "machines", len(set.machines), "parts", len(writes))
		return
	}
	c.log(Info, "machine record set split for smaller limits", "batch", set.key, "machines", len(set.machines), "parts", len(writes))
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, writes, func(writeOutcome) {}) // the watch shows it if it was applied
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

// splitOneRecordSet splits one record set of a shard that is too large, if there is one.
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
