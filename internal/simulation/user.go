package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// submitTimeout is the timeout of submissions and cancellations, statusTimeout that of status
	// requests.
	submitTimeout = 5 * sec
	statusTimeout = 2 * sec
	// maxSubmitAttempts limits how often a user repeats a failed submission before giving up.
	maxSubmitAttempts = 60
	// retryPause is how long a user waits before repeating a request.
	retryPause = sec
	// statusInterval is the pause between status requests about a job, finalStatusInterval the
	// pause once a final state is reported.
	statusInterval      = 2 * sec
	finalStatusInterval = 10 * sec
	// unknownJobChance is the probability that a user also asks about an unknown job.
	unknownJobChance = 0.05
)

// user owns one job. The user submits it, asks for its status, may cancel it, and checks each
// answer against earlier ones.
type user struct {
	fakes.Job
	sim             *Simulation
	willCancel      bool
	dependencies    []*user // users whose jobs this job depends on
	cachedAncestors []*user // result of ancestors once computed

	submitted         bool
	submitAttempts    int
	gaveUp            bool
	accepted          bool
	acceptedAt        micros.Micros
	lastAnsweredAt    micros.Micros // when a request about the job was last answered
	cancelRequested   bool
	cancelConfirmedAt micros.Micros // when the job was first reported as cancelled; 0: never
	finalState        wire.JobState // reported final state; empty: none yet

	// The following fields are used by checks only.
	largest bool // the job is among the largest of its class
	// waitingSince is the start of the current wait despite free capacity. Each start of a task
	// resets it. 0: the job is blocked or has not been checked.
	waitingSince           micros.Micros
	starts                 int // number of starts of the job's tasks
	startsWhenWaitingSince int // value of starts when waitingSince was set
}

// send sends a request to a random controller, as through a load balancer.
func (u *user) send(newInput func(controller.ReplyID) controller.Input, timeout micros.Micros, done func(controller.Answer, bool)) {
	u.sendTo(u.sim.drawNode(), newInput, timeout, done)
}

// sendTo sends the request that newInput returns to a controller. done is called with the answer,
// or with false after the timeout.
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

// submit submits the job, and repeats that until it is accepted or the user gives up.
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
			s.violated("the valid submission of %s was rejected with status %d", u.Submission.ID, a.Status)
		case u.submitAttempts > maxSubmitAttempts:
			u.gaveUp = true
		default:
			s.after(retryPause, u.submit)
		}
	})
}

// handleAccepted checks the answer that accepts the job, and schedules the user's further requests.
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

// resubmit repeats the submission of an accepted job at a random controller.
func (u *user) resubmit() { u.resubmitTo(u.sim.drawNode()) }

// resubmitTo repeats the submission at a controller, and checks that it is not rejected.
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

// rejected reports whether an answer says that a submission is invalid or its job unknown.
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

// requestUnknownStatus asks about a job that no user submits, and checks that it is not found.
func (u *user) requestUnknownStatus() {
	s := u.sim
	unknown := s.drawUnknownJob(firstUnknownPolled, unknownPolledCount)
	u.send(func(id controller.ReplyID) controller.Input {
		return controller.JobStatusRequest{Reply: id, ID: unknown}
	}, statusTimeout, func(a controller.Answer, ok bool) {
		if ok && a.Status == http.StatusOK {
			s.violated("invented: status of %s, which no user submitted", unknown)
		}
	})
}

// requestStatus asks a controller for the job's status and checks the answer. then, if not nil, is
// called after the answer or the timeout.
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

// requestCancel asks to cancel the job, and repeats that until a final state is reported.
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
