package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// usersStopMargin is how long before the end of a soak its users stop.
	usersStopMargin = 4 * time.Second
	// minSoakUsers is the least number of users. There is one user for every workersPerUser
	// workers if that is more.
	minSoakUsers   = 6
	workersPerUser = 6
)

// SoakPlan configures a soak. A soak runs controllers as real processes under faults that are drawn
// from a seed. Meanwhile users constantly submit and cancel jobs, request their status and repeat
// requests. The checks use only what workers and users observed.
type SoakPlan struct {
	Seed    uint64
	Nodes   int
	Workers int
	Length  time.Duration
	// UnknownJobRequestRate is how many times per second users ask all controllers for the status
	// of a job that nobody submitted. Each such request costs a read. StateRPS and WriteRPS are
	// the limits of the state service per second; 0 selects high defaults.
	UnknownJobRequestRate, StateRPS, WriteRPS float64
	// LateCopies makes direct commands that were carried out and answered reach their workers
	// again, up to one and a half minutes later.
	LateCopies bool
	Binary     string
	Dir        string // for settings and logs
	// OnlyFaults, if not empty, holds the numbers of the faults that are injected.
	OnlyFaults []int
}

// SoakResult holds the figures of a soak and the violations that were found.
type SoakResult struct {
	Jobs, Cancelled, Tasks, Answers int
	InjectedFaults                  int
	// UnknownJobRequests counts the requests about jobs that nobody submitted, and Refused those
	// of them that got neither status 200 nor 404. LongestUnanswered is the longest time that
	// requests about an accepted job went unanswered.
	UnknownJobRequests, Refused int
	LongestUnanswered           time.Duration
	// ExecutedCopies counts the late copies of direct commands that workers did not refuse, and
	// RepeatedStarts the attempts that they started again.
	ExecutedCopies, RepeatedStarts int
	Violations                     []string
}

// String returns the figures in a line.
func (r SoakResult) String() string {
	return fmt.Sprintf("%d jobs, %d reported as cancelled, %d tasks started, %d answers to users, %.1f s unanswered at most, %d requests about unknown jobs, %d refused, %d late copies executed, %d starts repeated, %d faults, %d violations",
		r.Jobs, r.Cancelled, r.Tasks, r.Answers, r.LongestUnanswered.Seconds(), r.UnknownJobRequests, r.Refused, r.ExecutedCopies, r.RepeatedStarts, r.InjectedFaults, len(r.Violations))
}

// SoakTimes returns the intervals of a soak. They have about the proportions of the real settings
// (leases of 4 and 45 s, 70 s to cancel, a heartbeat every 10 s), plus the fixed margin of 3 s
// that the bounds include.
func SoakTimes() ClusterTimes {
	return ClusterTimes{
		HeartbeatInterval: time.Second, WorkerLease: 6 * time.Second, CancelWithin: 13 * time.Second, ControllerLease: time.Second,
		MinTaskDuration: 2 * time.Second, MaxTaskDuration: 40 * time.Second,
	}
}

// RunSoak runs a soak to its end and checks it.
func RunSoak(p SoakPlan) (SoakResult, error) {
	c, err := NewCluster(ClusterPlan{
		Seed: p.Seed, Nodes: p.Nodes, Machines: p.Workers, Teams: Teams(),
		Binary: p.Binary, Dir: p.Dir, Times: SoakTimes(), StateRPS: p.StateRPS, WriteRPS: p.WriteRPS, LateCopies: p.LateCopies,
	})
	if err != nil {
		return SoakResult{}, err
	}
	s := &soak{cluster: c, plan: p}
	began := time.Now()
	users := s.startUsers(began.Add(p.Length - usersStopMargin))
	faults := s.injectFaults(began)
	c.pause(time.Until(began.Add(p.Length)))
	users.Wait()
	c.Close()
	return s.result(faults), nil
}

// startUsers starts the users, which stop soon after the given time.
func (s *soak) startUsers(until time.Time) *sync.WaitGroup {
	users := &sync.WaitGroup{}
	for i := range max(s.plan.Workers/workersPerUser, minSoakUsers) {
		users.Go(func() { s.runUser(i, until) })
	}
	if s.plan.UnknownJobRequestRate > 0 {
		users.Go(func() { s.requestUnknownJobs(until) })
	}
	return users
}

// injectFaults injects the plan's faults, each at its time, and returns how many there were.
func (s *soak) injectFaults(began time.Time) (injected int) {
	for i, fault := range s.plan.Faults() {
		if len(s.plan.OnlyFaults) > 0 && !slices.Contains(s.plan.OnlyFaults, i) {
			continue
		}
		s.cluster.pause(time.Until(began.Add(fault.At)))
		s.cluster.inject(fault)
		injected++
	}
	return injected
}

// result checks a soak and returns its result.
func (s *soak) result(faults int) SoakResult {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelledAt := s.cancelledAt()
	runs := s.cluster.taskRuns.all(now)
	r := SoakResult{
		Jobs: len(s.jobs), Cancelled: len(cancelledAt), Tasks: len(runs), Answers: s.answers, InjectedFaults: faults,
		UnknownJobRequests: s.unknownJobRequests, Refused: s.refused, LongestUnanswered: s.longestUnanswered,
	}
	r.ExecutedCopies, r.RepeatedStarts = s.cluster.lateCopies.counts()
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	r.Violations = slices.Concat(s.violations, s.cluster.lateCopies.check(s.tasksOf), CheckTaskRuns(runs, cancelledAt, s.cluster.plan.Times.CancelWithin), s.cluster.problems)
	return r
}

// tasksOf returns the number of tasks of a job. The caller holds the lock.
func (s *soak) tasksOf(id string) int {
	for _, j := range s.jobs {
		if j.id == id {
			return j.tasks
		}
	}
	return 0
}

// cancelledAt returns when each cancelled job was first reported as cancelled, by job ID. The
// caller holds the lock.
func (s *soak) cancelledAt() map[string]time.Time {
	at := map[string]time.Time{}
	for _, j := range s.jobs {
		if !j.cancelledAt.IsZero() {
			at[j.id] = j.cancelledAt
		}
	}
	return at
}
