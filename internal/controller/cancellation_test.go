package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestCancelledTaskAcrossFailovers is the regression test of an incident
// (docs/incidents/2026-12-cancelled-task-ran-on.md): a task was still on its machine more than
// cancel_s after its user had been notified of the cancellation.
//
// The stop did not reach the machine. The machine then reached a controller only from time to time,
// each time just after another claim of its shard. The first reply after a claim renewed the
// machine's lease with the new fencing token and contained no stop, because a controller ignored the
// task list until the machine had shown that token. The test checks that a machine that executes
// every command it receives no longer runs the task when the time allowed for a cancellation ends.
func TestCancelledTaskAcrossFailovers(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, attempt := h.runOneTask()
	w := newSlowWorker(h, fencingToken, attempt)
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("cancellation answered %d, want 200", a.Status)
	}
	notifiedAt := h.now
	for w.alive() {
		w.checkDeadline(notifiedAt)
		// The owner's key is deleted, and the next owner claims the shard.
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
		h.run(3 * sec)
		w.sendHeartbeat()
		h.run(3 * sec) // direct commands do not reach the machine
	}
}

// slowWorker is a machine that runs job-000001/0. It receives the replies to its heartbeats but no
// direct commands.
type slowWorker struct {
	h                     *harness
	fencingToken, attempt uint64
	sequence              uint64
	stopped               bool
	leaseEnds             micros.Micros
}

// newSlowWorker returns a machine whose lease begins now and whose task is running.
func newSlowWorker(h *harness, fencingToken, attempt uint64) slowWorker {
	return slowWorker{h: h, fencingToken: fencingToken, attempt: attempt, sequence: 100, leaseEnds: h.now + h.c.cfg.WorkerLease}
}

// alive reports whether the task may still run: it was not stopped and the lease has not ended.
func (w *slowWorker) alive() bool { return !w.stopped && w.h.now < w.leaseEnds }

// checkDeadline fails the test if the task is still on the machine when the time allowed for a
// cancellation has passed, counted from when the user was notified.
func (w *slowWorker) checkDeadline(notifiedAt micros.Micros) {
	w.h.t.Helper()
	if now := w.h.now; now > notifiedAt+w.h.c.cfg.CancelWithin {
		w.h.t.Fatalf("the task is still on its machine %v s after its user was notified, and its lease ends in %v s", (now - notifiedAt).Seconds(), (w.leaseEnds - now).Seconds())
	}
}

// sendHeartbeat sends a heartbeat and applies the reply.
func (w *slowWorker) sendHeartbeat() {
	w.sequence++
	status, body := w.h.heartbeat(w.h.runningHeartbeat(w.sequence, w.fencingToken, w.attempt))
	if status != 200 || body.FencingToken < w.fencingToken {
		return
	}
	w.fencingToken = body.FencingToken
	w.leaseEnds = w.h.now + w.h.c.cfg.WorkerLease
	w.stopped = w.stopped || countImmediateStops(body.Commands) > 0
}

// TestOwnersWithStaleViewsInSeries guards against a fault that the simulation found while the
// incident was examined: a cancelled task kept running while the state service served claims and
// lease renewals but no watch of jobs. Owners with a stale view of jobs followed one another, and
// each renewed its machines' leases for a period that began with its own claim. The length of that
// period assumed that the previous owner had a current view. The test checks that a machine whose
// heartbeats all arrive stops the task in time, whatever the number of claims.
func TestOwnersWithStaleViewsInSeries(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.CancelWithin = 40 * sec
	})
	fencingToken, attempt := h.runOneTask()
	w := newSlowWorker(h, fencingToken, attempt)
	h.blockedWatchPrefix = wire.PrefixJob
	h.unlistablePrefix = wire.PrefixJob
	h.putRecord(ownerKey(0), wire.OwnerRecord{Label: "n-1", Incarnation: 99})
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
	notifiedAt := h.now
	for w.alive() {
		// The owner's key is deleted, and this node claims the shard.
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
		for until := h.now + 8*sec; h.now < until && w.alive(); {
			h.run(sec)
			w.sendHeartbeat()
			w.checkDeadline(notifiedAt)
		}
	}
}

