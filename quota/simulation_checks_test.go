package quota

import (
	"fmt"
	"testing"
)

// recordViolation records that a check has failed.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// check checks that the use of each group is within the limit that was last in force, and the
// use of each shard within its allowance. It skips removed groups, and groups whose record has
// no LastInForce.
func (w *world) check() {
	for group, s := range w.store {
		if s.record.LastInForce == nil || s.record.Removed {
			continue
		}
		used := w.usedCPUs(allShards, group)
		if !(Amount{CPUs: used}).Within(s.record.LastInForce.Amount()) {
			w.recordViolation("group %s uses %g CPUs, the limit in force is %s", group, used, s.record.LastInForce)
		}
		for _, row := range s.record.Rows {
			used := w.usedCPUs(row.Shard, group)
			if !(Amount{CPUs: used}).Within(row.Allowance) {
				w.recordViolation("shard %d uses %g CPUs of group %s, its allowance is %g", row.Shard, used, group, row.Allowance.CPUs)
			}
		}
	}
	w.recordWaits()
}

// checkAcknowledged checks that a started task does not take its shard above a limit whose
// epoch the shard's owner has acknowledged in the record.
func (w *world) checkAcknowledged(t *simulatedTask) {
	for _, group := range w.enclosingGroups(t.group) {
		record := w.store[group].record
		i := record.RowIndex(t.shard)
		if i < 0 || record.Rows[i].SeenEpoch != record.Epoch || record.Removed {
			continue
		}
		used := w.usedCPUs(t.shard, group)
		if !(Amount{CPUs: used}).Within(record.Limit.Amount()) {
			w.recordViolation("shard %d has been granted %g CPUs of group %s, its owner has acknowledged the limit %s", t.shard, used, group, record.Limit)
		}
	}
}

// checkFences checks that a write names all shards whose rows it changes. Otherwise the store
// could not refuse a late write of a former owner.
func (w *world) checkFences(e fencedWrite, before Record) {
	for _, row := range e.Record.Rows {
		if _, fenced := e.owned[row.Shard]; fenced {
			continue
		}
		i := before.RowIndex(row.Shard)
		if i < 0 || before.Rows[i] != row {
			w.recordViolation("a write of group %s changes the row of shard %d without naming the shard", e.Group, row.Shard)
		}
	}
}

// recordWaits records how long tasks wait although unused quota has room for them.
func (w *world) recordWaits() {
	for _, t := range w.tasks {
		switch {
		case !w.fitsFreeQuota(t):
			t.fitsSince = 0
		case t.fitsSince == 0:
			t.fitsSince = max(w.now, 1)
		default:
			w.longestWait = max(w.longestWait, w.now-t.fitsSince)
		}
	}
}

// fitsFreeQuota reports whether a task waits in a shard with an owner, and fits into the unused
// part of the limit of each group around it, with all of these limits in force.
func (w *world) fitsFreeQuota(t *simulatedTask) bool {
	if t.running || w.owners[t.shard].controller == noOwner {
		return false
	}
	for _, group := range w.enclosingGroups(t.group) {
		s := w.store[group]
		inForce := s.modRevision != 0 && s.record.LastInForce != nil && !s.record.Exceeded()
		used := Amount{CPUs: w.usedCPUs(allShards, group) + t.size}
		if !inForce || !used.Within(s.record.Limit.Amount()) {
			return false
		}
	}
	return true
}

// requireNoViolation fails the test for each check that has failed.
func (w *world) requireNoViolation(t *testing.T) {
	t.Helper()
	for _, v := range w.violations {
		t.Error(v)
	}
}

// requireNoneWaiting fails the test for each task that still waits.
func (w *world) requireNoneWaiting(t *testing.T) {
	t.Helper()
	for _, task := range w.tasks {
		if !task.running {
			t.Errorf("a task of %g CPUs in group %s has waited since %.3f s", task.size, task.group, task.since.Seconds())
		}
	}
}
