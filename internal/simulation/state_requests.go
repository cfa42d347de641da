package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
)

// Requests to the state service, counted over all controllers and their former processes.

// addStateRequests adds what a process counted until its end.
func (s *Simulation) addStateRequests(c *controller.Controller) {
	for i, m := range c.StateRequests() {
		if i == len(s.stateRequests) {
			s.stateRequests = append(s.stateRequests, statestore.ClassMetrics{Class: m.Class})
		}
		sum := &s.stateRequests[i]
		sum.Sent += m.Sent
		sum.Expired += m.Expired
		sum.Rejected += m.Rejected
		sum.LongestWait = max(sum.LongestWait, m.LongestWait)
	}
}

// StateRequests gives the sums of a run that is over, by class; call it once.
func (s *Simulation) StateRequests() []statestore.ClassMetrics {
	for _, n := range s.nodes {
		if n.controller != nil {
			s.addStateRequests(n.controller)
		}
	}
	return s.stateRequests
}
