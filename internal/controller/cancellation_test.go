package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestCancelledTaskAcrossFailovers reproduces the incident of the cancelled task
// (docs/incidents/2026-12-cancelled-task-ran-on.md).
//
// Seen: a task was on its machine more than cancel_s after its user had been notified that the job
// is cancelled. How: the stop did not reach the machine, which then reached a controller only now
// and then, and each time a new claim of its shard had just been made. Cause: the first answer
// after a claim renewed the machine's lease with the new token and nothing else, since lists of
// tasks were believed only once the fencing token had been shown. Proof: a machine that carries out
// all that it receives is rid of the task in time.
func TestCancelledTaskAcrossFailovers(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, attempt := h.runOneTask()
	w := newSlowWorker(h, fencingToken, attempt)
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("cancellation answered %d", a.Status)
	}
	notifiedAt := h.now
	for w.alive() {
		w.checkDeadline(notifiedAt)
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}}) // the owner ends, the next one claims
		h.run(3 * sec)
		w.sendHeartbeat()
		h.run(3 * sec) // nothing that is sent to it directly arrives
	}
}

// slowWorker is a machine that runs job-000001/0. It receives replies to its heartbeats, and
// nothing that is sent to it directly.
type slowWorker struct {
	h                     *harness
	fencingToken, attempt uint64
	sequence              uint64
	stopped               bool
	leaseEnds             micros.Micros
}

func newSlowWorker(h *harness, fencingToken, attempt uint64) slowWorker {
	return slowWorker{h: h, fencingToken: fencingToken, attempt: attempt, sequence: 100, leaseEnds: h.now + h.c.cfg.WorkerLease}
}

func (w *slowWorker) alive() bool { return !w.stopped && w.h.now < w.leaseEnds }

// checkDeadline fails the test if the task is still there after the time that a cancellation has,
// counted from when its user was notified.
func (w *slowWorker) checkDeadline(notifiedAt micros.Micros) {
	w.h.t.Helper()
	if now := w.h.now; now > notifiedAt+w.h.c.cfg.CancelWithin {
		w.h.t.Fatalf("the task is still on its machine %v s after its user was notified, and its lease ends in %v s", (now - notifiedAt).Seconds(), (w.leaseEnds - now).Seconds())
	}
}

// sendHeartbeat sends a heartbeat, and does what the reply says.
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

// TestOwnersWithStaleViewsInSeries reproduces a fault found beside the incident, by the simulation:
// owners with a stale view of jobs followed one another, and each renewed its machines' leases for
// a time that began with its own claim. Seen: a cancelled task lived on while the state service let
// claims and renewals through and no watch of jobs. Cause: the time allowed to an owner that does
// not know what its predecessor ended counted on a predecessor that did. Proof: whatever the number
// of claims, a machine whose heartbeats all arrive is rid of the task in time.
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
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}}) // the owner ends, this node claims
		for until := h.now + 8*sec; h.now < until && w.alive(); {
			h.run(sec)
			w.sendHeartbeat()
			w.checkDeadline(notifiedAt)
		}
	}
}

// TestUnknownJobUnreadable reproduces a fault found beside the incident, by the simulation
// (docs/incidents/2026-12-unknown-job-was-fed.md). Seen: a cancelled task lived on at an owner with
// a current view of jobs. How: its machine was unreachable when it was cancelled, the shard was
// claimed anew, and the job's end had left the memory of ends; reads of single jobs were refused.
// Cause: the lease of a machine with a task of an unknown job was renewed until a read succeeded,
// without a bound, although the view of jobs showed that the job had ended: "shard entitlement"
// said current_view, then each "report" said answered=true commands=0. Proof: a machine whose
// heartbeats all arrive is rid of the task in time.
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
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}}) // the owner ends, this node claims
	for w.alive() {
		h.run(sec)
		w.sendHeartbeat()
		w.checkDeadline(notifiedAt)
	}
}

// TestCancelledTaskBeforeCheckpoints checks that a cancellation that is requested before the
// checkpoints of the former owner are loaded stops the tasks that the machines list: its record
// may be applied, and users notified by others, without this node's knowing.
func TestCancelledTaskBeforeCheckpoints(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, attempt := h.runOneTask()
	h.unlistablePrefix = wire.PrefixCheckpoint
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	_, body := h.heartbeat(h.runningHeartbeat(20, fencingToken, attempt))
	fencingToken = body.FencingToken
	if status, body := h.heartbeat(h.runningHeartbeat(21, fencingToken, attempt)); status != 200 || countImmediateStops(body.Commands) != 0 || !h.c.machines["vm-1"].view.reconciled {
		t.Fatalf("answered %d %v: the case is not what it should be", status, body.Commands)
	}
	h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
	h.cancel("job-000001")
	if _, body := h.heartbeat(h.runningHeartbeat(22, fencingToken, attempt)); countImmediateStops(body.Commands) != 1 {
		t.Errorf("commands %v, want the task stopped", body.Commands)
	}
}

// TestReplyHasCommandList checks that the reply to a heartbeat has a list of commands, also where
// there are none.
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
			t.Errorf("reconciled %v: answered %d with %#v, want an empty list", reconciled, status, body.Commands)
		}
	}
}

// TestLateStartIsBounded checks that a start that is carried out late has a bound in time. Found by
// reading the code, and shown by this test: a direct command was not answered, and the record that
// raises its machine's token does not get through, so that the command may be executed as long as
// the machine's agent epoch lasts. Its job is cancelled. The machine's heartbeats were answered all
// the same, which went on renewing its lease: nothing bounded when the task might yet start. Proof:
// once the time of the cancellation is over, so is the machine's lease, and with it the agent epoch
// that the command names.
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
		t.Fatalf("cancellation answered %d", a.Status)
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
		t.Errorf("the command may start the task until %v s after its user was notified, want at most %v s", (leaseEnds - notifiedAt).Seconds(), h.c.cfg.CancelWithin.Seconds())
	}
}
