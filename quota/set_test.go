package quota

import "testing"

// TestSetConflict checks that an operator's request that another has come before fails, one whose
// write was carried out with its answer lost is recognised, one that waits too long fails.
func TestSetConflict(t *testing.T) {
	limit := CPULimit(5)
	other := CPULimit(7)
	for _, tc := range []struct {
		name string
		// override and epoch are those of the record that is read after the write was not
		// answered; epoch 1: none is read.
		override *Limit
		epoch    uint64
		later    Micros
		want     SetStatus
	}{
		{name: "another's came first", override: &other, epoch: 2, want: SetConflict},
		{name: "its own, with the answer lost", override: &limit, epoch: 2, want: SetAnnounced},
		{name: "nothing can be read for long", epoch: 1, later: 10 * sec, want: SetBusy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			record := recordInForce(10, row(0, 5, 5, 1), row(1, 5, 5, 1))
			h := newHarness(record)
			h.step(SetLimit{Token: 1, Group: innerGroup, Limit: &limit})
			h.requireWrites(t, "after the request", 1)
			if override := h.writes[0].Record.Override; !override.Equal(limit) {
				t.Fatalf("the write sets %v", override)
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
