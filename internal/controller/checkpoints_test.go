package controller

import (
	"slices"
	"testing"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/wire"
)

// TestLateJobIsAdopted checks that the running tasks of a job that becomes known only after its
// machines were reconciled are adopted before anything is scheduled. Otherwise a task ran twice
// when a controller came back from a network partition with a stale view (Inkingi faults, seed
// 182635972162).
func TestLateJobIsAdopted(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	other := h.reconcileMachine("vm-2")
	h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: 7, State: wire.TaskRunning}))
	sub := newSubmission("job-000001", 1)
	// The record's revision is lower than that of this node's claim, as if the job had been
	// accepted before the claim.
	h.c.applyJobRecord("job-000001", wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}, 1)
	h.c.schedulingDue = true
	h.run(sec)
	_, body := h.heartbeat(heartbeatFrom("vm-2", 1, 10, other))
	if len(startCommands(body.Commands)) != 0 || len(h.directStarts()) != 0 {
		t.Errorf("the task was started again: commands in the reply %v, direct commands %v", body.Commands, h.directStarts())
	}
}

// TestApplyCheckpointRestoresDoneTasks checks that a new owner restores the done tasks of a job
// from its checkpoint.
func TestApplyCheckpointRestoresDoneTasks(t *testing.T) {
	const tasks, done = 2000, 1000
	c := New(Config{Shards: 1, Teams: []Team{{Name: "t"}}, ValueBytes: 8 << 10, StateRPS: 1, WriteRPS: 1, CloudRPS: 1}, 1)
	sub := newSubmission("job-000001", tasks)
	newJob := func() *job {
		r := &run{
			doneTasks:          checkpoint.NewTaskSet(tasks),
			checkpoint:         jobCheckpoint{recorded: checkpoint.NewTaskSet(tasks)},
			acceptedUnderClaim: true,
		}
		return &job{id: sub.ID, sub: &sub, run: r}
	}
	former := newJob()
	for i := 0; i < tasks; i += 2 {
		former.run.doneTasks.Add(i)
		former.run.doneCount++
	}
	rec, _ := c.buildCheckpoint(former)
	if rec.DoneCount != done || len(rec.DoneRanges) != 0 {
		t.Fatalf("the checkpoint has %d done tasks in %d ranges, want %d in a set", rec.DoneCount, len(rec.DoneRanges)/2, done)
	}
	recovered := newJob()
	c.applyCheckpoint(&shard{shardRecovery: shardRecovery{checkpoints: map[string]wire.CheckpointRecord{sub.ID: rec}}}, recovered)
	if recovered.run.doneCount != done || !slices.Equal(recovered.run.doneTasks, former.run.doneTasks) {
		t.Errorf("restored %d done tasks, want %d", recovered.run.doneCount, done)
	}
	if !slices.Equal(recovered.run.checkpoint.recorded, former.run.doneTasks) {
		t.Error("the restored tasks do not count as recorded")
	}
}

// TestLateCheckpoint checks that a checkpoint write executed after its job's end writes nothing.
func TestLateCheckpoint(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 2))
	h.dropWorkerCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := startCommands(body.Commands)
	h.delayPrefix = wire.PrefixCheckpoint
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	h.run(3 * sec)
	if len(h.delayedTxns) == 0 {
		t.Fatal("no checkpoint was sent")
	}
	late := h.delayedTxns
	h.delayPrefix, h.delayedTxns = "", nil
	for _, c := range late {
		h.step(Result{ID: c.ID}) // the request times out
	}
	h.run(sec / 2) // the controller reads the revision: there is no checkpoint
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("cancellation answered %d, want 200", a.Status)
	}
	h.delayedTxns = late
	if n := h.applyDelayedTxns(); n != 0 {
		t.Errorf("%d checkpoints of an ended job were written, want none", n)
	}
}
