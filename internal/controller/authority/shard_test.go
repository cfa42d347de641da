package authority

import (
	"testing"

	"garnethitch/internal/micros"
)

const now micros.Micros = 1000 * micros.Second

// testBounds has a different value for every bound, so that a test fails if a decision uses the
// wrong one.
var testBounds = Bounds{
	LeaseValidity:   4 * micros.Second,
	CommandValidity: 20 * micros.Second,
	StaleViewGrace:  15 * micros.Second,
	LateStartGrace:  12 * micros.Second,
	WorkerExpiry:    45 * micros.Second,
	SuccessorWait:   65 * micros.Second,
}

func TestLease(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		lease                   LeaseKnowledge
		wantValid, wantCommands bool
	}{
		{"no lease", LeaseKnowledge{Held: false, RenewedAt: now, Now: now}, false, false},
		{"just renewed", LeaseKnowledge{Held: true, RenewedAt: now, Now: now}, true, true},
		{"last instant of the lease", LeaseKnowledge{Held: true, RenewedAt: now - testBounds.LeaseValidity + 1, Now: now}, true, true},
		{"end of the lease", LeaseKnowledge{Held: true, RenewedAt: now - testBounds.LeaseValidity, Now: now}, false, true},
		{"last instant for commands", LeaseKnowledge{Held: true, RenewedAt: now - testBounds.CommandValidity + 1, Now: now}, false, true},
		{"end of the time for commands", LeaseKnowledge{Held: true, RenewedAt: now - testBounds.CommandValidity, Now: now}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := LeaseValid(tc.lease, testBounds); got != tc.wantValid {
				t.Errorf("LeaseValid = %v, want %v", got, tc.wantValid)
			}
			if got := MayIssueCommands(tc.lease, testBounds); got != tc.wantCommands {
				t.Errorf("MayIssueCommands = %v, want %v", got, tc.wantCommands)
			}
		})
	}
}

func TestMayCommandShard(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(k *ShardKnowledge)
		want   Decision
	}{
		{"an owner with a current view", func(*ShardKnowledge) {}, Allow(ReasonCurrentView)},
		{"not the owner", func(k *ShardKnowledge) { k.Owned = false }, Refuse(ReasonNotOwner)},
		{"releasing", func(k *ShardKnowledge) { k.Releasing = true }, Refuse(ReasonReleasing)},
		{"an older claim of another node is known", func(k *ShardKnowledge) { k.HighestSeenEpoch = k.OwnerEpoch - 1 }, Allow(ReasonCurrentView)},
		{"a newer claim of another node is known", func(k *ShardKnowledge) { k.HighestSeenEpoch = k.OwnerEpoch + 1 }, Refuse(ReasonNewerClaim)},
		{"no lease", func(k *ShardKnowledge) { k.Lease.Held = false }, Refuse(ReasonLeaseTooOld)},
		{"the last renewal as old as it may be", func(k *ShardKnowledge) { k.Lease.RenewedAt = now - testBounds.CommandValidity + 1 }, Allow(ReasonCurrentView)},
		{"the last renewal too old", func(k *ShardKnowledge) { k.Lease.RenewedAt = now - testBounds.CommandValidity }, Refuse(ReasonLeaseTooOld)},
		{"a view that is current, but was last complete long ago", func(k *ShardKnowledge) { k.JobsCompleteAsOf = -micros.Never }, Allow(ReasonCurrentView)},
		{"a stale view as old as it may be", func(k *ShardKnowledge) {
			k.JobsViewCurrent = false
			k.JobsCompleteAsOf = now - testBounds.StaleViewGrace + 1
		}, Allow(ReasonStaleViewWithinGrace)},
		{"a stale view too old", func(k *ShardKnowledge) {
			k.JobsViewCurrent = false
			k.JobsCompleteAsOf = now - testBounds.StaleViewGrace
		}, Refuse(ReasonStaleViewBeyondGrace)},
		{"no view yet", func(k *ShardKnowledge) {
			k.JobsViewCurrent = false
			k.JobsCompleteAsOf = -micros.Never
		}, Refuse(ReasonStaleViewBeyondGrace)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			known := ShardKnowledge{
				Lease:            LeaseKnowledge{Held: true, RenewedAt: now, Now: now},
				Owned:            true,
				OwnerEpoch:       7,
				JobsViewCurrent:  true,
				JobsCompleteAsOf: now,
			}
			tc.change(&known)
			if got := MayCommandShard(known, testBounds); got != tc.want {
				t.Errorf("got %+v (%s), want %+v (%s)", got, got.Reason, tc.want, tc.want.Reason)
			}
		})
	}
}

func TestMayAnswerFromMemory(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(k *OpenJobKnowledge)
		want   bool
	}{
		{"an owner with a current view", func(*OpenJobKnowledge) {}, true},
		{"a stale view of jobs", func(k *OpenJobKnowledge) { k.JobsViewCurrent = false }, false},
		{"a stale view, but accepted under this claim", func(k *OpenJobKnowledge) {
			k.JobsViewCurrent = false
			k.AcceptedUnderClaim = true
		}, true},
		{"the shard may not be commanded", func(k *OpenJobKnowledge) { k.Shard = Refuse(ReasonReleasing) }, false},
		{"the lease has expired, but commands are still allowed", func(k *OpenJobKnowledge) { k.Lease.RenewedAt = now - testBounds.LeaseValidity }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			known := OpenJobKnowledge{
				Shard:           Allow(ReasonCurrentView),
				Lease:           LeaseKnowledge{Held: true, RenewedAt: now, Now: now},
				JobsViewCurrent: true,
			}
			tc.change(&known)
			if got := MayAnswerFromMemory(known, testBounds); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestMayLead(t *testing.T) {
	valid := LeaseKnowledge{Held: true, RenewedAt: now, Now: now}
	over := LeaseKnowledge{Held: true, RenewedAt: now - testBounds.LeaseValidity, Now: now}
	for _, tc := range []struct {
		name  string
		known LeaderKnowledge
		want  bool
	}{
		{"holds the lock", LeaderKnowledge{Lease: valid, Owned: true}, true},
		{"does not hold the lock", LeaderKnowledge{Lease: valid}, false},
		{"stepping down", LeaderKnowledge{Lease: valid, Owned: true, SteppingDown: true}, false},
		{"the lease has expired", LeaderKnowledge{Lease: over, Owned: true}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := MayLead(tc.known, testBounds); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
