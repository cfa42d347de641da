package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// A job that becomes known only after its machines settled is tied to its
// running tasks before anything is placed: ran_twice on a day when a node
// came back from a cut with an old view (Inkingi faults, seed 182635972162).
func TestLateJobIsAdopted(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	other := h.reconcile("vm-2")
	h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: 7, State: wire.TaskRunning}))
	sub := jobOf("job-000001", 1)
	// As if accepted before our claim: its record has a lower mark.
	h.c.learnJob("job-000001", wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}, 1)
	h.c.schedulingDue = true
	h.run(sec)
	_, body := h.heartbeat(heartbeatFrom("vm-2", 1, 10, other))
	if len(starts(body.Commands)) != 0 || len(h.directCommands()) != 0 {
		t.Errorf("started again: %v %v", body.Commands, h.directCommands())
	}
}

// checkpoints cover the done tasks as ranges, within the size of a value.
func TestCheckpoint(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tasks  int
		done   func(i int) bool
		ranges []int
		count  int
		set    bool
	}{
		{"none", 10, func(int) bool { return false }, nil, 0, false},
		{"all", 10, func(int) bool { return true }, []int{0, 9}, 10, false},
		{"a hole", 6, func(i int) bool { return i != 3 }, []int{0, 2, 4, 5}, 5, false},
		{"last only", 100_000, func(i int) bool { return i == 99_999 }, []int{99_999, 99_999}, 1, false},
		{"every other of 2,000: more ranges than fit", 2000, func(i int) bool { return i%2 == 0 }, nil, 1000, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Shards: 1, Teams: []Team{{Name: "t"}}, ValueBytes: 8 << 10, StateRPS: 1, WriteRPS: 1, CloudRPS: 1}, 1)
			sub := jobOf("job-000001", tc.tasks)
			j := &job{id: sub.ID, sub: &sub, run: &run{done: newBitset(tc.tasks)}}
			for i := range tc.tasks {
				if tc.done(i) {
					j.run.done.set(i)
				}
			}
			j.run.doneCount = tc.count
			rec, _ := c.buildCheckpoint(j)
			if tc.set {
				if rec.Count != tc.count || len(rec.Ranges) != 0 {
					t.Fatalf("%d done in %d ranges, want %d in a set", rec.Count, len(rec.Ranges)/2, tc.count)
				}
				// A new owner reads the same from it.
				again := &job{id: sub.ID, sub: &sub, run: &run{done: newBitset(tc.tasks), checkpointed: newBitset(tc.tasks), acceptedUnderClaim: true}}
				c.applyCheckpoint(&shard{shardRecovery: shardRecovery{checkpoints: map[string]wire.CheckpointRecord{sub.ID: rec}}}, again)
				if again.run.doneCount != tc.count {
					t.Errorf("read as %d done", again.run.doneCount)
				}
				return
			}
			if rec.Count != tc.count || len(rec.Ranges) != len(tc.ranges) {
				t.Fatalf("%d done in %v, want %d in %v", rec.Count, rec.Ranges, tc.count, tc.ranges)
			}
			for i := range rec.Ranges {
				if rec.Ranges[i] != tc.ranges[i] {
					t.Errorf("ranges %v, want %v", rec.Ranges, tc.ranges)
				}
			}
		})
	}
	c := New(Config{Shards: 1, Teams: []Team{{Name: "t"}}, ValueBytes: 8 << 10, StateRPS: 1, WriteRPS: 1, CloudRPS: 1}, 1)
	sub := jobOf("job-000001", wire.MaxTasks)
	j := &job{id: sub.ID, sub: &sub, run: &run{done: newBitset(wire.MaxTasks)}}
	for i := 0; i < wire.MaxTasks; i += 2 {
		j.run.done.set(i)
	}
	for range maxSteps {
		j.run.steps = append(j.run.steps, wire.Step{Task: 99_999, Machine: "vm-000000000", StartMS: 1 << 41, EndMS: 1 << 41})
	}
	rec, covered := c.buildCheckpoint(j)
	value, err := wire.Encode(rec)
	if err != nil || len(value) > 8<<10 || rec.Count == 0 {
		t.Errorf("the worst Version has %d bytes for %d tasks, %v", len(value), rec.Count, err)
	}
	for i := 0; i < wire.MaxTasks; i++ {
		if covered.has(i) && !j.run.done.has(i) {
			t.Fatalf("task %d is covered and not done", i)
		}
	}
}

// A checkpoint that is carried out after its job's end leaves nothing behind.
func TestLateCheckpoint(t *testing.T) {
	h := meet(t, withPeer)
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 2))
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := starts(body.Commands)
	h.late = wire.PrefixCheckpoint
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	h.run(3 * sec)
	if len(h.lateOut) == 0 {
		t.Fatal("no Version was sent")
	}
	late := h.lateOut
	h.late, h.lateOut = "", nil
	for _, c := range late {
		h.step(Result{ID: c.ID}) // given up
	}
	h.run(sec / 2) // read: nothing stands there
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("withdrawal got %d", a.Status)
	}
	h.lateOut = late
	if n := h.carryOut(); n != 0 {
		t.Errorf("%d Versions of a job that is over were written", n)
	}
}
