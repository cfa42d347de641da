package controller

import "testing"

// A controller that has lost the workers lets its locks go; one that is behind
// itself, or in a fleet that has lost some machines, does not.
func TestWorkersOutOfReach(t *testing.T) {
	for _, tc := range []struct {
		name      string
		silent    int // of 10 machines
		peersDown bool
		stateDown bool
		late      bool // its steps come seconds apart
		want      bool
	}{
		{"all are heard", 0, true, false, false, false},
		{"some are silent, no peer to ask", 6, true, false, false, false},
		{"all are silent, no peer to ask", 10, true, false, false, true},
		{"all are silent, and so is the state service", 10, true, true, false, false},
		{"all are silent, and not heard by the peer either", 10, false, false, false, false},
		{"all are silent, but it has no time to read", 10, true, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.MaxMachines = 100 })
			h.submit(jobOf("job-000001", 4000)) // or idle machines would be returned
			h.run(8 * sec)                      // it comes to lead as well, and lists lag
			tokens := map[string]uint64{}
			for i := range 10 {
				tokens[machineName(i)] = h.reconcile(machineName(i))
			}
			h.peersDown, h.stateDown = tc.peersDown, tc.stateDown
			seq := uint64(10)
			for range 20 {
				if tc.late {
					h.now += 3 * sec / 2
				}
				h.run(sec / 2)
				h.dropCalls()
				seq++
				for i := range 10 - tc.silent {
					h.heartbeat(heartbeatFrom(machineName(i), 1, seq, tokens[machineName(i)]))
				}
			}
			if h.c.contact.lost != tc.want {
				t.Errorf("workers out of contact: %v, want %v", h.c.contact.lost, tc.want)
			}
		})
	}
}
