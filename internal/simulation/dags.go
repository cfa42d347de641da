package simulation

import (
	"slices"

	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// dagDepth is the number of jobs after the first one of a chain, dagWidth the number of
	// dependents of an ordinary job.
	dagDepth = 10
	dagWidth = 8
	// submitRetryInterval is how often a user checks whether the dependencies of the job are
	// accepted.
	submitRetryInterval = 200 * ms
	// pipelineDeadline is the deadline of the last job of some DAGs, counted from its submission.
	pipelineDeadline = micros.Minute
)

// addDAGs adds the plan's sets of users whose jobs depend on each other. In some sets one job is
// cancelled.
func (s *Simulation) addDAGs() {
	ordinary := slices.Clone(s.users)
	begin := 5 * sec
	if s.plan.UpgradeFrom != ReleaseCurrent {
		begin = s.upgradeEnd() + 2*sec
	}
	for range s.plan.DAGs {
		at := s.between(begin, max(begin, s.plan.ActiveTime*3/4))
		members := s.addDAG(at, ordinary)
		s.makeUrgent(members[len(members)-1])
		if s.chance(0.4) {
			members[s.rng.IntN(len(members))].willCancel = true
		}
	}
}

// makeUrgent gives the last job of a DAG what users set on it alone: a priority, each of them in
// turn, and in half of the DAGs a deadline.
func (s *Simulation) makeUrgent(last *user) {
	i := len(s.users)
	words := wire.PriorityWords()
	last.Submission.Priority = words[i%len(words)]
	if i/len(words)%2 == 0 {
		last.Submission.DeadlineS = new(pipelineDeadline.Seconds())
	}
}

// addDAG adds the users of one DAG of jobs: a chain, several dependents of one ordinary job, or a
// diamond followed by one more job. The jobs are submitted at the given time or later.
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

// addDependent adds a user whose job depends on the jobs of other users. The job is submitted at
// the given time, once its dependencies are accepted; some are submitted only once these have
// ended.
func (s *Simulation) addDependent(at micros.Micros, dependencies ...*user) *user {
	u := newUser(s, len(s.users))
	u.AlwaysFails = false
	u.willCancel = false
	u.Submission.Tasks = min(u.Submission.Tasks, 3)
	u.TaskDurations = u.TaskDurations[:u.Submission.Tasks]
	for i := range u.TaskDurations {
		// Short enough for a whole chain to be done within RecoveryTime.
		u.TaskDurations[i] = s.between(2*sec, 6*sec)
	}
	if u.Submission.Class == "rush" && len(dependencies) < 2 {
		u.Submission.Priority = "best_effort"
	}
	u.dependOn(dependencies)
	if len(dependencies) > 0 && s.chance(0.2) { // a submission may name a dependency twice
		u.Submission.DependsOn = append(u.Submission.DependsOn, u.Submission.DependsOn[0])
		u.Submission.DependsOn = slices.Compact(u.Submission.DependsOn)
	}
	s.addUser(u)
	late := len(dependencies) > 0 && s.chance(0.15)
	s.after(at, func() { u.submitAfterDependencies(late) })
	return u
}

// dependOn makes the user's job depend on the jobs of other users.
func (u *user) dependOn(dependencies []*user) {
	u.dependencies = dependencies
	for _, d := range dependencies {
		u.Submission.DependsOn = append(u.Submission.DependsOn, d.Submission.ID)
	}
}

// submitAfterDependencies submits the job once its dependencies are accepted or, if late, once they
// are reported as ended. The user gives up if the user of a dependency has given up.
func (u *user) submitAfterDependencies(late bool) {
	for _, d := range u.dependencies {
		switch {
		case d.gaveUp:
			u.gaveUp = true
			return
		case !d.accepted || late && d.finalState == "":
			u.sim.after(submitRetryInterval, func() { u.submitAfterDependencies(late) })
			return
		}
	}
	u.submit()
}

// ancestors returns the users of all jobs that the job depends on, directly or transitively, each
// once. The result is cached, since the number of paths in a chain of diamonds is exponential in
// its length.
func (u *user) ancestors() []*user {
	if u.cachedAncestors != nil || len(u.dependencies) == 0 {
		return u.cachedAncestors
	}
	seen := map[*user]bool{}
	for _, d := range u.dependencies {
		for _, ancestor := range append([]*user{d}, d.ancestors()...) {
			if !seen[ancestor] {
				seen[ancestor] = true
				u.cachedAncestors = append(u.cachedAncestors, ancestor)
			}
		}
	}
	return u.cachedAncestors
}

// mayBeCancelled reports whether a user has asked to cancel the job or one of its ancestors.
func (u *user) mayBeCancelled() bool {
	return u.cancelRequested || slices.ContainsFunc(u.ancestors(), func(a *user) bool { return a.cancelRequested })
}

// dependenciesDoneAt returns when the last of the job's dependencies was done, or when the job was
// accepted if that was later. ok is false if a dependency is not done.
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

// checkDependenciesDone checks that a task starts only after all dependencies of its job are done.
func (s *Simulation) checkDependenciesDone(u *user, t *fakes.Task) {
	for _, d := range u.dependencies {
		if !d.Completed() {
			s.violated("too_early: %s starts, but only %d of %d tasks of its dependency %s are done", t.Name, len(d.Done), d.Submission.Tasks, d.Submission.ID)
		}
	}
	if len(u.dependencies) > 0 {
		s.DependentStarts++
	}
}

// checkDependenciesCancelled checks that a job is not reported as pending or running after the
// deadline of the cancellation of one of its ancestors.
func (u *user) checkDependenciesCancelled(state wire.JobState) {
	s := u.sim
	if state != wire.StatePending && state != wire.StateRunning {
		return
	}
	for _, ancestor := range u.ancestors() {
		if ancestor.pastCancelDeadline() {
			s.violated("orphaned: %s is reported as %s %v s after its ancestor %s was reported as cancelled", u.Submission.ID, state, (s.now - ancestor.cancelConfirmedAt).Seconds(), ancestor.Submission.ID)
		}
	}
}
