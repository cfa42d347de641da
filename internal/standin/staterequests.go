package standin

import "garnethitch/internal/core"

// Requests to the state service, counted over all controllers and their former processes.

// noteStateRequests adds what a process counted until its end.
func (s *Sim) noteStateRequests(c *core.Core) {
	for i, m := range c.StateRequests() {
		if i == len(s.stateRequests) {
			s.stateRequests = append(s.stateRequests, core.RequestClassMetrics{Class: m.Class})
		}
		sum := &s.stateRequests[i]
		sum.Sent += m.Sent
		sum.Expired += m.Expired
		sum.Rejected += m.Rejected
		sum.LongestWait = max(sum.LongestWait, m.LongestWait)
	}
}

// StateRequests gives the sums of a run that is over, by class; call it once.
func (s *Sim) StateRequests() []core.RequestClassMetrics {
	for _, n := range s.Nodes {
		if n.core != nil {
			s.noteStateRequests(n.core)
		}
	}
	return s.stateRequests
}
