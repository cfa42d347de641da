package core

import (
	"slices"
	"testing"

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
