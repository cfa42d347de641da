package authority

import (
	"testing"

	"garnethitch/internal/micros"
)

// TestBounds checks that tasks on a former owner's machines end before the bounds allow a
// successor to tell users that they have ended, even when the clocks drift apart as far as they
// may.
func TestBounds(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		lease, worker, cancel float64
	}{
		{"long worker lease", 5, 45, 70},
		{"short worker lease", 5, 19, 49},
		{"no time beyond the worker lease", 5, 45, 46},
		{"cancel shorter than lease", 5, 45, 20},
		{"long controller lease", 60, 30, 300},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lease, worker, cancel := micros.FromSeconds(tc.lease), micros.FromSeconds(tc.worker), micros.FromSeconds(tc.cancel)
			b := NewBounds(lease, worker, cancel)
			// slow returns the true time that passes while a slow clock measures d.
			slow := func(d micros.Micros) micros.Micros { return d + d/1000 }
			if slow(b.LeaseValidity) >= lease {
				t.Errorf("lease valid until %v, but the lease may end at %v", b.LeaseValidity, lease)
			}
			if b.CommandValidity < b.LeaseValidity {
				t.Errorf("commands end at %v, before the lease validity ends at %v", b.CommandValidity, b.LeaseValidity)
			}
			// Users may be notified right after the last renewal: the record was applied, its
			// response was lost, and another node has read the record.
			if last := slow(b.CommandValidity) + slow(worker); b.CommandValidity > b.LeaseValidity && last > cancel {
				t.Errorf("a machine may keep a cancelled job until %v, allowed is %v", last, cancel)
			}
			// Users may be notified right after the owner's view of jobs was complete.
			if last := slow(b.StaleViewGrace) + slow(worker); b.StaleViewGrace > 0 && last > cancel {
				t.Errorf("the machine of an owner with a stale view may keep a cancelled job until %v, allowed is %v", last, cancel)
			}
			// Users may be notified right after the task was to be stopped.
			if last := slow(b.LateStartGrace) + slow(worker); b.LateStartGrace > 0 && last > cancel {
				t.Errorf("a task of a cancelled job may be started until %v, allowed is %v", last, cancel)
			}
			if b.WorkerExpiry < slow(worker) {
				t.Errorf("a machine is taken to be free after %v, but its lease may last %v", b.WorkerExpiry, slow(worker))
			}
			// A former owner may answer until CommandValidity after a renewal that it sent no
			// later than lease before the claim.
			if need := slow(b.CommandValidity) - lease + slow(worker); b.SuccessorWait < need {
				t.Errorf("a successor waits %v, but a machine may hold tasks of a former owner for %v", b.SuccessorWait, need)
			}
		})
	}
}
