package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A zone counts as cut off only if hardly any of its machines is heard while
// another zone's are, however many rows the owners name.
func TestPartitionedZones(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]peer.Zone
		dark   string
	}{
		{"all heard", [][]peer.Zone{{{Name: "a", All: 100}, {Name: "b", All: 100, Silent: 3}}}, ""},
		{"one is cut off", [][]peer.Zone{{{Name: "a", All: 100, Silent: 90}, {Name: "b", All: 100, Silent: 3}}}, "a"},
		{"over several shares", [][]peer.Zone{{{Name: "a", All: 3, Silent: 3}, {Name: "b", All: 9}}, {{Name: "a", All: 2, Silent: 2}}}, "a"},
		{"a tenth of all has died", [][]peer.Zone{{{Name: "a", All: 100, Silent: 10}, {Name: "b", All: 100, Silent: 10}}}, ""},
		{"half of a zone", [][]peer.Zone{{{Name: "a", All: 100, Silent: 50}, {Name: "b", All: 100}}}, ""},
		{"two machines say nothing of a zone", [][]peer.Zone{{{Name: "a", All: 2, Silent: 2}, {Name: "b", All: 8}}}, ""},
		{"nobody is heard: it is not the zone", [][]peer.Zone{{{Name: "a", All: 100, Silent: 95}, {Name: "b", All: 100, Silent: 96}}}, ""},
	} {
		c := New(Config{Label: "a", Shards: len(tc.shards), Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
		demand := map[int]*peer.Demand{}
		for i, zones := range tc.shards {
			demand[i] = &peer.Demand{Shard: i, Zones: zones}
		}
		partitioned := c.partitionedZones(demand)
		if len(partitioned) > 1 || (tc.dark != "") != (len(partitioned) == 1) || tc.dark != "" && !partitioned[tc.dark] {
			t.Errorf("%s: %v are dark, want %q", tc.name, partitioned, tc.dark)
		}
	}
}

// Machines of a zone that is cut off are not returned as if they had died one by
// one; dead ones beside them are. In the end they are returned after all.
func TestSilentReturn(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zone  string // of the silent machine
		since micros.Micros
		zones []peer.Zone
		want  bool
	}{
		{"a dead machine", "a", 30 * sec, []peer.Zone{{Name: "a", All: 50, Silent: 5}, {Name: "b", All: 50}}, true},
		{"its zone is cut off", "a", 30 * sec, []peer.Zone{{Name: "a", All: 20, Silent: 20}, {Name: "b", All: 80}}, false},
		{"another zone is", "b", 30 * sec, []peer.Zone{{Name: "a", All: 20, Silent: 20}, {Name: "b", All: 80, Silent: 1}}, true},
		{"its zone is, for minutes", "a", 140 * sec, []peer.Zone{{Name: "a", All: 20, Silent: 20}, {Name: "b", All: 80}}, true},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10,
			HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, SilentReturn: -1}, 1)
		c.machines["vm-1"] = &machine{id: "vm-1", rec: machineRecord{Zone: tc.zone}}
		d := &peer.Demand{All: 100, Silent: 21, Zones: tc.zones, Machines: []peer.Machine{{ID: "vm-1", State: peer.MachineSilent, SinceUS: int64(tc.since)}}}
		c.fleet.budget.tokens = 10
		c.replaceUnhealthy(map[int]*peer.Demand{0: d})
		if got := c.fleet.returning["vm-1"]; got != tc.want {
			t.Errorf("%s: returned %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A controller names to another all machines of that one's shards that try it,
// and no others: past a fixed bound those that matter went unnamed.
func TestHeardByOwner(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards = 2
		c.Peers = []string{"n-1"}
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.put(ownerKey(1), wire.OwnerRecord{Label: "n-1", Incarnation: 77})
	rec := wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}}
	const machines = 3100
	for i := 0; i < machines; i += 100 {
		rec.Machines = nil
		for k := range 100 {
			rec.Machines = append(rec.Machines, wire.MachineRecord{ID: machineName(i + k), Addr: machineName(i + k)})
		}
		h.put(wire.MachineRecordSetKey(1, fmt.Sprintf("m-1-%d", i)), rec)
	}
	h.reconcile("vm-mine")
	for i := range machines {
		if status, _ := h.heartbeat(heartbeatFrom(machineName(i), 1, 1, 0)); status != 421 {
			t.Fatalf("report of another's machine answered %d", status)
		}
	}
	a := h.ask(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{}}}
	})
	if got := len(a.Body.(*peer.Response).Status.MisdirectedMachines); got != machines {
		t.Errorf("%d machines named, want %d", got, machines)
	}
}

