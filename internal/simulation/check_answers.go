package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// maxUnanswered is how long, once faults are over, no request about an accepted job may go
// unanswered.
const maxUnanswered = 75 * sec

// checkAnswer checks an answer against what was reported before and what is true. finalState is
// what had been reported before the request was sent; only that binds the answer, as answers to
// requests under way at the same time may overtake each other.
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
		s.violated("not_done: %s says %d of %d tasks are done", u.Submission.ID, *answer.Done, u.Submission.Tasks)
	}
	if u.finalState != before {
		u.requestRepeatedly()
	}
}

// checkState checks a reported state against what is true, and remembers one that is final.
func (u *user) checkState(state wire.JobState) {
	s := u.sim
	switch state {
	case wire.StateDone:
		if !u.Completed() {
			s.violated("not_done: %s called done, %d of %d tasks are", u.Submission.ID, len(u.Done), u.Submission.Tasks)
		}
		u.finalState = state
	case wire.StateCancelled:
		if !u.mayBeCancelled() {
			s.violated("went_back: %s is called cancelled, nobody asked for it", u.Submission.ID)
		}
		if u.cancelConfirmedAt == 0 {
			u.cancelConfirmedAt = s.now
		}
		u.finalState = state
	}
}

// cancelDeadline returns until when a job's tasks may run that was reported as cancelled; ok is
// false if it was not.
func (u *user) cancelDeadline() (until micros.Micros, ok bool) {
	return u.cancelConfirmedAt + u.sim.cfg.Cancel, u.cancelConfirmedAt != 0
}

// pastCancelDeadline reports whether the time of the job's cancellation is over.
func (u *user) pastCancelDeadline() bool {
	until, cancelled := u.cancelDeadline()
	return cancelled && u.sim.now > until
}

// checkUnanswered checks that requests about accepted jobs that were not cancelled are answered
// once faults are over.
func (s *Simulation) checkUnanswered() {
	if s.now <= s.plan.ActiveTime+maxUnanswered {
		return
	}
	for _, u := range s.users {
		unanswered := s.now - max(u.lastAnsweredAt, s.plan.ActiveTime)
		if u.accepted && !u.mayBeCancelled() && unanswered > maxUnanswered {
			s.violated("forgotten: no question about %s was answered for %v s", u.Submission.ID, (s.now - u.lastAnsweredAt).Seconds())
		}
	}
}

// checkEnded checks, at the end of a run, that all accepted jobs have ended.
func (s *Simulation) checkEnded() {
	for _, u := range s.users {
		if u.accepted && u.finalState == "" {
			s.violated("stuck: %s (%s) has not ended %v s after the last fault; %d of %d tasks done",
				u.Submission.ID, u.Submission.Class, s.plan.RecoveryTime.Seconds(), len(u.Done), u.Submission.Tasks)
		}
	}
}
