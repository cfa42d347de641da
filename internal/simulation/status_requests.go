package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// This file holds the load of Plan.StatusRequestRate: more status requests than the state service
// can serve.

const (
	// firstStatusRequest is when the status requests begin.
	firstStatusRequest = 5 * sec
	// unknownJobFraction is the fraction of the requests that are about jobs that no user
	// submitted. Every controller has to read the state service for such a job, whichever shards
	// it owns.
	unknownJobFraction = 0.75
)

// scheduleStatusRequests schedules StatusRequestRate rounds of status requests per second, each to
// all controllers. They go on until checkUnanswered requires answers about all accepted jobs.
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

// requestStatusEverywhere asks all controllers for the status of one job.
func (s *Simulation) requestStatusEverywhere() {
	s.StatusRequests++
	u := s.users[s.rng.IntN(len(s.users))]
	if !u.submitted || s.chance(unknownJobFraction) {
		s.requestUnknownEverywhere()
		return
	}
	for _, n := range s.nodes {
		if u.accepted { // until then, 404 is a correct answer
			u.requestStatus(n, nil)
		}
	}
}

// requestUnknownEverywhere asks all controllers for the status of a job that no user submitted.
func (s *Simulation) requestUnknownEverywhere() {
	unknown := s.drawUnknownJob(firstUnknownRequest, unknownRequestCount)
	for _, n := range s.nodes {
		n.deliverRequest(func(id controller.ReplyID) controller.Input {
			return controller.JobStatusRequest{Reply: id, ID: unknown}
		}, func(a controller.Answer) {
			switch a.Status {
			case http.StatusOK:
				s.violated("invented: status of %s, which no user submitted", unknown)
			case http.StatusServiceUnavailable:
				s.RefusedRequests++
			}
		})
	}
}
