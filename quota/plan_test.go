package quota

import "testing"

// TestCompensatesForExcessOfOthers guards against a lowered limit that never comes into force
// because another owner does not reduce its allowance. After Timing.ExcessTimeout this shard
// gives up the remaining excess from its own allowance, as far as that is unused.
func TestCompensatesForExcessOfOthers(t *testing.T) {
	record := recordInForce(10, row(0, 10, 10, 1), row(1, 10, 10, 1))
	before := CPULimit(20)
	record.LastInForce = &before
	record.Epoch = 2
	h := newHarness(record)
	h.reportUsage(2, 8)
	h.requireWrites(t, "once the epoch is seen", 1)
	if own := h.writes[0].Record.Rows[0]; own.Allowance.CPUs != 5 || own.SeenEpoch != 2 {
		t.Fatalf("once the epoch is seen: %+v, want an allowance of 5 and seen epoch 2", own)
	}
	h.step(WriteResult{ID: h.writes[0].ID, Outcome: Applied, ModRevision: 11})
	for range 6 {
		h.reportUsage(2, 8)
	}
	h.requireWrites(t, "after ExcessTimeout", 2)
	if own := h.writes[1].Record.Rows[0]; own.Allowance.CPUs != 2 {
		t.Errorf("after ExcessTimeout: %+v, want an allowance of 2", own)
	}
}
