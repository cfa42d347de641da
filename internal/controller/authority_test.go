package controller

import (
	"slices"
	"testing"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestDecisionLog checks that the log shows each change of whether a node may command a shard, who
// cancelled a job, and why heartbeats were refused.
func TestDecisionLog(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.CancelWithin, c.LogHeartbeats = 40*sec, true
	})
	fencingToken, attempt := h.runOneTask()
	h.cancel("job-000001")
	h.heartbeat(h.runningHeartbeat(20, fencingToken, attempt))
	h.heartbeat(h.runningHeartbeat(20, fencingToken, attempt)) // a duplicate
	h.blockedWatchPrefix = wire.PrefixJob
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	h.run(h.c.bounds.StaleViewGrace)
	h.stateDown = true
	h.run(h.c.bounds.CommandValidity)
	h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{Claims: []peer.ShardClaim{{Shard: 0, OwnerEpoch: 1 << 40}}}}}})
	h.run(sec)
	want := []string{"current_view", "not_owner", "stale_view_within_grace", "stale_view_beyond_grace", "lease_too_old", "not_owner"}
	if got := slices.Compact(h.logged("shard entitlement", "reason")); !slices.Equal(got, want) {
		t.Errorf("reasons %v, want %v", got, want)
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
		t.Errorf("logged reasons of heartbeats: %v, want accepted and stale_heartbeat among them", got)
	}
}

// setLeaseRenewedAt sets the time of the last renewal of a controller's lease.
func setLeaseRenewedAt(c *Controller, at micros.Micros) {
	lease := &c.ownership.lease
	lease.Granted(lease.ID(), at, c.now)
}

// TestMayCommandShard checks that the controller passes its knowledge of a shard correctly to the
// decision. The decision itself is tested in package authority.
func TestMayCommandShard(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(c *Controller, s *shard)
		want  authority.Decision
	}{
		{"an owner with a current view", func(*Controller, *shard) {}, authority.Allow(authority.ReasonCurrentView)},
		{"not the owner", func(_ *Controller, s *shard) { s.ownership = shardNotOwned }, authority.Refuse(authority.ReasonNotOwner)},
		{"releasing", func(_ *Controller, s *shard) { s.ownership = shardReleasing }, authority.Refuse(authority.ReasonReleasing)},
		{"a newer claim is known", func(_ *Controller, s *shard) { s.highestSeenEpoch = s.ownerEpoch + 1 }, authority.Refuse(authority.ReasonNewerClaim)},
		{"the last renewal just recent enough", func(c *Controller, _ *shard) { setLeaseRenewedAt(c, c.now-c.bounds.CommandValidity+1) }, authority.Allow(authority.ReasonCurrentView)},
		{"the last renewal too old", func(c *Controller, _ *shard) { setLeaseRenewedAt(c, c.now-c.bounds.CommandValidity) }, authority.Refuse(authority.ReasonLeaseTooOld)},
		{"no lease", func(c *Controller, _ *shard) { c.ownership.lease.Lost() }, authority.Refuse(authority.ReasonLeaseTooOld)},
		{"a view just recent enough", func(c *Controller, s *shard) {
			s.jobsViewCurrent, c.ownership.jobWatch.CompleteAsOf = false, c.now-c.bounds.StaleViewGrace+1
		}, authority.Allow(authority.ReasonStaleViewWithinGrace)},
		{"a view too old after a new claim", func(c *Controller, s *shard) {
			s.jobsViewCurrent, s.claimedAt, c.ownership.jobWatch.CompleteAsOf = false, c.now, c.now-c.bounds.StaleViewGrace
		}, authority.Refuse(authority.ReasonStaleViewBeyondGrace)},
		{"no view after a new claim", func(c *Controller, s *shard) {
			s.jobsViewCurrent, s.claimedAt, c.ownership.jobWatch.CompleteAsOf = false, c.now, -micros.Never
		}, authority.Refuse(authority.ReasonStaleViewBeyondGrace)},
		{"an old view, refreshed after the claim", func(c *Controller, _ *shard) { c.ownership.jobWatch.CompleteAsOf = -micros.Never }, authority.Allow(authority.ReasonCurrentView)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			s := h.c.ownership.shards[0]
			tc.setUp(h.c, s)
			if got := h.c.ownership.mayCommandShard(s); got != tc.want {
				t.Errorf("allowed: %v, reason %s; want %v, %s", got.Allowed, got.Reason, tc.want.Allowed, tc.want.Reason)
			}
		})
	}
}

// TestMayAcceptHeartbeat checks that the controller passes its knowledge of a machine correctly to
// the decision whether to accept a heartbeat. The decision itself is tested in package authority.
func TestMayAcceptHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name         string
		setUp        func(m *machine)
		seq          uint64
		fencingToken uint64 // added to the machine's
		want         authority.Decision
	}{
		{"a new heartbeat", func(*machine) {}, 50, 0, authority.Allow(authority.ReasonCurrentView)},
		{"a duplicate", func(*machine) {}, 3, 0, authority.Refuse(authority.ReasonStaleHeartbeat)},
		{"another owner's fencing token", func(*machine) {}, 50, 1, authority.Refuse(authority.ReasonHigherFencingToken)},
		{"cordoned", func(m *machine) { m.rec.Cordoned = true }, 50, 0, authority.Refuse(authority.ReasonCordoned)},
		{"returned to the cloud", func(m *machine) { m.returned = true }, 50, 0, authority.Refuse(authority.ReasonReturned)},
		{"no view of the machine yet", func(m *machine) { m.view = nil }, 50, 0, authority.Refuse(authority.ReasonNotOwner)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken := h.reconcileMachine("vm-1")
			m := h.c.machines["vm-1"]
			tc.setUp(m)
			heartbeat := heartbeatFrom("vm-1", 1, tc.seq, fencingToken+tc.fencingToken)
			if got := h.c.mayAcceptHeartbeat(m, &heartbeat); got != tc.want {
				t.Errorf("allowed: %v, reason %s; want %v, %s", got.Allowed, got.Reason, tc.want.Allowed, tc.want.Reason)
			}
		})
	}
}
