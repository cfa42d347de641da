package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
)

// This file sums the requests to the state service over all controllers, including their processes
// that have ended.

// addStateRequests adds the requests that a process has counted so far to the sums.
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

// StateRequests returns the sums of a finished run, by class of request. It must be called only
// once, since it adds the counts of the running processes to the sums.
func (s *Simulation) StateRequests() []statestore.ClassMetrics {
	for _, n := range s.nodes {
		if n.controller != nil {
			s.addStateRequests(n.controller)
		}
	}
	return s.stateRequests
}
