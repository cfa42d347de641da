package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// Users who ask more than the state service takes.

const (
	// firstStatusRequest is when the first of these requests comes.
	firstStatusRequest = 5 * sec
	// unknownJobFraction of them are about jobs that nobody submitted: each of these takes a
	// read, whoever owns what.
	unknownJobFraction = 0.75
)

// scheduleStatusRequests has users ask so many times a second, each time at all controllers,
// from the first submissions until accepted jobs have to be answered for.
func (s *Simulation) scheduleStatusRequests() {
	interval := micros.FromSeconds(1 / s.plan.StatusRequestRate)
	until := s.plan.ActiveTime + maxUnanswered
	var next func()
	next = func() {
		s.requestStatusEverywhere()
		if s.now+interval < until {
			s.after(interval, next)
		}
	}
	s.after(firstStatusRequest, next)
}

// requestStatusEverywhere asks all controllers about one job.
func (s *Simulation) requestStatusEverywhere() {
	s.StatusRequests++
	u := s.users[s.rng.IntN(len(s.users))]
	if !u.submitted || s.chance(unknownJobFraction) {
		s.requestUnknownEverywhere()
		return
	}
	for _, n := range s.nodes {
		if u.accepted { // before, 404 would be a right answer
			u.requestStatus(n, nil)
		}
	}
}

// requestUnknownEverywhere asks all controllers about a job that nobody submitted.
func (s *Simulation) requestUnknownEverywhere() {
	unknown := s.drawUnknownJob(firstUnknownRequest, unknownRequestCount)
	for _, n := range s.nodes {
		n.deliverRequest(func(id controller.ReplyID) controller.Input {
			return controller.JobStatusRequest{Reply: id, ID: unknown}
		}, func(a controller.Answer) {
			switch a.Status {
			case http.StatusOK:
				s.violated("invented: %s", unknown)
			case http.StatusServiceUnavailable:
				s.RefusedRequests++
			}
		})
	}
}
