package simulation

import (
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file holds the faults of Plan.LongOutage and Plan.StaleJobs, in which controllers act on
// stale views.

// lostAnswersDuration is how long the answers to the owner's writes are lost before a long outage.
const lostAnswersDuration = 600 * ms

// scheduleLongOutages schedules two long outages.
func (s *Simulation) scheduleLongOutages() {
	s.after(s.between(15*sec, 25*sec), s.longOutage)
	s.after(s.plan.ActiveTime*2/3, s.longOutage)
}

// longOutage injects three faults of the state service in a row, just as jobs are cancelled. First
// it executes the owner's writes, but the answers are lost and the owner's watches deliver nothing.
// Then it refuses the owner. Finally it has an outage for all controllers that lasts longer than
// the tasks of cancelled jobs may run.
func (s *Simulation) longOutage() {
	n := s.owner()
	s.Concurrent.LongOutages++
	s.startUnansweredWrites(1, true, lostAnswersDuration)
	s.concurrentFaults.unansweredWrites.onlyNode = n
	n.watchesLostUntil = s.now + 10*sec
	s.after(lostAnswersDuration, func() { n.stateRefusedUntil = s.now + s.between(3*sec, 8*sec) })
	s.cancelRunning(6, 0)
	s.after(s.between(1500*ms, 2500*ms), func() { s.state.SetOutage(s.now + s.cfg.CancelWithin + 6*sec) })
	if s.chance(0.4) { // the other controllers can't reach the owner either
		links := n.peerLinks()
		s.after(lostAnswersDuration, func() { s.cut(links, cutReset, s.cfg.CancelWithin) })
	}
}

// refusesJobs reports whether the state service refuses a call because it reads or watches jobs.
// Locks, renewals of leases and writes are still accepted, as by a service that has reached its
// request limit.
func (s *Simulation) refusesJobs(call controller.Call) bool {
	if call.To != controller.ToState || s.now >= s.jobsRefusedUntil {
		return false
	}
	switch r := call.Req.(type) {
	case statestore.GetKey:
		return strings.HasPrefix(r.Key, wire.PrefixJob)
	case statestore.ListKeys:
		return strings.HasPrefix(r.Prefix, wire.PrefixJob)
	case statestore.WatchKeys:
		return strings.HasPrefix(r.Prefix, wire.PrefixJob)
	}
	return false
}

// scheduleStaleJobs schedules two episodes of stale views.
func (s *Simulation) scheduleStaleJobs() {
	s.after(s.between(10*sec, 15*sec), s.staleJobs)
	s.after(s.plan.ActiveTime/2, s.staleJobs)
}

// staleJobs starts an episode of stale views: jobs are cancelled just before the state service
// refuses reads of jobs, and owners crash one after the other. Some of the jobs' machines hang
// meanwhile.
func (s *Simulation) staleJobs() {
	const owners = 6
	s.StaleEpisodes++
	s.cancelRunning(4, s.between(0, s.cfg.WorkerLease))
	s.after(s.between(100*ms, 600*ms), func() {
		s.jobsRefusedUntil = s.now + s.between(s.cfg.CancelWithin/2, 2*s.cfg.CancelWithin)
		s.crashOwner(2 * sec)
	})
	at := micros.Micros(0)
	for range owners {
		at += s.between(s.cfg.Lease, 2*s.cfg.Lease+2*sec)
		s.after(at, func() { s.crashOwner(3 * sec) })
		if s.chance(0.5) {
			s.after(at+s.between(0, sec), func() { s.cancelRunning(2, s.between(0, s.cfg.WorkerLease)) })
		}
	}
}
