package simulation

import (
	"fmt"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// Users who ask more than the state service takes: what plans with Questions add.

// ghostShard is how many of the questions are about jobs that nobody submitted: each of
// these takes a read, whoever owns what.
const ghostShard = 0.75

// scheduleQuestions has users ask so many times a second, each time at all controllers, from
// the first submissions until the jobs have to be known.
func (s *Simulation) scheduleQuestions() {
	every := micros.FromSeconds(1 / s.plan.Questions)
	until := s.plan.Length + knownFor
	var next func()
	next = func() {
		s.askEverywhere()
		if s.now+every < until {
			s.after(every, next)
		}
	}
	s.after(5*sec, next)
}

// askEverywhere puts one question to all controllers.
func (s *Simulation) askEverywhere() {
	s.Questions++
	if u := s.users[s.rng.IntN(len(s.users))]; u.submitted && !s.chance(ghostShard) {
		for _, n := range s.Nodes {
			if u.accepted { // before, 404 would be a right answer
				u.ask(n, nil)
			}
		}
		return
	}
	ghost := fmt.Sprintf("job-%06d", 800000+s.rng.IntN(100_000))
	for _, n := range s.Nodes {
		n.ask(func(id controller.ReplyID) controller.Input { return controller.JobStatusRequest{Reply: id, ID: ghost} }, func(a controller.Answer) {
			switch a.Status {
			case 200:
				s.broken("invented: %s", ghost)
			case 503:
				s.Refused++
			}
		})
	}
}
