package quota

import (
	"fmt"
	"testing"
)

// recordViolation records that a check has failed.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// check checks what runs against the limits in force and the allowances.
func (w *world) check() {
	for group, s := range w.store {
		if s.record.LastInForce == nil || s.record.Removed {
			continue
		}
		used := w.usedCPUs(allShards, group)
		if !(Amount{CPUs: used}).Within(s.record.LastInForce.Amount()) {
			w.recordViolation("%s uses %g, in force is %s", group, used, s.record.LastInForce)
		}
		for _, row := range s.record.Rows {
			used := w.usedCPUs(row.Shard, group)
			if !(Amount{CPUs: used}).Within(row.Allowance) {
				w.recordViolation("shard %d uses %g of %s, its allowance is %g", row.Shard, used, group, row.Allowance.CPUs)
			}
		}
	}
	w.recordWaits()
}

// checkAcknowledged checks that the owner of a task's shard has not granted the task above
// a limit whose epoch it has acknowledged.
func (w *world) checkAcknowledged(t *simulatedTask) {
	for _, group := range w.enclosingGroups(t.group) {
		record := w.store[group].record
		i := record.RowIndex(t.shard)
		if i < 0 || record.Rows[i].SeenEpoch != record.Epoch || record.Removed {
			continue
		}
		used := w.usedCPUs(t.shard, group)
		if !(Amount{CPUs: used}).Within(record.Limit.Amount()) {
			w.recordViolation("shard %d grants %g of %s, its owner has acknowledged %s", t.shard, used, group, record.Limit)
		}
	}
}

// checkFences checks that a write names all shards whose rows it changes: a late write of a
// former owner is void only then.
func (w *world) checkFences(e fencedWrite, before Record) {
	for _, row := range e.Record.Rows {
		if _, fenced := e.owned[row.Shard]; fenced {
			continue
		}
		i := before.RowIndex(row.Shard)
		if i < 0 || before.Rows[i] != row {
			w.recordViolation("a write of %s changes the row of shard %d, and does not name it", e.Group, row.Shard)
		}
	}
}

// recordWaits records how long tasks wait beside quota that is in nobody's use.
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

// fitsFreeQuota reports whether a waiting task, whose shard has an owner, fits into what
// is not used of the limit of each group around it, all of which are in force.
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
			t.Errorf("a task of %g in %s waits since %.3f s", task.size, task.group, task.since.Seconds())
		}
	}
}
