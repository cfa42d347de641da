package controller

import "testing"

// TestWorkersUnreachable checks when a controller considers contact with the workers lost, and so
// releases its locks: not if it is stalled, and not if only some machines of the fleet have failed.
func TestWorkersUnreachable(t *testing.T) {
	const machines = 10
	for _, tc := range []struct {
		name      string
		silent    int // how many of the machines are silent
		peersDown bool
		stateDown bool
		stalled   bool // the controller's steps come seconds apart
		want      bool
	}{
		{"all send heartbeats", 0, true, false, false, false},
		{"some are silent, no peer is alive", 6, true, false, false, false},
		{"all are silent, no peer is alive", machines, true, false, false, true},
		{"all are silent, and so is the state service", machines, true, true, false, false},
		{"all are silent, and none tries the peer", machines, false, false, false, false},
		{"all are silent, but the controller is stalled", machines, true, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.MaxMachines = 100 })
			h.submit(newSubmission("job-000001", 4000)) // keeps the machines busy, so that none is returned
			h.run(8 * sec)                              // becomes the leader; the lag of the list passes
			tokens := map[string]uint64{}
			for i := range machines {
				tokens[machineName(i)] = h.reconcileMachine(machineName(i))
			}
			h.peersDown, h.stateDown = tc.peersDown, tc.stateDown
			sequence := uint64(10)
			for range 20 {
				if tc.stalled {
					h.now += 3 * sec / 2
				}
				h.run(sec / 2)
				h.dropWorkerCalls()
				sequence++
				for i := range machines - tc.silent {
					h.heartbeat(heartbeatFrom(machineName(i), 1, sequence, tokens[machineName(i)]))
				}
			}
			if h.c.workerContact.lost() != tc.want {
				t.Errorf("contact lost: %v, want %v", h.c.workerContact.lost(), tc.want)
			}
		})
	}
}

// TestHeartbeatSilence checks the thresholds of mostSilent, nearlyAllSilent and mostTryElsewhere.
func TestHeartbeatSilence(t *testing.T) {
	for _, tc := range []struct {
		name                                   string
		silence                                heartbeatSilence
		wantMost, wantNearlyAll, wantElsewhere bool
	}{
		{"one machine of one", heartbeatSilence{machines: 1, silent: 1, elsewhere: 1}, false, true, true},
		{"half of them", heartbeatSilence{machines: 4, silent: 2, elsewhere: 2}, false, false, true},
		{"most of them, half elsewhere", heartbeatSilence{machines: 10, silent: 6, elsewhere: 3}, true, false, false},
		{"nine tenths, most elsewhere", heartbeatSilence{machines: 10, silent: 9, elsewhere: 5}, true, true, true},
		{"less than nine tenths", heartbeatSilence{machines: 100, silent: 89, elsewhere: 0}, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.silence.mostSilent(); got != tc.wantMost {
				t.Errorf("most silent: %v, want %v", got, tc.wantMost)
			}
			if got := tc.silence.nearlyAllSilent(); got != tc.wantNearlyAll {
				t.Errorf("nearly all silent: %v, want %v", got, tc.wantNearlyAll)
			}
			if got := tc.silence.mostTryElsewhere(); got != tc.wantElsewhere {
				t.Errorf("most try elsewhere: %v, want %v", got, tc.wantElsewhere)
			}
		})
	}
}

// TestRecordProbe checks that contact is restored by three answered probes in a row and no fewer.
func TestRecordProbe(t *testing.T) {
	w := workerContact{state: contactLost}
	for i, tc := range []struct{ answered, wantRestored bool }{
		{true, false}, {true, false}, {false, false}, {true, false}, {true, false}, {true, true},
	} {
		w.probeInFlight = true
		restored := w.recordProbe(tc.answered)
		if restored != tc.wantRestored || w.lost() == tc.wantRestored || w.probeInFlight {
			t.Fatalf("probe %d, answered %v: restored %v, contact %s", i+1, tc.answered, restored, w.state)
		}
	}
}
