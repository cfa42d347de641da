package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestPeersLearnAllCancellations checks that a controller that can't be reached is notified of
// every cancellation whose tasks may still be on machines, however many there are. Which are
// dropped was decided by a count, 5,000, on the assumption that the oldest are over by then: where
// the state service takes 200 writes a second that many are recorded in 25 s, and a cancellation
// has 49.
func TestPeersLearnAllCancellations(t *testing.T) {
	for _, limits := range []struct {
		writeRPS float64
		cancel   micros.Micros
	}{{25, 70 * sec}, {40, 49 * sec}, {200, 49 * sec}, {400, 70 * sec}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) {
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
				h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateServiceOK: true}}}})
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
				t.Errorf("notified of %d of %d cancellations", len(informed), all)
			}
		})
	}
}

// TestOnePeerSendsStatus checks that of two controllers one sends statuses and the other answers
// them; one that receives none, has notifications, or waits for the other to be quiesced, sends its
// own.
func TestOnePeerSendsStatus(t *testing.T) {
	for _, tc := range []struct {
		name   string
		asked  bool
		change func(*harness)
		sends  bool
	}{
		{"asked, leading", true, func(*harness) {}, false},
		{"not asked", false, func(*harness) {}, true},
		{"asked, with returned machines to name", true, func(h *harness) { h.c.peers["n-1"].returnedMachines = []string{"vm-9"} }, true},
		{"asked, but it has not said that it is quiesced", true, func(h *harness) { clear(h.c.ownership.shards[0].quiescedPeers) }, true},
		{"asked by the leader", true, func(h *harness) { h.c.ownership.leader.owner.Label = "n-1" }, true},
		{"asked by one that is later by name, a third leads", true, func(h *harness) { h.c.ownership.leader.owner.Label = "n-2" }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"} })
			h.run(5 * sec)
			if tc.asked {
				h.ask(func(r ReplyID) Input {
					return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateServiceOK: true}}}}
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
// once, whatever the state service answers; and a controller that answered a user notifies the
// others until they acknowledge.
func TestCancellationIsBroadcast(t *testing.T) {
	t.Run("received", func(t *testing.T) {
		h := newOwnerHarness(t, withPeer)
		fencingToken, a := h.runOne()
		h.stateDown, h.refused = true, true
		h.run(sec / 2)
		h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{
			ControllerState: peer.ControllerState{StateServiceOK: true}, Cancelled: []string{"job-000001", "nonsense", "job-000777"}}}})
		if _, body := h.heartbeat(h.running(12, fencingToken, a)); stops(body.Commands) != 1 {
			t.Errorf("commands %v, want the task stopped", body.Commands)
		}
		if s := h.state("job-000001"); s != wire.StateCancelled {
			t.Errorf("called %q after another controller answered its user \"cancelled\"", s)
		}
	})
	for _, tc := range []struct {
		name  string
		learn func(h *harness)
	}{
		{"cancelled by this node", func(h *harness) { h.cancel("job-000001") }},
		{"learned by the watch", func(h *harness) {
			h.put(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
		}},
		{"read for a status request, the job never known here", func(h *harness) {
			h.watchBlocked = wire.PrefixJob
			h.put(wire.JobKey("job-000003"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
			h.state("job-000003")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.runOne()
			h.peersDown = true
			tc.learn(h)
			h.run(4 * sec)
			h.peersDown = false
			for id := range h.c.calls { // what was asked meanwhile is given up
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
				t.Errorf("notified %d times, want once: acknowledged by the answer", times)
			}
		})
	}
}

// TestLateJobRecordHint checks that a late copy of a message about a new job does not bring back
// one whose end has left memory.
func TestLateJobRecordHint(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.MaxFinalJobs = 1
	})
	h.reconcile("vm-1")
	sub := jobOf("job-000001", 1)
	rec := wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}
	modRevision := h.put(wire.JobKey("job-000001"), rec)
	value, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	h.cancel("job-000001")
	h.submit(jobOf("job-000002", 1))
	h.cancel("job-000002") // takes its place in memory
	h.run(sec)
	hint := peer.Request{From: "n-1", JobRecordHint: &peer.JobRecordHint{ID: "job-000001", ModRevision: modRevision, Record: value}}
	h.step(PeerRequest{Reply: 900, Req: hint})
	h.run(sec)
	if h.c.jobs.open["job-000001"] != nil {
		t.Error("a cancelled job is open again")
	}
	if s := h.state("job-000001"); s != wire.StateCancelled {
		t.Errorf("called %q", s)
	}
}

// TestMisdirectedMachinesAreNamed checks that a controller names to another all machines of that
// one's shards that send heartbeats to it, and no others: past a fixed bound those that matter went
// unnamed.
func TestMisdirectedMachinesAreNamed(t *testing.T) {
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
			t.Fatalf("heartbeat of another's machine answered %d", status)
		}
	}
	a := h.ask(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{}}}
	})
	if got := len(a.Body.(*peer.Response).Status.MisdirectedMachines); got != machines {
		t.Errorf("%d machines named, want %d", got, machines)
	}
}
