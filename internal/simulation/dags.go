package simulation

import (
	"slices"

	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// dagDepth is the number of jobs behind the first of a chain, dagWidth the number of
	// dependents of an ordinary job.
	dagDepth = 10
	dagWidth = 8
	// submitRetry is how often a user checks whether the jobs that its own depends on are accepted.
	submitRetry = 200 * ms
)

// addDAGs adds users whose jobs depend on each other.
func (s *Simulation) addDAGs() {
	ordinary := slices.Clone(s.users)
	begin := 5 * sec
	if s.plan.UpgradeFrom != ReleaseCurrent {
		begin = s.upgradeEnd() + 2*sec
	}
	for range s.plan.DAGs {
		at := s.between(begin, max(begin, s.plan.Length*3/4))
		members := s.addDAG(at, ordinary)
		if s.chance(0.4) {
			members[s.rng.IntN(len(members))].willCancel = true
		}
	}
}

// addDAG adds the users of the jobs of one DAG: a chain, several dependents of one ordinary job,
// or a diamond with a further job behind it.
func (s *Simulation) addDAG(at micros.Micros, ordinary []*user) (members []*user) {
	switch s.rng.IntN(4) {
	case 0:
		last := s.addDependent(at)
		members = append(members, last)
		for range dagDepth {
			last = s.addDependent(at, last)
			members = append(members, last)
		}
	case 1:
		first := ordinary[s.rng.IntN(len(ordinary))]
		for range dagWidth {
			members = append(members, s.addDependent(at, first))
		}
	default:
		first := s.addDependent(at)
		left, right := s.addDependent(at, first), s.addDependent(at, first)
		both := s.addDependent(at, left, right)
		members = []*user{first, left, right, both, s.addDependent(at, both)}
	}
	return members
}

// addDependent adds a user whose job depends on others.
func (s *Simulation) addDependent(at micros.Micros, dependencies ...*user) *user {
	u := newUser(s, len(s.users))
	u.AlwaysFails = false
	u.willCancel = false
	u.Submission.Tasks = min(u.Submission.Tasks, 3)
	u.TaskDurations = u.TaskDurations[:u.Submission.Tasks]
	for i := range u.TaskDurations {
		u.TaskDurations[i] = s.between(2*sec, 6*sec) // a chain has to be done within RecoveryTime
	}
	if u.Submission.Class == "rush" && len(dependencies) < 2 {
		u.Submission.Priority = "best_effort"
	}
	u.dependOn(dependencies)
	if len(dependencies) > 0 && s.chance(0.2) { // one may be named twice
		u.Submission.DependsOn = append(u.Submission.DependsOn, u.Submission.DependsOn[0])
		u.Submission.DependsOn = slices.Compact(u.Submission.DependsOn)
	}
	s.addUser(u)
	late := len(dependencies) > 0 && s.chance(0.15)
	s.after(at, func() { u.submitAfterDependencies(late) })
	return u
}

// dependOn makes the job depend on others.
func (u *user) dependOn(dependencies []*user) {
	u.dependencies = dependencies
	for _, d := range dependencies {
		u.Submission.DependsOn = append(u.Submission.DependsOn, d.Submission.ID)
	}
}

// submitAfterDependencies submits a job once those that it depends on are accepted, or have
// ended if it is a late one.
func (u *user) submitAfterDependencies(late bool) {
	for _, d := range u.dependencies {
		switch {
		case d.gaveUp:
			u.gaveUp = true
			return
		case !d.accepted || late && d.finalState == "":
			u.sim.after(submitRetry, func() { u.submitAfterDependencies(late) })
			return
		}
	}
	u.submit()
}

// ancestors returns all jobs that a job depends on, directly or through others, each once: in
// diamonds there are as many ways to one as two to the power of its distance.
func (u *user) ancestors() []*user {
	if u.allAncestors != nil || len(u.dependencies) == 0 {
		return u.allAncestors
	}
	seen := map[*user]bool{}
	for _, d := range u.dependencies {
		for _, ancestor := range append([]*user{d}, d.ancestors()...) {
			if !seen[ancestor] {
				seen[ancestor] = true
				u.allAncestors = append(u.allAncestors, ancestor)
			}
		}
	}
	return u.allAncestors
}

// mayBeCancelled reports whether the job's user or that of an ancestor has asked to cancel it.
func (u *user) mayBeCancelled() bool {
	return u.cancelRequested || slices.ContainsFunc(u.ancestors(), func(a *user) bool { return a.cancelRequested })
}

// dependenciesDoneAt returns when the last job that it depends on was done, or when it was
// accepted if that was later; ok is false while one is not done.
func (u *user) dependenciesDoneAt() (at micros.Micros, ok bool) {
	at = u.acceptedAt
	for _, d := range u.dependencies {
		if !d.Completed() {
			return 0, false
		}
		at = max(at, d.DoneAt)
	}
	return at, true
}

// checkDependenciesDone checks that no task starts before all that its job depends on is done.
func (s *Simulation) checkDependenciesDone(u *user, t *fakes.Task) {
	for _, d := range u.dependencies {
		if !d.Completed() {
			s.violated("too_early: %s starts, %d of %d tasks of %s are done", t.Name, len(d.Done), d.Submission.Tasks, d.Submission.ID)
		}
	}
	if len(u.dependencies) > 0 {
		s.DependentStarts++
	}
}

// checkDependenciesCancelled checks that no job is reported as queued or running long after an
// ancestor's cancellation was reported.
func (u *user) checkDependenciesCancelled(state wire.JobState) {
	s := u.sim
	if state != wire.StatePending && state != wire.StateRunning {
		return
	}
	for _, ancestor := range u.ancestors() {
		if ancestor.pastCancelTime() {
			s.violated("orphaned: %s is called %s %v s after %s was called cancelled", u.Submission.ID, state, (s.now - ancestor.cancelConfirmed).Seconds(), ancestor.Submission.ID)
		}
	}
}