// A watch whose answer is too large to take leads to a fresh listing, not to the
// same request for ever.
func TestWatchMustListAgain(t *testing.T) {
	for _, status := range []int{410, TooLarge} {
		h := newHarness(t, nil)
		h.watchBlocked = wire.PrefixJob
		h.submit(jobOf("job-000001", 1))
		h.put(wire.JobKey("job-000002"), wire.JobRecord{Submission: ptr(jobOf("job-000002", 1)), State: wire.StatePending, Tasks: 1})
		if h.c.jobs.open["job-000002"] != nil {
			t.Fatal("known without the watch")
		}
		for i, w := range h.watches {
			if w.Req.(Watch).Prefix == wire.PrefixJob {
				h.watches = append(h.watches[:i], h.watches[i+1:]...)
				h.step(Result{ID: w.ID, Status: status})
				break
			}
		}
		h.run(sec)
		if h.c.jobs.open["job-000002"] == nil {
			t.Errorf("after %d nothing was listed anew", status)
		}
	}
}

func ptr[T any](v T) *T { return &v }

// A job that has waited for long begins with one task ahead of all others, also
// where it needs a whole machine and small tasks take every piece that comes free.
func TestBegins(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cpus   float64
		within micros.Micros
		ends   int // tasks that end at a time
		want   bool
	}{
		{"small tasks", 1, 30 * sec, 1, true},
		{"small tasks, much room at once", 1, 30 * sec, 4, true},
		{"a whole machine", 4, 30 * sec, 1, true},
		{"no limit set", 4, 0, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.BeginWithin = tc.within })
			fencingToken := h.reconcile("vm-1")
			h.submit(jobOf("job-000001", 4000)) // and more of the same to come
			big := jobOf("job-000002", 50)
			big.CPUs, big.MemGB, big.Priority = tc.cpus, 4, "best_effort"
			h.submit(big)
			h.dropCalls()
			seq := uint64(10)
			var running []wire.TaskStatus
			begun := 0
			for range 120 { // each half second some tasks end
				h.run(sec / 2)
				h.dropCalls()
				seq++
				ends := min(tc.ends, len(running))
				for i := range ends {
					running[i].State, running[i].ExitReason = wire.TaskExited, wire.ExitDone
				}
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, running...))
				running = running[ends:]
				for _, cmd := range starts(body.Commands) {
					running = append(running, wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskRunning})
					if id, _, _ := wire.ParseTask(cmd.Task); id == big.ID {
						begun++
					}
				}
			}
			if (begun > 0) != tc.want {
				t.Errorf("%d of its tasks were started", begun)
			}
			if begun > 1 {
				t.Errorf("%d of its tasks were started: more than it takes to begin", begun)
			}
		})
	}
}

// What an overdue job has begun with is the last to be stopped for others.
func TestOnlyStart(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.BeginWithin = 30 * sec })
	newAttempt := func(waited micros.Micros, others int) *attempt {
		sub := jobOf("job-000001", 10)
		j := &job{sub: &sub, rec: wire.JobRecord{AcceptedMS: (h.now - waited).Millis()}, run: &run{stopsByTask: map[int]int{}, active: map[int]*attempt{}}}
		att := &attempt{job: j, runAt: h.now - sec, tracked: true}
		for i := range 1 + others {
			j.run.active[i] = att
		}
		return att
	}
	h.c.now, h.c.wall = h.now, h.now
	if a, b := h.c.preemptionLoss(newAttempt(sec, 0)), h.c.preemptionLoss(newAttempt(40*sec, 0)); a >= b {
		t.Errorf("loss %v of a young job's only task, %v of an overdue one's", a, b)
	}
	if a, b := h.c.preemptionLoss(newAttempt(40*sec, 0)), h.c.preemptionLoss(newAttempt(40*sec, 3)); a <= b {
		t.Errorf("loss %v of an only task, %v of one of several", a, b)
	}
}

