package quota

import "testing"

// TestSetConflict checks the answers to an operator's request whose write has an unknown
// outcome. It fails as a conflict if another request was written first. It succeeds if the
// record shows that its own write was carried out and only the response was lost. It fails as
// busy if it has waited too long.
func TestSetConflict(t *testing.T) {
	limit := CPULimit(5)
	other := CPULimit(7)
	for _, tc := range []struct {
		name string
		// override and epoch are those of the record that the ledger learns before the write
		// gets its outcome. With epoch 1 it learns none.
		override *Limit
		epoch    uint64
		later    Micros
		want     SetStatus
	}{
		{name: "another request was written first", override: &other, epoch: 2, want: SetConflict},
		{name: "the write was carried out, the response lost", override: &limit, epoch: 2, want: SetAnnounced},
		{name: "no record can be read until the timeout", epoch: 1, later: 10 * sec, want: SetBusy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			record := recordInForce(10, row(0, 5, 5, 1), row(1, 5, 5, 1))
			h := newHarness(record)
			h.step(SetLimit{Token: 1, Group: innerGroup, Limit: &limit})
			h.requireWrites(t, "after the request", 1)
			if override := h.writes[0].Record.Override; !override.Equal(limit) {
				t.Fatalf("the write sets %v, want the requested limit", override)
			}
			h.now.Steady += tc.later
			if tc.epoch > 1 {
				record.Override = tc.override
				record.Epoch = tc.epoch
				h.learn(innerGroup, record, 11)
			}
			h.step(WriteResult{ID: h.writes[0].ID, Outcome: Unknown})
			h.step(Tick{})
			if len(h.done) != 1 || h.done[0].Status != tc.want {
				t.Errorf("done %+v, want status %v", h.done, tc.want)
			}
		})
	}
}
