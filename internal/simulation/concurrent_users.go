package simulation

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file holds what users do during concurrent faults.

const (
	// maxHungForCancel is the maximum number of machines that hang when jobs are cancelled.
	maxHungForCancel = 8
	// maxCancelDelay is the time within which users send their cancellations.
	maxCancelDelay = 200 * ms
	// repeatRounds is how often a request is repeated at all controllers.
	repeatRounds = 4
	// impossibleCPUs is a number of CPUs that no machine has.
	impossibleCPUs = 1000
)

// cancelRunning makes users cancel up to count jobs whose tasks run for some time yet. If hang is
// not 0, some of the machines that run these tasks hang for that time.
func (s *Simulation) cancelRunning(count int, hang micros.Micros) {
	minRemaining := 3 * sec
	if s.plan.LongOutage {
		minRemaining = s.cfg.CancelWithin + 2*sec
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
			s.after(s.between(0, maxCancelDelay), u.requestCancel)
		}
	}
	if hang > 0 {
		s.hangNamed(machines, hang)
	}
}

// isOpen reports whether the job is accepted, not completed and not reported as ended.
func (u *user) isOpen() bool { return u.accepted && !u.Completed() && u.finalState == "" }

// machinesRunning returns the machines on which tasks of a job have more than minRemaining left to
// run.
func (s *Simulation) machinesRunning(u *user, minRemaining micros.Micros) (machines []string) {
	for t, w := range s.tasksByJob[u.Submission.ID] {
		if t.OnMachine() && !w.Dead && t.StateEndsAt > s.now+minRemaining {
			machines = append(machines, w.ID)
		}
	}
	return machines
}

// hangNamed makes at most maxHungForCancel of the named machines hang for the duration d.
func (s *Simulation) hangNamed(machines []string, d micros.Micros) {
	slices.Sort(machines)
	machines = slices.Compact(machines)
	for _, name := range machines[:min(len(machines), maxHungForCancel)] {
		s.workers[name].HungUntil = s.now + d
	}
}

// maybeCancelAtEnd may cancel a job at the moment its last task completes, and then asks for its
// status and repeats the submission.
func (s *Simulation) maybeCancelAtEnd(u *user) {
	if s.now >= s.concurrentFaults.cancelAtEndUntil || !u.Completed() || u.cancelRequested || !s.chance(0.6) {
		return
	}
	s.Concurrent.CancelledAtEnd++
	u.requestCancel()
	s.after(s.between(0, 5*ms), func() { u.requestStatus(s.drawNode(), nil) })
	s.after(s.between(0, 5*ms), u.resubmit)
}

// requestRepeatedly makes the user ask all controllers for the job's status and repeat the
// submission several times within milliseconds; some users also cancel the job. It is called when
// the job is accepted and when a final state is reported. No controller may answer with an older
// state.
func (u *user) requestRepeatedly() {
	s := u.sim
	if s.now >= s.concurrentFaults.repeatUntil {
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

// sendInvalidRequests sends invalid requests for the duration d: submissions that lack a field or
// fit on no machine, with new IDs and with IDs of accepted jobs, and cancellations of jobs that are
// done.
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

// invalidSubmission is a submission that must not be accepted.
type invalidSubmission struct {
	user        *user // user whose job's ID it may reuse
	job         wire.Submission
	undecodable bool // a field is missing, so that decoding fails
	reusesID    bool // it has the ID of an accepted job
}

func (s *Simulation) drawInvalidSubmission(u *user) invalidSubmission {
	unknown := s.drawUnknownJob(firstUnknownInvalid, unknownInvalidCount)
	i := invalidSubmission{user: u, job: u.Submission}
	i.job.CPUs = impossibleCPUs
	i.undecodable = s.chance(0.5)
	i.reusesID = u.accepted && s.chance(0.5)
	if !i.reusesID {
		i.job.ID = unknown
	}
	return i
}

func (i invalidSubmission) input(id controller.ReplyID) controller.Input {
	if i.undecodable {
		return controller.SubmitRequest{Reply: id, Err: &wire.SubmissionError{ID: i.job.ID, Reason: "a field is missing"}}
	}
	return controller.SubmitRequest{Reply: id, Job: i.job}
}

// send sends the submission. It checks that the submission is not accepted or, if it reuses the ID
// of an accepted job, that the answer is about that job.
func (i invalidSubmission) send(n *node) {
	finalState := i.user.finalState
	i.user.sendTo(n, i.input, submitTimeout, func(a controller.Answer, ok bool) {
		accepted := a.Status == http.StatusOK || a.Status == http.StatusCreated
		switch {
		case !ok:
		case i.reusesID && rejected(a):
			n.sim.violated("forgotten: an invalid submission with the ID of the accepted job %s got status %d", i.job.ID, a.Status)
		case i.reusesID:
			i.user.checkAnswer(a, finalState)
		case accepted:
			n.sim.violated("accepted though it can't run: %s got status %d", i.job.ID, a.Status)
		}
	})
}

// cancelDone cancels a job that was reported as done, and checks that it is still reported as done.
func (u *user) cancelDone(n *node) {
	u.sendTo(n, u.cancelRequest, submitTimeout, func(a controller.Answer, ok bool) {
		if ok {
			u.checkAnswer(a, wire.StateDone)
		}
	})
}