// Where steps take long, rounds and walks over everything are spaced, and leases
// are renewed all the same.
func TestRest(t *testing.T) {
	for _, tc := range []struct {
		took         micros.Micros
		fewest, most int // rounds in 20 s
		walksAtLeast int
	}{
		{0, 250, 400, 40},
		{10 * ms, 150, 400, 40},
		{250 * ms, 10, 20, 10},
		{30 * sec, 8, 12, 8},
	} {
		h := newHarness(t, nil)
		rounds, walks := 0, 0
		for end := h.now + 20*sec; h.now < end; {
			h.now += 20 * ms
			h.c.schedulingDue = true
			for _, e := range h.c.Step(Instant{Steady: h.now, Wall: h.now, Took: tc.took}, Tick{}) {
				if call, ok := e.(Call); ok {
					h.call(call)
				}
			}
			if h.c.scheduledLastStep {
				rounds++
			}
			if h.c.walkedLastStep {
				walks++
			}
			if h.now-h.c.ownership.renewedAt > h.c.cfg.Lease/2 {
				t.Fatalf("steps of %v s: the lease was not renewed", tc.took.Seconds())
			}
		}
		if rounds < tc.fewest || rounds > tc.most || walks < tc.walksAtLeast {
			t.Errorf("steps of %v s: %d rounds and %d walks in 20 s, want %d to %d", tc.took.Seconds(), rounds, walks, tc.fewest, tc.most)
		}
	}
}

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

// Renewals go out at a steady pace while answers are late, and one that comes
// late counts from when it was sent.
func TestLateRenewals(t *testing.T) {
	h := newHarness(t, nil)
	var sent []Call
	var at []micros.Micros
	for end := h.now + 30*sec; h.now < end; {
		h.now += 20 * ms
		for _, e := range h.c.Step(Instant{Steady: h.now, Wall: h.now}, Tick{}) {
			if call, ok := e.(Call); ok {
				if _, renew := call.Req.(RenewLease); renew {
					sent, at = append(sent, call), append(at, h.now)
				} else if call.To != ToWorker {
					h.call(call)
				}
			}
		}
		for len(at) > 0 && h.now >= at[0]+2500*ms { // each answer takes 2.5 s
			h.step(Result{ID: sent[0].ID, Status: 200})
			sent, at = sent[1:], at[1:]
		}
		if len(sent) > maxRenewalsInFlight {
			t.Fatalf("%d renewals under way", len(sent))
		}
		if !h.c.leaseValid() {
			t.Fatalf("may not answer, %v s after the last renewal that counts", (h.now - h.c.ownership.renewedAt).Seconds())
		}
	}
}

