package controller

import (
	"slices"
	"testing"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/wire"
)

// TestLateJobIsAdopted checks that a job that becomes known only after its machines are reconciled
// gets its running tasks before anything is scheduled: a task ran twice when a controller came back
// from a network partition with an old view (Inkingi faults, seed 182635972162).
func TestLateJobIsAdopted(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	other := h.reconcile("vm-2")
	h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: 7, State: wire.TaskRunning}))
	sub := jobOf("job-000001", 1)
	// As if accepted before this node's claim: its record has a lower revision.
	h.c.learnJob("job-000001", wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}, 1)
	h.c.schedulingDue = true
	h.run(sec)
	_, body := h.heartbeat(heartbeatFrom("vm-2", 1, 10, other))
	if len(starts(body.Commands)) != 0 || len(h.directCommands()) != 0 {
		t.Errorf("started again: %v %v", body.Commands, h.directCommands())
	}
}

// TestApplyCheckpointRestoresDoneTasks checks that a new owner restores from a checkpoint the tasks
// that it names.
func TestApplyCheckpointRestoresDoneTasks(t *testing.T) {
	const tasks, done = 2000, 1000
	c := New(Config{Shards: 1, Teams: []Team{{Name: "t"}}, ValueBytes: 8 << 10, StateRPS: 1, WriteRPS: 1, CloudRPS: 1}, 1)
	sub := jobOf("job-000001", tasks)
	newJob := func() *job {
		r := &run{
			done:               checkpoint.NewTaskSet(tasks),
			checkpoint:         jobCheckpoint{recorded: checkpoint.NewTaskSet(tasks)},
			acceptedUnderClaim: true,
		}
		return &job{id: sub.ID, sub: &sub, run: r}
	}
	former := newJob()
	for i := 0; i < tasks; i += 2 {
		former.run.done.Add(i)
		former.run.doneCount++
	}
	rec, _ := c.buildCheckpoint(former)
	if rec.DoneCount != done || len(rec.DoneRanges) != 0 {
		t.Fatalf("%d done in %d ranges, want %d in a set", rec.DoneCount, len(rec.DoneRanges)/2, done)
	}
	recovered := newJob()
	c.applyCheckpoint(&shard{shardRecovery: shardRecovery{checkpoints: map[string]wire.CheckpointRecord{sub.ID: rec}}}, recovered)
	if recovered.run.doneCount != done || !slices.Equal(recovered.run.done, former.run.done) {
		t.Errorf("read as %d done, want %d", recovered.run.doneCount, done)
	}
	if !slices.Equal(recovered.run.checkpoint.recorded, former.run.done) {
		t.Error("the restored tasks do not count as recorded")
	}
}

// TestLateCheckpoint checks that a checkpoint that is executed after its job's end leaves nothing
// behind.
func TestLateCheckpoint(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 2))
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := starts(body.Commands)
	h.late = wire.PrefixCheckpoint
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	h.run(3 * sec)
	if len(h.lateOut) == 0 {
		t.Fatal("no checkpoint was sent")
	}
	late := h.lateOut
	h.late, h.lateOut = "", nil
	for _, c := range late {
		h.step(Result{ID: c.ID}) // given up
	}
	h.run(sec / 2) // read: nothing stands there
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("cancellation got %d", a.Status)
	}
	h.lateOut = late
	if n := h.carryOut(); n != 0 {
		t.Errorf("%d checkpoints of a job that is over were written", n)
	}
}
