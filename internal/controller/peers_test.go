package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A controller out of reach is told of every cancellation whose tasks may still be on
// machines, however many there are. Which are forgotten was decided by a count, 5,000, on the
// assumption that the oldest are over by then: where the state service takes 200 writes a
// second that many come about in 25 s, and a cancellation has 49.
func TestPeersLearnAllCancellations(t *testing.T) {
	for _, limits := range []struct {
		writeRPS float64
		cancel   micros.Micros
	}{{25, 70 * sec}, {40, 49 * sec}, {200, 49 * sec}, {400, 70 * sec}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			h := meet(t, func(c *Config) {
				withPeer(c)
				c.WriteRPS, c.Cancel = limits.writeRPS, limits.cancel
				c.MaxFinalJobs = 40_000
			})
			h.peersDown = true
			all := int(limits.writeRPS * limits.cancel.Seconds())
			for i := range all {
				id := fmt.Sprintf("job-%06d", i)
				h.c.finishJob(id, finalJob{state: wire.StateCancelled, recorded: true})
				h.c.broadcastCancellation(id)
			}
			informed := map[string]bool{}
			for range 2*all/maxNamed + 4 { // one message a second, about
				h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{About: peer.About{StateOK: true}}}})
				h.peersDown = false
				before := len(h.statusesSent)
				h.run(statusInterval + 100*ms)
				for _, st := range h.statusesSent[before:] {
					for _, id := range st.Cancelled {
						informed[id] = true
					}
				}
			}
			if len(informed) != all {
				t.Errorf("told of %d of %d cancellations", len(informed), all)
			}
		})
	}
}