// TestUnknownJobUnreadable guards against a fault that the simulation found while the incident was
// examined (docs/incidents/2026-12-unknown-job-was-fed.md): a cancelled task kept running under an
// owner with a current view of jobs. The machine was unreachable when the job was cancelled, the
// shard was claimed again, the job's end had been evicted from memory, and reads of single jobs were
// refused. The lease of a machine with a task of an unknown job was renewed without a bound until a
// read succeeded, although the view of jobs showed that the job had ended: the log line "shard
// entitlement" said current_view, and each "report" said answered=true commands=0. The test checks
// that a machine whose heartbeats all arrive stops the task in time.
func TestUnknownJobUnreadable(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.MaxFinalJobs, c.CancelWithin = 1, 40*sec
	})
	fencingToken, attempt := h.runOneTask()
	w := newSlowWorker(h, fencingToken, attempt)
	h.cancel("job-000001")
	notifiedAt := h.now
	h.putRecord(wire.JobKey("job-000002"), wire.JobRecord{State: wire.StateDone, Tasks: 1})
	h.unreadablePrefix = wire.PrefixJob
	// The owner's key is deleted, and this node claims the shard.
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	for w.alive() {
		h.run(sec)
		w.sendHeartbeat()
		w.checkDeadline(notifiedAt)
	}
}

// TestCancelledTaskBeforeCheckpoints checks that a cancellation that is requested before the
// checkpoints of the former owner are loaded stops the tasks that machines list. The record may be
// applied, and other controllers may notify users, without this node knowing it.
func TestCancelledTaskBeforeCheckpoints(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, attempt := h.runOneTask()
	h.unlistablePrefix = wire.PrefixCheckpoint
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	_, body := h.heartbeat(h.runningHeartbeat(20, fencingToken, attempt))
	fencingToken = body.FencingToken
	if status, body := h.heartbeat(h.runningHeartbeat(21, fencingToken, attempt)); status != 200 || countImmediateStops(body.Commands) != 0 || !h.c.machines["vm-1"].view.reconciled {
		t.Fatalf("answered %d %v, want 200 without a stop and a reconciled machine: the test does not exercise its case", status, body.Commands)
	}
	h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
	h.cancel("job-000001")
	if _, body := h.heartbeat(h.runningHeartbeat(22, fencingToken, attempt)); countImmediateStops(body.Commands) != 1 {
		t.Errorf("commands %v, want the task stopped", body.Commands)
	}
}

// TestReplyHasCommandList checks that the reply to a heartbeat contains a list of commands even if
// the list is empty.
func TestReplyHasCommandList(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken := h.reconcileMachine("vm-1")
	for _, reconciled := range []bool{true, false} {
		if !reconciled {
			h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
			h.run(2 * sec)
		}
		status, body := h.heartbeat(heartbeatFrom("vm-1", 1, 50+uint64(h.now/sec), fencingToken))
		if status != 200 || body.Commands == nil || len(body.Commands) > 0 {
			t.Errorf("reconciled %v: answered %d with commands %#v, want 200 with an empty list", reconciled, status, body.Commands)
		}
	}
}

// TestLateStartIsBounded checks that there is a time after which a delayed direct command can no
// longer start a task of a cancelled job. The fault was found by reading the code: a direct command
// was not answered, and the write that raises the machine's fencing token did not succeed, so the
// machine could execute the command as long as its agent epoch lasted. The machine's heartbeats were
// still answered, which renewed its lease without a bound. The test checks that the machine's lease,
// and with it the agent epoch that the command names, ends within the time allowed for a
// cancellation.
func TestLateStartIsBounded(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	commands := h.directStarts()
	if len(commands) != 1 {
		t.Fatalf("%d commands, want the start", len(commands))
	}
	h.workerCalls = nil
	h.delayPrefix = wire.PrefixFleet // the raised fencing token is never recorded
	h.step(Result{ID: commands[0].ID})
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("cancellation answered %d, want 200", a.Status)
	}
	notifiedAt, leaseEnds, answered := h.now, h.now+h.c.cfg.WorkerLease, 0
	for seq := uint64(20); h.now < notifiedAt+3*h.c.cfg.CancelWithin && h.now < leaseEnds; seq++ {
		if status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken)); status == 200 {
			leaseEnds = h.now + h.c.cfg.WorkerLease
			answered++
		}
		h.run(sec)
	}
	if answered == 0 {
		t.Error("no heartbeat was answered")
	}
	if leaseEnds > notifiedAt+h.c.cfg.CancelWithin {
		t.Errorf("the command may start the task until %v s after the user was notified, want at most %v s", (leaseEnds - notifiedAt).Seconds(), h.c.cfg.CancelWithin.Seconds())
	}
}
