package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// submitTimeout is that of a submission and of a cancellation, statusTimeout that of a
	// status request.
	submitTimeout = 5 * sec
	statusTimeout = 2 * sec
	// maxSubmitAttempts is how often a user tries to submit a job.
	maxSubmitAttempts = 60
	// retryPause is how long a user waits before a request is repeated.
	retryPause = sec
	// statusInterval is how often a user asks about a job, finalStatusInterval how often about
	// one that has ended.
	statusInterval      = 2 * sec
	finalStatusInterval = 10 * sec
	// unknownJobChance is how probable it is that a user asks about an unknown job, too.
	unknownJobChance = 0.05
)

// user owns one job: submits it, asks about it, perhaps cancels it, and holds the service to
// what it reported.
type user struct {
	fakes.Job
	sim             *Simulation
	willCancel      bool
	dependencies    []*user // whose jobs this one depends on
	cachedAncestors []*user // see ancestors

	submitted         bool
	submitAttempts    int
	gaveUp            bool
	accepted          bool
	acceptedAt        micros.Micros
	lastAnsweredAt    micros.Micros // when a request about it was last answered
	cancelRequested   bool
	cancelConfirmedAt micros.Micros // when it was first reported as cancelled; 0: it was not
	finalState        wire.JobState // as reported; empty: none was

	// For checks.
	largest                bool          // one of its class's largest
	waitingSince           micros.Micros // when a task was first seen waiting beside free capacity, without a start since
	starts                 int           // of its tasks
	startsWhenWaitingSince int           // when waitingSince was set
}

// send sends a request to the controller that the load balancer picks.
func (u *user) send(newInput func(controller.ReplyID) controller.Input, timeout micros.Micros, done func(controller.Answer, bool)) {
	u.sendTo(u.sim.drawNode(), newInput, timeout, done)
}

// sendTo sends a request to a controller.
func (u *user) sendTo(n *node, newInput func(controller.ReplyID) controller.Input, timeout micros.Micros, done func(controller.Answer, bool)) {
	exchange(u.sim, n.userLink(), timeout, func(reply func(controller.Answer)) { n.deliverRequest(newInput, reply) }, done)
}

func (u *user) submitRequest(id controller.ReplyID) controller.Input {
	return controller.SubmitRequest{Reply: id, Job: u.Submission}
}

func (u *user) statusRequest(id controller.ReplyID) controller.Input {
	return controller.JobStatusRequest{Reply: id, ID: u.Submission.ID}
}

func (u *user) cancelRequest(id controller.ReplyID) controller.Input {
	return controller.CancelRequest{Reply: id, ID: u.Submission.ID}
}

// submit submits the job until it is accepted.
func (u *user) submit() {
	s := u.sim
	u.submitted = true
	u.submitAttempts++
	finalState := u.finalState
	u.send(u.submitRequest, submitTimeout, func(a controller.Answer, ok bool) {
		switch {
		case ok && (a.Status == http.StatusCreated || a.Status == http.StatusOK):
			u.handleAccepted(a, finalState)
		case ok && (a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity):
			s.violated("a good submission of %s got %d", u.Submission.ID, a.Status)
		case u.submitAttempts > maxSubmitAttempts:
			u.gaveUp = true
		default:
			s.after(retryPause, u.submit)
		}
	})
}

// handleAccepted plans what the user does with an accepted job.
func (u *user) handleAccepted(a controller.Answer, finalState wire.JobState) {
	s := u.sim
	u.accepted = true
	u.acceptedAt = s.now
	u.lastAnsweredAt = s.now
	u.checkAnswer(a, finalState)
	u.requestRepeatedly()
	s.after(s.between(sec, 3*sec), u.pollStatus)
	if u.willCancel {
		s.after(s.between(sec/10, 25*sec), u.requestCancel)
	}
	s.after(s.between(2*sec, 60*sec), u.resubmit)
}

// resubmit repeats the submission of an accepted job.
func (u *user) resubmit() { u.resubmitTo(u.sim.drawNode()) }

func (u *user) resubmitTo(n *node) {
	finalState := u.finalState
	u.sendTo(n, u.submitRequest, submitTimeout, func(a controller.Answer, ok bool) {
		if !ok {
			return
		}
		if rejected(a) {
			u.sim.violated("forgotten: a repeated submission of %s got %d", u.Submission.ID, a.Status)
		}
		u.checkAnswer(a, finalState)
	})
}

// rejected reports whether an answer says that a submission is not valid, or unknown.
func rejected(a controller.Answer) bool {
	return a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity || a.Status == http.StatusNotFound
}

// pollStatus asks about the job periodically, and sometimes about an unknown one.
func (u *user) pollStatus() {
	s := u.sim
	if s.chance(unknownJobChance) {
		u.requestUnknownStatus()
	}
	u.requestStatus(s.drawNode(), func() {
		interval := statusInterval
		if u.finalState != "" {
			interval = finalStatusInterval
		}
		s.after(interval, u.pollStatus)
	})
}

// requestUnknownStatus asks about a job that nobody submitted.
func (u *user) requestUnknownStatus() {
	s := u.sim
	unknown := s.drawUnknownJob(firstUnknownPolled, unknownPolledCount)
	u.send(func(id controller.ReplyID) controller.Input {
		return controller.JobStatusRequest{Reply: id, ID: unknown}
	}, statusTimeout, func(a controller.Answer, ok bool) {
		if ok && a.Status == http.StatusOK {
			s.violated("invented: %s", unknown)
		}
	})
}

// requestStatus asks a controller about the job; then, if set, is called after the answer or
// the timeout.
func (u *user) requestStatus(n *node, then func()) {
	finalState := u.finalState
	u.sendTo(n, u.statusRequest, statusTimeout, func(a controller.Answer, ok bool) {
		if ok {
			u.checkAnswer(a, finalState)
		}
		if then != nil {
			then()
		}
	})
}

// requestCancel cancels the job, and repeats that until a final state is reported.
func (u *user) requestCancel() {
	s := u.sim
	if u.finalState != "" {
		return
	}
	u.cancelRequested = true
	finalState := u.finalState
	u.send(u.cancelRequest, submitTimeout, func(a controller.Answer, ok bool) {
		if ok {
			u.checkAnswer(a, finalState)
		}
		if u.finalState == "" {
			s.after(retryPause, u.requestCancel)
		}
	})
}
