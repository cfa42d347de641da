package controller

import (
	"slices"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// The log tells each change of what a node may do for a shard, who cancelled a job, and
// why reports were refused.
func TestDecisionLog(t *testing.T) {
	h := meet(t, func(c *Config) {
		withPeer(c)
		c.Cancel, c.LogHeartbeats = 40*sec, true
	})
	fencingToken, attempt := h.runOne()
	h.cancel("job-000001")
	h.heartbeat(h.running(20, fencingToken, attempt))
	h.heartbeat(h.running(20, fencingToken, attempt)) // a copy
	h.watchBlocked = wire.PrefixJob
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	h.run(h.c.bounds.StaleViewGrace)
	h.stateDown = true
	h.run(h.c.bounds.CommandValidity)
	h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{About: peer.About{Claims: []peer.ShardClaim{{Shard: 0, OwnerEpoch: 1 << 40}}}}}})
	h.run(sec)
	want := []string{"current_view", "not_owner", "stale_view_within_grace", "stale_view_beyond_grace", "lease_too_old", "not_owner"}
	if got := slices.Compact(h.logged("shard entitlement", "reason")); !slices.Equal(got, want) {
		t.Errorf("entitlements %v, want %v", got, want)
	}
	for _, tc := range []struct{ text, key, want string }{
		{"job cancellation requested", "tasks", "1"},
		{"job cancelled", "from", "record"},
		{"stop sent", "task", "job-000001/0"},
		{"heartbeats refused", "stale_heartbeat", "1"},
	} {
		if got := h.logged(tc.text, tc.key); !slices.Equal(got, []string{tc.want}) {
			t.Errorf("%q: %s %v, want %s", tc.text, tc.key, got, tc.want)
		}
	}
	if got := h.logged("heartbeat", "reason"); !slices.Contains(got, "accepted") || !slices.Contains(got, "stale_heartbeat") {
		t.Errorf("reports: %v", got)
	}
}

// What is known, and what follows from it: whether a shard may be commanded, and why not.
func TestMayCommandShard(t *testing.T) {
	for _, tc := range []struct {
		name  string
		knows func(c *Controller, s *shard)
		want  decision
	}{
		{"an owner with a current view", func(*Controller, *shard) {}, allow(reasonCurrentView)},
		{"not the owner", func(_ *Controller, s *shard) { s.active = false }, refuse(reasonNotOwner)},
		{"handing back", func(_ *Controller, s *shard) { s.releasing = true }, refuse(reasonReleasing)},
		{"a newer claim was heard of", func(_ *Controller, s *shard) { s.highestSeenEpoch = s.ownerEpoch + 1 }, refuse(reasonNewerClaim)},
		{"the last renewal as old as it may be", func(c *Controller, _ *shard) { c.ownership.renewedAt = c.now - c.bounds.CommandValidity + 1 }, allow(reasonCurrentView)},
		{"the last renewal too old", func(c *Controller, _ *shard) { c.ownership.renewedAt = c.now - c.bounds.CommandValidity }, refuse(reasonLeaseTooOld)},
		{"no lease", func(c *Controller, _ *shard) { c.ownership.lease = 0 }, refuse(reasonLeaseTooOld)},
		{"a view as old as it may be", func(c *Controller, s *shard) {
			s.jobsViewCurrent, c.ownership.jobWatch.completeAsOf = false, c.now-c.bounds.StaleViewGrace+1
		}, allow(reasonStaleViewWithinGrace)},
		{"a view too old, claimed just now", func(c *Controller, s *shard) {
			s.jobsViewCurrent, s.claimedAt, c.ownership.jobWatch.completeAsOf = false, c.now, c.now-c.bounds.StaleViewGrace
		}, refuse(reasonStaleViewBeyondGrace)},
		{"no view, claimed just now", func(c *Controller, s *shard) {
			s.jobsViewCurrent, s.claimedAt, c.ownership.jobWatch.completeAsOf = false, c.now, -micros.Never
		}, refuse(reasonStaleViewBeyondGrace)},
		{"an old view that was brought up to the claim", func(c *Controller, _ *shard) { c.ownership.jobWatch.completeAsOf = -micros.Never }, allow(reasonCurrentView)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			s := h.c.ownership.shards[0]
			tc.knows(h.c, s)
			if got := h.c.mayCommandShard(s); got != tc.want {
				t.Errorf("%v %s, want %v %s", got.allowed, got.reason, tc.want.allowed, tc.want.reason)
			}
		})
	}
}

// What a heartbeat and the records say of a machine, and whether the heartbeat is heard.
func TestMayAcceptHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name         string
		knows        func(m *machine)
		seq          uint64
		fencingToken uint64 // beside the machine's
		want         decision
	}{
		{"a new report", func(*machine) {}, 50, 0, allow(reasonCurrentView)},
		{"a copy", func(*machine) {}, 3, 0, refuse(reasonStaleHeartbeat)},
		{"another owner's token", func(*machine) {}, 50, 1, refuse(reasonHigherFencingToken)},
		{"it is to be returned", func(m *machine) { m.rec.Cordoned = true }, 50, 0, refuse(reasonCordoned)},
		{"it was returned", func(m *machine) { m.returned = true }, 50, 0, refuse(reasonReturned)},
		{"no care for it yet", func(m *machine) { m.view = nil }, 50, 0, refuse(reasonNotOwner)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			fencingToken := h.reconcile("vm-1")
			m := h.c.machines["vm-1"]
			tc.knows(m)
			heartbeat := heartbeatFrom("vm-1", 1, tc.seq, fencingToken+tc.fencingToken)
			if got := h.c.mayAcceptHeartbeat(m, &heartbeat); got != tc.want {
				t.Errorf("%v %s, want %v %s", got.allowed, got.reason, tc.want.allowed, tc.want.reason)
			}
		})
	}
}
