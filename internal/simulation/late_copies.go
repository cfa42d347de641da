package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file holds the fault of Plan.LateCopies, in which direct commands that were carried out and
// answered reach their workers again, and the checks of what such copies may do.

const (
	// copiesPerCommand is how many copies of each direct command that was carried out arrive.
	copiesPerCommand = 3
	// minCopyDelay and maxCopyDelay bound how long after a direct command its copies arrive.
	minCopyDelay = 50 * ms
	maxCopyDelay = 90 * sec
)

// copyLater delivers copies of a direct command that a worker has carried out, if the plan says so.
// Their answers are lost. It returns the result of the command.
func (s *Simulation) copyLater(w *worker, call controller.Call, result controller.Result) controller.Result {
	command, isCommand := call.Req.(wire.DirectCommand)
	if !s.plan.LateCopies || !isCommand || len(command.Commands) == 0 || result.Status != http.StatusOK {
		return result
	}
	for range copiesPerCommand {
		s.after(s.drawCopyDelay(), func() {
			if s.now >= w.unreachableUntil {
				s.CommandCopies++
				w.Serve(command, func(controller.Result) {})
			}
		})
	}
	return result
}

// drawCopyDelay draws how long after a direct command one of its copies arrives. Half of the copies
// arrive within some seconds, while shards and machines change hands.
func (s *Simulation) drawCopyDelay() micros.Micros {
	if s.chance(0.5) {
		return s.between(minCopyDelay, 8*sec)
	}
	return s.between(minCopyDelay, maxCopyDelay)
}

// attemptOnMachine identifies an attempt of a task on a machine.
type attemptOnMachine struct {
	machine, task string
	attempt       uint64
}

// checkRepeatedStart checks an attempt that a worker has added. A worker adds an attempt a second
// time only if it was told to forget it and a late copy of the start arrives after that. This may
// happen only if all tasks of the job are done, so that none of them can run again.
func (s *Simulation) checkRepeatedStart(w *worker, t *fakes.Task, u *user) {
	key := attemptOnMachine{w.ID, t.Name, t.Attempt}
	if !s.addedAttempts[key] {
		s.addedAttempts[key] = true
		return
	}
	s.RepeatedStarts++
	if !u.Completed() {
		s.violated("repeated: attempt %x of %s is started on %s again, %d of %d tasks of its job are done", t.Attempt, t.Name, w.ID, len(u.Done), u.Submission.Tasks)
	}
}

// checkForgotten checks an attempt that a worker was told to forget: no copy of the direct command
// that started it may be able to start it again, unless all tasks of its job are done. This finds the
// fault whether or not a copy arrives.
func (w *worker) checkForgotten(t *fakes.Task) {
	u := w.sim.userOf(t.Job)
	copyMayStart := t.StartToken != 0 && w.FencingToken() <= t.StartToken
	if u != nil && copyMayStart && !u.Completed() {
		w.sim.violated("forgotten: %s forgets attempt %x of %s, which a late copy could start again; %d of %d tasks of its job are done", w.ID, t.Attempt, t.Name, len(u.Done), u.Submission.Tasks)
	}
}
