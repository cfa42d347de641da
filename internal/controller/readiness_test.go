package controller

import "testing"

// TestReadiness checks that a controller is not ready for users if it alone has lost the state
// service, and is ready if all controllers have, even if it was started during the outage.
func TestReadiness(t *testing.T) {
	ready := func(h *harness) int {
		return h.request(func(r ReplyID) Input { return ReadinessRequest{Reply: r} }).Status
	}
	for _, tc := range []struct {
		name              string
		before, peerState bool // this controller had the state service before; a peer has it now
		want              int
	}{
		{"lost by all", true, false, 200},
		{"lost by this node alone", true, true, 503},
		{"all started without the state service", false, false, 200},
		{"started without the state service, which a peer has", false, true, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"} })
			if tc.before && ready(h) != 200 {
				t.Fatal("not ready with everything available")
			}
			if !tc.before {
				h.c = New(h.c.cfg, 2)
				h.watches, h.answers = nil, map[ReplyID]Answer{}
			}
			h.stateDown, h.peersDown = true, true
			for range 12 {
				h.run(sec / 2)
				p := h.c.peers["n-1"]
				p.lastContactAt, p.stateReachable = h.now, tc.peerState
			}
			if got := ready(h); got != tc.want {
				t.Errorf("readiness answered %d, want %d", got, tc.want)
			}
		})
	}
}
