package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestPeersLearnAllCancellations checks that a controller that cannot be reached is notified later
// of every cancellation whose tasks may still be on machines, however many there are. The oldest
// were once dropped beyond a fixed count of 5,000, on the assumption that their time limit was over
// by then. But a state service that takes 200 writes a second records that many in 25 s, and the
// time limit of a cancellation is 49 s.
func TestPeersLearnAllCancellations(t *testing.T) {
	for _, limits := range []struct {
		writeRPS float64
		cancel   micros.Micros
	}{{25, 70 * sec}, {40, 49 * sec}, {200, 49 * sec}, {400, 70 * sec}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) {
				withPeer(c)
				c.WriteRPS, c.CancelWithin = limits.writeRPS, limits.cancel
				c.MaxFinalJobs = 40_000
			})
			h.peersDown = true
			all := int(limits.writeRPS * limits.cancel.Seconds())
			for i := range all {
				id := fmt.Sprintf("job-%06d", i)
				h.c.finishJob(id, finalJob{state: wire.StateCancelled, recorded: true})
				h.c.broadcastCancellation(id)
			}
			notified := map[string]bool{}
			for range 2*all/maxNamesPerStatus + 4 { // about one message a second
				h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: true}}}})
				h.peersDown = false
				before := len(h.statusesSent)
				h.run(statusInterval + 100*ms)
				for _, st := range h.statusesSent[before:] {
					for _, id := range st.Cancelled {
						notified[id] = true
					}
				}
			}
			if len(notified) != all {
				t.Errorf("notified of %d of %d cancellations, want all", len(notified), all)
			}
		})
	}
}

// TestOnePeerSendsStatus checks that of two controllers one sends statuses and the other
// acknowledges them. The other sends its own if it receives none, has notifications, or waits for
// the first to confirm that it is quiesced.
func TestOnePeerSendsStatus(t *testing.T) {
	for _, tc := range []struct {
		name           string
		receivesStatus bool
		change         func(*harness)
		sends          bool
	}{
		{"receives statuses, leads", true, func(*harness) {}, false},
		{"receives no statuses", false, func(*harness) {}, true},
		{"receives statuses, has returned machines to name", true, func(h *harness) { h.c.peers["n-1"].pendingReturnedMachines = []string{"vm-9"} }, true},
		{"receives statuses, but the other is not quiesced", true, func(h *harness) { clear(h.c.ownership.shards[0].quiescedPeers) }, true},
		{"receives statuses from the leader", true, func(h *harness) { h.c.ownership.leader.owner.Label = "n-1" }, true},
		{"receives statuses from one with a later label, a third leads", true, func(h *harness) { h.c.ownership.leader.owner.Label = "n-2" }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"} })
			h.run(5 * sec)
			if tc.receivesStatus {
				h.request(func(r ReplyID) Input {
					return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: true}}}}
				})
			}
			tc.change(h)
			if got := !h.c.peerUpToDate(h.c.peers["n-1"]); got != tc.sends {
				t.Errorf("sends its own: %v, want %v", got, tc.sends)
			}
		})
	}
}

// TestCancellationIsBroadcast checks that another controller's notification ends a cancelled job at
// once, whatever the state service answers, and that a controller that knows of a cancellation
// notifies the others until they acknowledge it.
func TestCancellationIsBroadcast(t *testing.T) {
	t.Run("received", func(t *testing.T) {
		h := newOwnerHarness(t, withPeer)
		fencingToken, attempt := h.runOneTask()
		h.stateDown, h.stateRefuses = true, true
		h.run(sec / 2)
		h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{
			ControllerState: peer.ControllerState{StateReachable: true}, Cancelled: []string{"job-000001", "nonsense", "job-000777"}}}})
		if _, body := h.heartbeat(h.runningHeartbeat(12, fencingToken, attempt)); countImmediateStops(body.Commands) != 1 {
			t.Errorf("commands %v, want the task stopped", body.Commands)
		}
		if s := h.jobState("job-000001"); s != wire.StateCancelled {
			t.Errorf("the job is in state %q after another controller announced its cancellation, want cancelled", s)
		}
	})
	for _, tc := range []struct {
		name  string
		learn func(h *harness)
	}{
		{"cancelled by this node", func(h *harness) { h.cancel("job-000001") }},
		{"learned from the watch", func(h *harness) {
			h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
		}},
		{"read for a status request, job unknown before", func(h *harness) {
			h.blockedWatchPrefix = wire.PrefixJob
			h.putRecord(wire.JobKey("job-000003"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
			h.jobState("job-000003")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.runOneTask()
			h.peersDown = true
			tc.learn(h)
			h.run(4 * sec)
			h.peersDown = false
			for id := range h.c.calls { // calls sent while the peers were down get no answer
				if len(h.c.calls) > 0 && h.c.peers["n-1"].statusInFlight {
					h.step(Result{ID: id})
				}
			}
			h.statusesSent = nil
			h.run(4 * sec)
			times := 0
			for _, st := range h.statusesSent {
				times += len(st.Cancelled)
			}
			if times != 1 {
				t.Errorf("notified %d times, want once: the first answer acknowledges it", times)
			}
		})
	}
}

// TestLateJobRecordHint checks that a late copy of a message about a new job does not reopen a job
// whose end is no longer in memory.
func TestLateJobRecordHint(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.MaxFinalJobs = 1
	})
	h.reconcileMachine("vm-1")
	sub := newSubmission("job-000001", 1)
	rec := wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}
	modRevision := h.putRecord(wire.JobKey("job-000001"), rec)
	value, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	h.cancel("job-000001")
	h.submit(newSubmission("job-000002", 1))
	h.cancel("job-000002") // takes the only place for final jobs in memory
	h.run(sec)
	hint := peer.Request{From: "n-1", JobRecordHint: &peer.JobRecordHint{ID: "job-000001", ModRevision: modRevision, Record: value}}
	h.step(PeerRequest{Reply: 900, Req: hint})
	h.run(sec)
	if h.c.jobs.open["job-000001"] != nil {
		t.Error("a cancelled job is open again")
	}
	if s := h.jobState("job-000001"); s != wire.StateCancelled {
		t.Errorf("the cancelled job is in state %q, want cancelled", s)
	}
}

// TestMisdirectedMachinesAreNamed checks that a controller names to another one all machines of the
// other's shards that send heartbeats here, and no others. With a fixed bound on their number,
// machines that mattered were not named.
func TestMisdirectedMachinesAreNamed(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards = 2
		c.Peers = []string{"n-1"}
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.putRecord(ownerKey(1), wire.OwnerRecord{Label: "n-1", Incarnation: 77})
	rec := wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}}
	const machines = 3100
	for i := 0; i < machines; i += 100 {
		rec.Machines = nil
		for k := range 100 {
			rec.Machines = append(rec.Machines, wire.MachineRecord{ID: machineName(i + k), Addr: machineName(i + k)})
		}
		h.putRecord(wire.MachineRecordSetKey(1, fmt.Sprintf("m-1-%d", i)), rec)
	}
	h.reconcileMachine("vm-mine")
	for i := range machines {
		if status, _ := h.heartbeat(heartbeatFrom(machineName(i), 1, 1, 0)); status != 421 {
			t.Fatalf("heartbeat of a machine of another owner's shard answered %d, want 421", status)
		}
	}
	a := h.request(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{}}}
	})
	if got := len(a.Body.(*peer.Response).Status.MisdirectedMachines); got != machines {
		t.Errorf("%d machines named, want %d", got, machines)
	}
}
