package core

import (
	"testing"

	"garnethitch/internal/micros"
)

// The bounds must keep an old owner's machines from outliving what a successor
// may tell users, with both clocks drifting apart as far as they may.
func TestBounds(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		lease, worker, cancel float64
	}{
		{"long worker lease", 5, 45, 70},
		{"short worker lease", 5, 19, 49},
		{"no room for extra time", 5, 45, 46},
		{"cancel shorter than lease", 5, 45, 20},
		{"long controller lease", 60, 30, 300},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lease, worker, cancel := micros.FromSeconds(tc.lease), micros.FromSeconds(tc.worker), micros.FromSeconds(tc.cancel)
			b := NewBounds(lease, worker, cancel)
			slow := func(d micros.Micros) micros.Micros { return d + d/1000 } // true time over d of a slow clock
			if slow(b.Answer) >= lease {
				t.Errorf("answers until %v, but the lease may end at %v", b.Answer, lease)
			}
			if b.Command < b.Answer {
				t.Errorf("commands end at %v, before answers at %v", b.Command, b.Answer)
			}
			// Told "cancelled" at the earliest right after the last renewal: the record was
			// carried out, its answer lost, and another node has read it.
			if last := slow(b.Command) + slow(worker); b.Command > b.Answer && last > cancel {
				t.Errorf("a machine may keep a cancelled job until %v, allowed is %v", last, cancel)
			}
			// Told at the earliest right after the blind owner's view of jobs was complete.
			if last := slow(b.Blind) + slow(worker); b.Blind > 0 && last > cancel {
				t.Errorf("a blind owner's machine may keep a cancelled job until %v, allowed is %v", last, cancel)
			}
			// Told at the earliest right after the task was to be stopped.
			if last := slow(b.LateStart) + slow(worker); b.LateStart > 0 && last > cancel {
				t.Errorf("a start of a cancelled job may be carried out until %v, allowed is %v", last, cancel)
			}
			if b.WorkerGone < slow(worker) {
				t.Errorf("a machine counts as free after %v, its lease may last %v", b.WorkerGone, slow(worker))
			}
			// The old owner may answer until Command after a renewal that was sent
			// no later than lease before the claim.
			if need := slow(b.Command) - lease + slow(worker); b.SuccessorFree < need {
				t.Errorf("a successor waits %v, a machine may last %v", b.SuccessorFree, need)
			}
		})
	}
}
