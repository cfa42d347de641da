package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// soakUsersMargin is how long before its end users of a soak stop.
	soakUsersMargin = 4 * time.Second
	// minSoakUsers is the least number of users; there is one for every workersPerUser workers.
	minSoakUsers   = 6
	workersPerUser = 6
)

// SoakPlan says what a soak is made of. A soak runs controllers as real processes beside
// users who cancel, ask and repeat all the time, through faults drawn from a seed. Its checks
// read only what workers and users saw.
type SoakPlan struct {
	Seed    uint64
	Nodes   int
	Workers int
	Length  time.Duration
	// Questions is how many times a second users ask all controllers about jobs that nobody
	// submitted, each of which takes a read; StateRPS and WriteRPS are the limits of the
	// state service, 0: plenty.
	Questions, StateRPS, WriteRPS float64
	Binary                        string
	Dir                           string // for settings and logs
	// Only, if not empty, are the numbers of the faults that are played.
	Only []int
}

// SoakResult is what came about.
type SoakResult struct {
	Jobs, Cancelled, Tasks, Answers int
	Faults                          int
	// Questions counts those about jobs that nobody submitted, Refused the answers that
	// could not be given. Unanswered is the longest that requests about a job
	// went unanswered.
	Questions, Refused int
	Unanswered         time.Duration
	Violations         []string
}

// String returns the figures in a line.
func (r SoakResult) String() string {
	return fmt.Sprintf("%d jobs, %d called cancelled, %d tasks started, %d answers to users, %.1f s unanswered at most, %d other questions, %d refused, %d faults, %d violations",
		r.Jobs, r.Cancelled, r.Tasks, r.Answers, r.Unanswered.Seconds(), r.Questions, r.Refused, r.Faults, len(r.Violations))
}

// SoakTimes returns the intervals of a soak. They keep about the proportions of the real
// settings (leases of 4 and 45 s, 70 s to cancel, a heartbeat every 10 s), with the fixed
// margin of 3 s that the bounds take.
func SoakTimes() ClusterTimes {
	return ClusterTimes{
		HeartbeatInterval: time.Second, WorkerLease: 6 * time.Second, Cancel: 13 * time.Second, ControllerLease: time.Second,
		TaskFrom: 2 * time.Second, TaskTo: 40 * time.Second,
	}
}

// PlaySoak plays a soak to its end.
func PlaySoak(p SoakPlan) (SoakResult, error) {
	c, err := NewCluster(ClusterPlan{
		Seed: p.Seed, Nodes: p.Nodes, Machines: p.Workers, Teams: Teams(),
		Binary: p.Binary, Dir: p.Dir, Times: SoakTimes(), StateRPS: p.StateRPS, WriteRPS: p.WriteRPS,
	})
	if err != nil {
		return SoakResult{}, err
	}
	s := &soak{cluster: c, plan: p}
	began := time.Now()
	users := s.startUsers(began.Add(p.Length - soakUsersMargin))
	faults := s.playFaults(began)
	c.pause(time.Until(began.Add(p.Length)))
	users.Wait()
	c.Close()
	return s.result(faults), nil
}

// startUsers starts the users; they are done soon after a time.
func (s *soak) startUsers(until time.Time) *sync.WaitGroup {
	users := &sync.WaitGroup{}
	for i := range max(s.plan.Workers/workersPerUser, minSoakUsers) {
		users.Go(func() { s.runUser(i, until) })
	}
	if s.plan.Questions > 0 {
		users.Go(func() { s.askAboutUnknownJobs(until) })
	}
	return users
}

// playFaults injects the plan's faults, each at its time, and counts them.
func (s *soak) playFaults(began time.Time) (played int) {
	for i, fault := range s.plan.Faults() {
		if len(s.plan.Only) > 0 && !slices.Contains(s.plan.Only, i) {
			continue
		}
		s.cluster.pause(time.Until(began.Add(fault.At)))
		s.cluster.inject(fault)
		played++
	}
	return played
}

// result sums a soak up and checks it.
func (s *soak) result(faults int) SoakResult {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelledAt := s.cancelledAt()
	runs := s.cluster.taskRuns.all(now)
	r := SoakResult{
		Jobs: len(s.jobs), Cancelled: len(cancelledAt), Tasks: len(runs), Answers: s.answers, Faults: faults,
		Questions: s.questions, Refused: s.refused, Unanswered: s.unanswered,
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	r.Violations = slices.Concat(s.violations, CheckTaskRuns(runs, cancelledAt, s.cluster.plan.Times.Cancel), s.cluster.problems)
	return r
}

// cancelledAt returns when jobs were first reported as cancelled. The lock is held.
func (s *soak) cancelledAt() map[string]time.Time {
	at := map[string]time.Time{}
	for _, j := range s.jobs {
		if !j.cancelledAt.IsZero() {
			at[j.id] = j.cancelledAt
		}
	}
	return at
}
