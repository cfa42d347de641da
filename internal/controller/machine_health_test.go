package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestFaultyMachineOrJob checks that failures of tasks are attributed to the machine or to the job:
// a faulty machine is cordoned, and a faulty job is throttled.
func TestFaultyMachineOrJob(t *testing.T) {
	for _, tc := range []struct {
		name      string
		failures  [][2]string // job, machine
		faulty    []string
		throttled []string
		well      int // number of tasks of job-000001 that have run on other machines for a while
	}{
		{"one failure", [][2]string{{"job-000001", "vm-1"}}, nil, nil, 0},
		{"two jobs fail on one machine", [][2]string{{"job-000001", "vm-1"}, {"job-000002", "vm-1"}}, []string{"vm-1"}, nil, 0},
		{"one job fails on three machines", [][2]string{{"job-000001", "vm-1"}, {"job-000001", "vm-2"}, {"job-000001", "vm-3"}}, nil, []string{"job-000001"}, 0},
		{"a large array fails on three machines and runs on many", [][2]string{{"job-000001", "vm-1"}, {"job-000001", "vm-2"}, {"job-000001", "vm-3"}}, nil, nil, 12},
		{"one job fails again and again on one machine", [][2]string{{"job-000001", "vm-1"}, {"job-000001", "vm-1"}, {"job-000001", "vm-1"}}, []string{"vm-1"}, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				h.reconcileMachine(id)
			}
			for _, id := range []string{"job-000001", "job-000002"} {
				h.submit(newSubmission(id, 5))
			}
			h.run(10 * sec)
			for i := range tc.well {
				h.c.jobs.open["job-000001"].run.active[100+i] = &attempt{runAt: h.now - 6*sec}
			}
			for _, f := range tc.failures {
				j, m := h.c.jobs.open[f[0]], h.c.machines[f[1]]
				h.c.recordFailure(&attempt{job: j, machine: m, index: 0})
			}
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				want := false
				for _, s := range tc.faulty {
					want = want || s == id
				}
				if v := h.c.machines[id].view; v.faulty != want || (v.cordonedUntil > h.c.now) != want {
					t.Errorf("%s cordoned: %v, want %v", id, v.faulty, want)
				}
			}
			for _, id := range []string{"job-000001", "job-000002"} {
				want := false
				for _, s := range tc.throttled {
					want = want || s == id
				}
				if got := h.c.jobs.open[id].run.nextRetryAt > 0; got != want {
					t.Errorf("%s throttled: %v, want %v", id, got, want)
				}
			}
		})
	}
}

// TestStalledNode checks that a node that was stalled does not consider a machine or a peer dead
// because of messages that it has not read, and does not learn run times from ends of tasks that it
// saw late. A node that was not stalled does both.
func TestStalledNode(t *testing.T) {
	for _, tc := range []struct {
		name   string
		gap    micros.Micros // time between two steps
		silent bool          // the machine is considered silent
		alive  bool          // the peer is considered alive
		learns bool          // the run time is learned
	}{
		{"in time", 20 * ms, true, false, true},
		{"ten times too slow", 2 * sec, false, true, false},
		{"suspended", 20 * sec, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"} })
			h.run(5 * sec)
			fencingToken := h.reconcileMachine("vm-1")
			h.submit(newSubmission("job-000001", 1))
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 4, fencingToken))
			h.dropWorkerCalls()
			run := taskStatuses(startCommands(body.Commands), wire.TaskRunning)
			if len(run) == 0 {
				_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 5, fencingToken))
				run = taskStatuses(startCommands(body.Commands), wire.TaskRunning)
			}
			h.heartbeat(heartbeatFrom("vm-1", 1, 6, fencingToken, run...))
			h.peersDown = true
			p, v := h.c.peers["n-1"], h.c.machines["vm-1"].view
			p.lastContactAt = h.now
			v.reachability.Reset()
			began := h.now
			pass := func(until micros.Micros) {
				for h.now < began+until {
					h.now += tc.gap
					h.step(Tick{})
				}
			}
			pass(5 * sec)
			for _, att := range v.attemptsCopy() {
				if att.tracked && att.state == attemptRunning {
					att.state, att.exitReason = attemptExited, wire.ExitDone
					h.c.handleExit(att)
				}
			}
			if got := h.c.estimates.Classes() > 0; got != tc.learns {
				t.Errorf("the run time is learned: %v, want %v", got, tc.learns)
			}
			pass(20 * sec)
			if got := h.c.sinceLastHeartbeat(v) > h.c.heartbeatDeadlines.Timeout; got != tc.silent {
				t.Errorf("the machine is considered silent: %v, want %v", got, tc.silent)
			}
			if got := h.c.alive(p); got != tc.alive {
				t.Errorf("the peer is considered alive: %v, want %v", got, tc.alive)
			}
		})
	}
}
