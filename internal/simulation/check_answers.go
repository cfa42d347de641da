package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// maxUnanswered is the longest time, once faults are over, without an answer to any request about
// an accepted job.
const maxUnanswered = 75 * sec

// checkAnswer checks an answer about the job against earlier answers and against the true state of
// its tasks. finalState is the final state that had been reported before the request was sent. The
// answer is compared with that state only, since answers to concurrent requests may overtake each
// other.
func (u *user) checkAnswer(a controller.Answer, finalState wire.JobState) {
	s := u.sim
	if a.Status == http.StatusNotFound && u.accepted {
		s.violated("forgotten: %s got 404", u.Submission.ID)
		return
	}
	answer, ok := a.Body.(wire.JobAnswer)
	answered := a.Status == http.StatusOK || a.Status == http.StatusCreated
	if !ok || !answered {
		return
	}
	u.lastAnsweredAt = s.now
	u.checkDependenciesCancelled(answer.State)
	if finalState != "" && answer.State != finalState {
		s.violated("went_back: %s was %s and is now %s", u.Submission.ID, finalState, answer.State)
	}
	before := u.finalState
	u.checkState(answer.State)
	if answer.Done != nil && *answer.Done > u.Submission.Tasks {
		s.violated("not_done: an answer about %s says that %d of %d tasks are done", u.Submission.ID, *answer.Done, u.Submission.Tasks)
	}
	if u.finalState != before {
		u.requestRepeatedly()
	}
}

// checkState checks a reported state against the true state of the job's tasks, and records a
// final one.
func (u *user) checkState(state wire.JobState) {
	s := u.sim
	switch state {
	case wire.StateDone:
		if !u.Completed() {
			s.violated("not_done: %s is reported as done, but %d of %d tasks are", u.Submission.ID, len(u.Done), u.Submission.Tasks)
		}
		u.finalState = state
	case wire.StateCancelled:
		if !u.mayBeCancelled() {
			s.violated("went_back: %s is reported as cancelled, but no user asked for that", u.Submission.ID)
		}
		if u.cancelConfirmedAt == 0 {
			u.cancelConfirmedAt = s.now
		}
		u.finalState = state
	}
}

// cancelDeadline returns the time until which tasks of the cancelled job may run; ok is false if
// the job was not reported as cancelled.
func (u *user) cancelDeadline() (until micros.Micros, ok bool) {
	return u.cancelConfirmedAt + u.sim.cfg.CancelWithin, u.cancelConfirmedAt != 0
}

// pastCancelDeadline reports whether the job was reported as cancelled and the deadline has passed.
func (u *user) pastCancelDeadline() bool {
	until, cancelled := u.cancelDeadline()
	return cancelled && u.sim.now > until
}

// checkUnanswered checks that, once faults are over, requests about accepted jobs that were not
// cancelled are answered at least once per maxUnanswered.
func (s *Simulation) checkUnanswered() {
	if s.now <= s.plan.ActiveTime+maxUnanswered {
		return
	}
	for _, u := range s.users {
		unanswered := s.now - max(u.lastAnsweredAt, s.plan.ActiveTime)
		if u.accepted && !u.mayBeCancelled() && unanswered > maxUnanswered {
			s.violated("forgotten: no request about %s was answered for %v s", u.Submission.ID, (s.now - u.lastAnsweredAt).Seconds())
		}
	}
}

// checkEnded checks at the end of a run that all accepted jobs have ended.
func (s *Simulation) checkEnded() {
	for _, u := range s.users {
		if u.accepted && u.finalState == "" {
			s.violated("stuck: %s (%s) has not ended %v s after the last fault; %d of %d tasks done",
				u.Submission.ID, u.Submission.Class, s.plan.RecoveryTime.Seconds(), len(u.Done), u.Submission.Tasks)
		}
	}
}
