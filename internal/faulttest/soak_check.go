package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Stay is a task's stay on a machine.
type Stay struct {
	Task, Machine string
	From, To      time.Time // To is zero while it lasts
}

// stays records where tasks were, and when.
type stays struct {
	mu   sync.Mutex
	list []*Stay
}

func (s *stays) begin(task, machine string) *Stay {
	s.mu.Lock()
	defer s.mu.Unlock()
	stay := &Stay{Task: task, Machine: machine, From: time.Now()}
	s.list = append(s.list, stay)
	return stay
}

func (s *stays) end(stay *Stay, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stay != nil && stay.To.IsZero() {
		stay.To = at
	}
}

// all gives the stays in order; those that last end now.
func (s *stays) all(now time.Time) []Stay {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Stay
	for _, stay := range s.list {
		one := *stay
		if one.To.IsZero() {
			one.To = now
		}
		out = append(out, one)
	}
	slices.SortStableFunc(out, func(a, b Stay) int { return cmp.Or(cmp.Compare(a.Task, b.Task), a.From.Compare(b.From)) })
	return out
}

// CheckStays finds tasks that ran on after their job was called cancelled, and tasks that
// started on one machine while they were on another. told is by job.
func CheckStays(list []Stay, cancelledAt map[string]time.Time, cancel time.Duration) (broken []string) {
	for i, stay := range list {
		job, _, _ := strings.Cut(stay.Task, "/")
		if at, ok := cancelledAt[job]; ok && stay.To.Sub(at) > cancel {
			broken = append(broken, fmt.Sprintf("ran_cancelled: %s was on %s until %.1f s after its job was called cancelled", stay.Task, stay.Machine, stay.To.Sub(at).Seconds()))
		}
		for _, later := range list[i+1:] {
			if later.Task != stay.Task {
				break
			}
			if later.Machine != stay.Machine && later.From.Before(stay.To) {
				broken = append(broken, fmt.Sprintf("ran_twice: %s started on %s while it was on %s for another %.1f s", stay.Task, later.Machine, stay.Machine, stay.To.Sub(later.From).Seconds()))
			}
		}
	}
	return broken
}

// result sums a soak up and checks it.
func (s *soak) result(faults int) SoakResult {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := SoakResult{Jobs: len(s.jobs), Answers: s.answers, Faults: faults, Questions: s.questions, Refused: s.refused, Unanswered: s.unanswered, Broken: s.broken}
	cancelledAt := map[string]time.Time{}
	for _, j := range s.jobs {
		if !j.cancelled.IsZero() {
			cancelledAt[j.id] = j.cancelled
		}
	}
	r.Cancelled = len(cancelledAt)
	list := s.cluster.stays.all(now)
	r.Tasks = len(list)
	r.Broken = append(r.Broken, CheckStays(list, cancelledAt, s.cluster.plan.Times.Cancel)...)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	r.Broken = append(r.Broken, s.cluster.problems...)
	return r
}
