package core

import (
	"slices"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// The log tells each change of what a node may do for a share, who cancelled a job, and
// why reports were refused.
func TestDecisionLog(t *testing.T) {
	h := meet(t, func(c *Config) {
		withPeer(c)
		c.Cancel, c.LogReports = 40*sec, true
	})
	token, attempt := h.runOne()
	h.withdraw("job-000001")
	h.checkin(h.running(20, token, attempt))
	h.checkin(h.running(20, token, attempt)) // a copy
	h.watchBlocked = wire.PrefixJob
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	h.run(h.c.bounds.Blind)
	h.stateDown = true
	h.run(h.c.bounds.Command)
	h.step(PeerMessage{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{About: peer.About{Owns: []peer.Owned{{Share: 0, Mark: 1 << 40}}}}}})
	h.run(sec)
	want := []string{"current_view", "not_owner", "blind", "blind_too_long", "lease_too_old", "not_owner"}
	if got := slices.Compact(h.logged("share entitlement", "why")); !slices.Equal(got, want) {
		t.Errorf("entitlements %v, want %v", got, want)
	}
	for _, tc := range []struct{ text, key, want string }{
		{"job cancellation requested", "tasks", "1"},
		{"job cancelled", "from", "record"},
		{"stop sent", "task", "job-000001/0"},
		{"reports refused", "old_report", "1"},
	} {
		if got := h.logged(tc.text, tc.key); !slices.Equal(got, []string{tc.want}) {
			t.Errorf("%q: %s %v, want %s", tc.text, tc.key, got, tc.want)
		}
	}
	if got := h.logged("report", "why"); !slices.Contains(got, "answered") || !slices.Contains(got, "old_report") {
		t.Errorf("reports: %v", got)
	}
}

// What is known, and what follows from it: whether a share may be commanded, and why not.
func TestMayCommandShare(t *testing.T) {
	for _, tc := range []struct {
		name  string
		knows func(c *Core, s *share)
		want  verdict
	}{
		{"an owner with a current view", func(*Core, *share) {}, allow(reasonCurrentView)},
		{"not the owner", func(_ *Core, s *share) { s.active = false }, refuse(reasonNotOwner)},
		{"handing back", func(_ *Core, s *share) { s.handing = true }, refuse(reasonHandingBack)},
		{"a newer claim was heard of", func(_ *Core, s *share) { s.ceiling = s.mark + 1 }, refuse(reasonNewerClaim)},
		{"the last renewal as old as it may be", func(c *Core, _ *share) { c.own.renewed = c.now - c.bounds.Command + 1 }, allow(reasonCurrentView)},
		{"the last renewal too old", func(c *Core, _ *share) { c.own.renewed = c.now - c.bounds.Command }, refuse(reasonLeaseTooOld)},
		{"no lease", func(c *Core, _ *share) { c.own.lease = 0 }, refuse(reasonLeaseTooOld)},
		{"a view as old as it may be", func(c *Core, s *share) {
			s.current, c.own.job.completeAt = false, c.now-c.bounds.Blind+1
		}, allow(reasonBlind)},
		{"a view too old, claimed just now", func(c *Core, s *share) {
			s.current, s.claimedAt, c.own.job.completeAt = false, c.now, c.now-c.bounds.Blind
		}, refuse(reasonBlindTooLong)},
		{"no view, claimed just now", func(c *Core, s *share) {
			s.current, s.claimedAt, c.own.job.completeAt = false, c.now, -micros.Never
		}, refuse(reasonBlindTooLong)},
		{"an old view that was brought up to the claim", func(c *Core, _ *share) { c.own.job.completeAt = -micros.Never }, allow(reasonCurrentView)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			s := h.c.own.shares[0]
			tc.knows(h.c, s)
			if got := h.c.mayCommandShare(s); got != tc.want {
				t.Errorf("%v %s, want %v %s", got.allowed, got.reason, tc.want.allowed, tc.want.reason)
			}
		})
	}
}

// What a report and the records say of a machine, and whether the report is heard.
func TestMayHear(t *testing.T) {
	for _, tc := range []struct {
		name  string
		knows func(m *machine)
		seq   uint64
		token uint64 // beside the machine's
		want  verdict
	}{
		{"a new report", func(*machine) {}, 50, 0, allow(reasonCurrentView)},
		{"a copy", func(*machine) {}, 3, 0, refuse(reasonOldReport)},
		{"another owner's token", func(*machine) {}, 50, 1, refuse(reasonHigherToken)},
		{"it is to be returned", func(m *machine) { m.rec.Retiring = true }, 50, 0, refuse(reasonRetiring)},
		{"it was returned", func(m *machine) { m.returned = true }, 50, 0, refuse(reasonReturned)},
		{"no care for it yet", func(m *machine) { m.v = nil }, 50, 0, refuse(reasonNotOwner)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			token := h.settle("vm-1")
			m := h.c.mach["vm-1"]
			tc.knows(m)
			rep := report("vm-1", 1, tc.seq, token+tc.token)
			if got := h.c.mayHear(m, &rep); got != tc.want {
				t.Errorf("%v %s, want %v %s", got.allowed, got.reason, tc.want.allowed, tc.want.reason)
			}
		})
	}
}
