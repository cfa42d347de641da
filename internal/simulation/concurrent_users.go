package simulation

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// What users do while there are concurrent faults.

const (
	// maxHungForCancel is how many machines of cancelled jobs hang at most.
	maxHungForCancel = 8
	// cancelSpread is within what time users cancel.
	cancelSpread = 200 * ms
	// repeatRounds is how often a request is repeated at all controllers.
	repeatRounds = 4
	// impossibleCPUs fit on no machine.
	impossibleCPUs = 1000
)

// cancelRunning has users cancel some running jobs with time left; some of their machines
// hang for a while from then on, if hang is not 0.
func (s *Simulation) cancelRunning(count int, hang micros.Micros) {
	minRemaining := 3 * sec
	if s.plan.LongOutage {
		minRemaining = s.cfg.Cancel + 2*sec
	}
	var machines []string
	for _, u := range s.users {
		if count == 0 {
			break
		}
		if !u.isOpen() || u.cancelRequested {
			continue
		}
		running := s.machinesRunning(u, minRemaining)
		machines = append(machines, running...)
		if len(running) > 0 {
			count--
			s.Concurrent.Cancelled++
			s.after(s.between(0, cancelSpread), u.requestCancel)
		}
	}
	if hang > 0 {
		s.hangSome(machines, hang)
	}
}

// isOpen reports whether the job is accepted, is not completed and was not reported as ended.
func (u *user) isOpen() bool { return u.accepted && !u.Completed() && u.finalState == "" }

// machinesRunning returns the machines on which tasks of a job run for longer than
// minRemaining.
func (s *Simulation) machinesRunning(u *user, minRemaining micros.Micros) (machines []string) {
	for t, w := range s.tasksByJob[u.Submission.ID] {
		if t.OnMachine() && !w.Dead && t.StateEndsAt > s.now+minRemaining {
			machines = append(machines, w.ID)
		}
	}
	return machines
}

// hangSome has some of the machines hang for a while.
func (s *Simulation) hangSome(machines []string, d micros.Micros) {
	slices.Sort(machines)
	machines = slices.Compact(machines)
	for _, name := range machines[:min(len(machines), maxHungForCancel)] {
		s.workers[name].HungUntil = s.now + d
	}
}

// maybeCancelAtEnd may cancel a job at the moment at which its last task ends.
func (s *Simulation) maybeCancelAtEnd(u *user) {
	if s.now >= s.concurrent.cancelAtEndUntil || !u.Completed() || u.cancelRequested || !s.chance(0.6) {
		return
	}
	s.Concurrent.CancelledAtEnd++
	u.requestCancel()
	s.after(s.between(0, 5*ms), func() { u.requestStatus(s.drawNode(), nil) })
	s.after(s.between(0, 5*ms), u.resubmit)
}

// requestRepeatedly is called when a job was accepted, has ended or is reported as cancelled:
// its user asks all controllers several times within milliseconds, and repeats the
// submission; some cancel at once. No controller may answer anything older.
func (u *user) requestRepeatedly() {
	s := u.sim
	if s.now >= s.concurrent.repeatUntil {
		return
	}
	for round := range repeatRounds {
		at := micros.Micros(round) * ms
		for _, n := range s.nodes {
			s.Concurrent.RepeatedRequests++
			s.after(at+s.between(0, ms), func() { u.requestStatus(n, nil) })
			if round%2 == 0 {
				s.after(at+s.between(0, ms), func() { u.resubmitTo(n) })
			}
		}
	}
	if u.finalState == "" && !u.cancelRequested && s.chance(0.15) {
		s.after(s.between(0, 3*ms), u.requestCancel)
	}
}

// sendInvalidRequests sends, for a while, submissions that lack a field or fit no machine, for
// new jobs and for accepted ones, and cancellations of jobs that are done.
func (s *Simulation) sendInvalidRequests(d micros.Micros) {
	until := s.now + d
	var next func()
	next = func() {
		if s.now >= until || len(s.users) == 0 {
			return
		}
		s.after(s.between(200*ms, 800*ms), next)
		s.Concurrent.InvalidRequests++
		u := s.users[s.rng.IntN(len(s.users))]
		n := s.drawNode()
		s.drawInvalidSubmission(u).send(n)
		if u.finalState == wire.StateDone {
			u.cancelDone(n)
		}
	}
	next()
}

// invalidSubmission is a submission that can't be accepted.
type invalidSubmission struct {
	user     *user // whose job it may repeat
	job      wire.Submission
	lacking  bool // it lacks a field, and is not decoded
	repeated bool // it has the name of a job that is accepted
}

func (s *Simulation) drawInvalidSubmission(u *user) invalidSubmission {
	unknown := s.drawUnknownJob(firstUnknownInvalid, unknownInvalid)
	i := invalidSubmission{user: u, job: u.Submission}
	i.job.CPUs = impossibleCPUs
	i.lacking = s.chance(0.5)
	i.repeated = u.accepted && s.chance(0.5)
	if !i.repeated {
		i.job.ID = unknown
	}
	return i
}

func (i invalidSubmission) input(id controller.ReplyID) controller.Input {
	if i.lacking {
		return controller.SubmitRequest{Reply: id, Err: &wire.SubmissionError{ID: i.job.ID, Reason: "a field is missing"}}
	}
	return controller.SubmitRequest{Reply: id, Job: i.job}
}

// send sends the submission, and checks that it is rejected, or answered as the first one if it
// repeats a job that is accepted.
func (i invalidSubmission) send(n *node) {
	finalState := i.user.finalState
	i.user.sendTo(n, i.input, submitTimeout, func(a controller.Answer, ok bool) {
		accepted := a.Status == http.StatusOK || a.Status == http.StatusCreated
		switch {
		case !ok:
		case i.repeated && rejected(a):
			n.sim.violated("forgotten: an odd repeat of %s got %d", i.job.ID, a.Status)
		case i.repeated:
			i.user.checkAnswer(a, finalState)
		case accepted:
			n.sim.violated("accepted though it can't run: %s got %d", i.job.ID, a.Status)
		}
	})
}

// cancelDone cancels a job that is done, and checks that it stays so.
func (u *user) cancelDone(n *node) {
	u.sendTo(n, u.cancelRequest, submitTimeout, func(a controller.Answer, ok bool) {
		if ok {
			u.checkAnswer(a, wire.StateDone)
		}
	})
}
