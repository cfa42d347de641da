package controller

import (
	"fmt"
	"slices"
	"testing"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestOversizeRecordSetsAreSplit checks that machine record sets that were written under larger
// limits are split in one transaction, and that the tasks on their machines continue, in whatever
// order the watch delivers the parts.
func TestOversizeRecordSetsAreSplit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		lose    bool
		reverse bool
	}{{"answered", false, false}, {"answer lost", true, false}, {"watched in another order", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) {
				withPeer(c)
				c.ValueBytes, c.TxnOps, c.MaxMachines, c.MaxWorkerRequests = 2<<10, 4, 100, 200
			})
			var ids []string
			for i := range 50 {
				ids = append(ids, machineName(i))
			}
			h.c.machineRecords.nextSplitAt = micros.Never
			h.putMachines("h-1-1", ids...)
			s := h.c.ownership.shards[0]
			fencingToken := h.c.fencingToken(s, h.c.machines[ids[0]])
			for _, id := range ids {
				h.heartbeat(heartbeatFrom(id, 1, 2, fencingToken))
			}
			h.submit(newSubmission("job-000001", 200))
			h.dropWorkerCalls()
			running := map[string][]wire.TaskStatus{}
			n := 0
			for _, id := range ids {
				_, body := h.heartbeat(heartbeatFrom(id, 1, 3, fencingToken))
				running[id] = taskStatuses(startCommands(body.Commands), wire.TaskRunning)
				h.heartbeat(heartbeatFrom(id, 1, 4, fencingToken, running[id]...))
				n += len(running[id])
			}
			if n != 200 {
				t.Fatalf("%d tasks run, want 200", n)
			}
			if tc.lose {
				h.loseAnswersPrefix = wire.PrefixFleet
			}
			if tc.reverse {
				h.blockedWatchPrefix = wire.PrefixControl
			}
			from := len(h.events)
			h.c.machineRecords.nextSplitAt = 0
			h.run(sec)
			if tc.reverse {
				slices.Reverse(h.events[from:])
				h.blockedWatchPrefix = ""
			}
			h.timeOutLostAnswers()
			h.run(sec)
			in := map[string]int{}
			for key, o := range h.c.machineRecords.sets {
				if value := h.keys[key].Value; wire.StoredSize(value, 2<<10) > 2<<10 {
					t.Errorf("record set %s takes %d bytes, more than the limit", key, len(value))
				}
				for _, m := range o.machines {
					in[m.id]++
				}
			}
			active := len(h.c.jobs.open["job-000001"].run.active)
			if len(h.c.machineRecords.sets) < 3 || len(in) != 50 || active != 200 {
				t.Errorf("%d record sets with %d machines, %d tasks active; want 3, 50, 200", len(h.c.machineRecords.sets), len(in), active)
			}
			for id, times := range in {
				m := h.c.machines[id]
				if times != 1 || m == nil || m.view == nil || len(m.view.attemptList) != 4 {
					t.Fatalf("machine %s is in %d record sets, want 1, or its tasks are gone", id, times)
				}
				if h.c.fencingToken(s, m) <= fencingToken {
					t.Errorf("the fencing token of %s did not rise", id)
				}
			}
		})
	}
}

// smallValueBytes is a small limit on the size of a stored value, in bytes, that records must fit.
const smallValueBytes = 2 << 10

// withSmallLimits configures a controller with a peer and small limits of the state service.
func withSmallLimits(c *Config) {
	withPeer(c)
	c.ValueBytes = smallValueBytes
	c.TxnOps = 4
}

// TestCheckpointsFitLimit checks that the textual form of checkpoints fits the size limit and that
// they still contain done tasks.
func TestCheckpointsFitLimit(t *testing.T) {
	h := newOwnerHarness(t, withSmallLimits)
	h.reconcileMachine("vm-1")
	for name, tasks := range map[string]int{"job-000001": 2000, "job-000002": 100_000, "job-000003": 1} {
		for pattern, every := range map[string]int{"alternating": 2, "in threes": 3, "all but the last": 1} {
			h.submit(newSubmission(name, tasks))
			j := h.c.jobs.open[name]
			j.run.doneTasks, j.run.doneCount = checkpoint.NewTaskSet(tasks), 0
			for i := 0; i < tasks-1; i += every {
				j.run.doneTasks.Add(i)
				j.run.doneCount++
			}
			j.run.finishedTasks, j.run.checkpoint.recoveriesMS = nil, nil
			for i := range checkpoint.MaxFinishedTasks {
				j.run.finishedTasks = append(j.run.finishedTasks, wire.FinishedTask{Task: 99_000 + i, Machine: "vm-123456", StartMS: 1_800_000_000_000, EndMS: 1_800_000_000_000})
			}
			for range checkpoint.MaxRecoveries {
				j.run.checkpoint.recoveriesMS = append(j.run.checkpoint.recoveriesMS, 1_800_000_000_000)
			}
			rec, _ := h.c.buildCheckpoint(j)
			value := encoded(t, rec)
			if n := wire.StoredSize(value, smallValueBytes); n > smallValueBytes {
				t.Errorf("a checkpoint of %d tasks, %s, takes %d bytes, more than the limit", tasks, pattern, n)
			}
			if rec.DoneCount == 0 && tasks > 1 {
				t.Errorf("a checkpoint of %d tasks, %s, contains no done task", tasks, pattern)
			}
		}
	}
}

// TestRecordSetsFitLimit checks that the textual form of the largest machine record sets fits the
// size limit.
func TestRecordSetsFitLimit(t *testing.T) {
	h := newOwnerHarness(t, withSmallLimits)
	h.reconcileMachine("vm-1")
	var list []*machine
	for i := range h.c.recordSetLimit() {
		m := &machine{id: fmt.Sprintf("vm-%06d", 123456+i)}
		m.rec = machineRecord{Addr: "10.201.230.231:9000", Type: "a-long-name-of-a-type", Zone: "birmingham", Spot: i%2 == 0, Cordoned: true}
		list = append(list, m)
	}
	if n := wire.StoredSize(encoded(t, recordSetOf(list, nil, nil)), smallValueBytes); n > smallValueBytes {
		t.Errorf("a record set of %d machines takes %d bytes, more than the limit", len(list), n)
	}
}
