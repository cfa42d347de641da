package simulation

import (
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Controllers that act on stale knowledge: what plans with Stale add.

// refusesJobs: the state service takes claims, renewals and writes of a controller, and
// refuses what would tell it of jobs, as one does that is short of requests.
func (s *Simulation) refusesJobs(call controller.Call) bool {
	if call.To != controller.ToState || s.now >= s.jobsRefusedUntil {
		return false
	}
	switch r := call.Req.(type) {
	case controller.GetKey:
		return strings.HasPrefix(r.Key, wire.PrefixJob)
	case controller.ListKeys:
		return strings.HasPrefix(r.Prefix, wire.PrefixJob)
	case controller.Watch:
		return strings.HasPrefix(r.Prefix, wire.PrefixJob)
	}
	return false
}

// scheduleStale lets jobs be cancelled just before reads of jobs are refused and owners end
// one after the other, on machines of which some hang meanwhile.
func (s *Simulation) scheduleStale() {
	episode := func() {
		s.Stale++
		s.cancelNow(4, s.span(0, s.cfg.WorkerLease))
		s.after(s.span(100*ms, 600*ms), func() {
			s.jobsRefusedUntil = s.now + s.span(s.cfg.Cancel/2, 2*s.cfg.Cancel)
			s.owner().crash(s.span(20*ms, 2*sec))
		})
		at := micros.Micros(0)
		for range 6 {
			at += s.span(s.cfg.Lease, 2*s.cfg.Lease+2*sec)
			s.after(at, func() { s.owner().crash(s.span(20*ms, 3*sec)) })
			if s.chance(0.5) {
				s.after(at+s.span(0, sec), func() { s.cancelNow(2, s.span(0, s.cfg.WorkerLease)) })
			}
		}
	}
	s.after(s.span(10*sec, 15*sec), episode)
	s.after(s.plan.Length/2, episode)
}