// Machines that can't be reached hold up a failover: they are returned if what
// stands still meanwhile is worth more than they are, and not if it is rather the
// owner that can't reach them.
func TestUnreconciledReturn(t *testing.T) {
	for _, tc := range []struct {
		name         string
		unreconciled int // of 100 machines with 4 CPUs
		held         micros.Micros
		busy         float64
		wait         int
		since        micros.Micros // for those asked twice
		dark         bool
		want         bool
	}{
		{"one of many", 1, 40 * sec, 300, 1000, 6 * sec, false, true},
		{"a fifth, for long", 20, 40 * sec, 200, 1000, 6 * sec, false, true},
		{"a fifth, for a moment only", 20, 5 * sec, 200, 1000, 6 * sec, false, false},
		{"nothing waits", 20, 40 * sec, 200, 0, 6 * sec, false, false},
		{"not asked twice yet", 20, 40 * sec, 200, 1000, 0, false, false},
		{"most of them: rather the owner's network", 60, 60 * sec, 0, 1000, 6 * sec, false, false},
		{"most of them, in a zone that is cut off", 60, 60 * sec, 0, 10000, 6 * sec, true, true},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10,
			HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, SilentReturn: -1}, 1)
		c.types = map[string]wire.MachineType{"m": {Name: "m", CPUs: 4, BootS: 5}}
		d := &peer.Demand{All: 100, Unreconciled: tc.unreconciled, BlockedUS: int64(tc.held), CPUs: float64(4 * (100 - tc.unreconciled)), Busy: tc.busy,
			RunLeftUS: int64(tc.busy * 20e6), Groups: []peer.Group{{Any: true, CPUs: 1, Waiting: tc.wait}},
			Zones: []peer.Zone{{Name: "a", All: tc.unreconciled}, {Name: "b", All: 100 - tc.unreconciled}}}
		if tc.dark {
			d.Zones[0].Silent = tc.unreconciled
		}
		for i := range tc.unreconciled {
			id := machineName(i)
			c.machines[id] = &machine{id: id, rec: machineRecord{Zone: "a", Type: "m"}}
			d.Machines = append(d.Machines, peer.Machine{ID: id, State: peer.MachineUnreconciled, SinceUS: int64(tc.since)})
		}
		c.fleet.budget.tokens = 10
		c.replaceUnhealthy(map[int]*peer.Demand{0: d})
		if got := len(c.fleet.returning) == tc.unreconciled; got != tc.want || !tc.want && len(c.fleet.returning) > 0 {
			t.Errorf("%s: %d returned, want it: %v", tc.name, len(c.fleet.returning), tc.want)
		}
	}
}

// A new owner does not know what was returned before its claim: it is told as
// long as it names the machine as silent or in doubt. (A shard was held up for 12 s
// by three machines that had long been returned.)
func TestReturnedIsToldAgain(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards = 2
		c.Peers = []string{"n-1"}
		c.MaxMachines = 100
		c.SilentReturn = -1
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.run(8 * sec)
	h.put(ownerKey(1), wire.OwnerRecord{Label: "n-1", Incarnation: 77})
	h.put(wire.MachineRecordSetKey(1, "l-1-1"), wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}, Machines: []wire.MachineRecord{{ID: "vm-1", Addr: "vm-1"}}})
	if !h.c.leading() {
		t.Fatal("does not lead")
	}
	h.c.fleet.returned["vm-1"] = h.now
	for _, state := range []int{peer.MachineUnreconciled, peer.MachineSilent} {
		p := h.c.peers["n-1"]
		p.returnedMachines = nil
		d := &peer.Demand{Shard: 1, All: 1, Machines: []peer.Machine{{ID: "vm-1", State: state}}}
		h.c.replaceUnhealthy(map[int]*peer.Demand{1: d})
		h.c.replaceUnhealthy(map[int]*peer.Demand{1: d})
		if len(p.returnedMachines) != 1 || p.returnedMachines[0] != "vm-1" {
			t.Errorf("state %d: the new owner is told of %v", state, p.returnedMachines)
		}
	}
}

// Which jobs should have begun.
func TestOverdue(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.BeginWithin = 30 * sec })
	h.c.wall = 1000 * sec
	for _, tc := range []struct {
		name   string
		waited micros.Micros
		run    run
		want   bool
	}{
		{"young", 20 * sec, run{}, false},
		{"nothing started", 40 * sec, run{}, true},
		{"its only start was stopped", 40 * sec, run{firstRunAt: sec}, true},
		{"one is running", 40 * sec, run{active: map[int]*attempt{0: {}}}, false},
		{"one is done", 40 * sec, run{doneCount: 1}, false},
		{"it fails everywhere", 40 * sec, run{nextRetryAt: sec}, false},
	} {
		j := &job{rec: wire.JobRecord{AcceptedMS: (h.c.wall - tc.waited).Millis()}, run: &tc.run}
		if got := h.c.overdue(j); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
