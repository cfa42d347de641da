package simulation

import (
	"cmp"
	"maps"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
)

const (
	// maxLargestStart is the time within which the largest jobs must start, counted from when they
	// are accepted and their dependencies are done.
	maxLargestStart = 4 * micros.Minute
	// maxWaitDespiteCapacity is how long, once faults are over, a job may wait although there is
	// free capacity for it.
	maxWaitDespiteCapacity = 90 * sec
	// propagationMargin is how long a controller may take to learn that a machine is up, or that a
	// job's dependencies are done.
	propagationMargin = 10 * sec
)

// checkLargestStarted checks that the largest jobs of each class start in time.
func (s *Simulation) checkLargestStarted() {
	for _, u := range s.users {
		if !u.largest || !u.accepted || u.mayBeCancelled() || u.StartedAt != 0 {
			continue
		}
		if at, ok := u.dependenciesDoneAt(); ok && s.now > at+maxLargestStart {
			s.violated("starved: %s, one of the largest jobs of class %s, has not started", u.Submission.ID, u.Submission.Class)
		}
	}
}

// markLargest marks the largest jobs of each class: a quarter of its jobs, rounded up.
func (s *Simulation) markLargest() {
	byClass := map[string][]*user{}
	for _, u := range s.users {
		byClass[u.Submission.Class] = append(byClass[u.Submission.Class], u)
	}
	for _, users := range byClass {
		slices.SortStableFunc(users, func(a, b *user) int { return cmp.Compare(b.Submission.Tasks, a.Submission.Tasks) })
		for _, u := range users[:(len(users)+3)/4] {
			u.largest = true
		}
	}
}

// completionCount counts the jobs of a group, and those of them that were done in time.
type completionCount struct{ all, inTime int }

// checkCompletedInTime checks that at least half of the jobs of each class, of each team and of
// each class's largest jobs were done in time. It leaves out jobs that are not accepted, that may
// be cancelled or whose dependencies are not done.
func (s *Simulation) checkCompletedInTime() {
	limit := s.plan.maxCompletionTime(s.cfg.CancelWithin)
	groups := map[string]*completionCount{}
	for _, u := range s.users {
		dependenciesDoneAt, ok := u.dependenciesDoneAt()
		if !u.accepted || u.mayBeCancelled() || !ok {
			continue
		}
		inTime := u.Completed() && u.DoneAt < max(s.plan.ActiveTime, dependenciesDoneAt)+limit
		for _, name := range u.completionGroups() {
			if groups[name] == nil {
				groups[name] = &completionCount{}
			}
			groups[name].all++
			if inTime {
				groups[name].inTime++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[name]; 2*g.inTime < g.all {
			s.violated("starved: only %d of %d jobs were done in time: %s", g.inTime, g.all, name)
		}
	}
}

// completionGroups returns the names of the groups that count the job in checkCompletedInTime.
func (u *user) completionGroups() []string {
	groups := []string{"class " + u.Submission.Class, "team " + u.Submission.Team}
	if u.largest {
		groups = append(groups, "largest of "+u.Submission.Class)
	}
	return groups
}

// maxCompletionTime returns the time within which a job must be done, counted from the end of
// ActiveTime or from when the job's dependencies are done, whichever is later. cancelWithin is the
// time that a cancellation may take.
func (p Plan) maxCompletionTime(cancelWithin micros.Micros) micros.Micros {
	limit := micros.Minute
	if p.FleetFaults {
		limit *= 2
	}
	if p.hasLongTasks() {
		// In these plans tasks last up to a minute instead of 12 s, and the last fault may go on
		// after ActiveTime for as long as a cancellation may take.
		limit += cancelWithin + micros.Minute
	}
	if p.Scarce {
		limit += longestScarceTask + maxWaitDespiteCapacity
	}
	if p.Groups != nil {
		limit += 2 * micros.Minute // quota limits are low, and drop to zero at times
	}
	return limit
}

// checkWaiting checks that no job is left waiting although a machine has room for its tasks or the
// cloud would give one, and its team and groups are within their limits.
func (s *Simulation) checkWaiting() {
	if s.now < s.plan.ActiveTime+settleTime {
		return
	}
	for _, u := range s.users {
		if u.accepted && !u.mayBeCancelled() && !u.AlwaysFails && u.finalState == "" {
			u.checkWaiting()
		}
	}
}

// checkWaiting checks that the job does not wait for longer than maxWaitDespiteCapacity while one of
// its tasks could be placed.
func (u *user) checkWaiting() {
	s := u.sim
	if at, ok := u.dependenciesDoneAt(); !ok || s.now < at+propagationMargin {
		u.waitingSince = 0 // blocked on dependencies, or its owner may not know yet that they are done
		return
	}
	if u.waitingSince == 0 || u.starts != u.startsWhenWaitingSince || !s.waitsDespiteCapacity(u) {
		u.startsWhenWaitingSince = u.starts
		u.waitingSince = s.now
		return
	}
	if waited := s.now - u.waitingSince; waited > maxWaitDespiteCapacity {
		s.violated("left waiting: %s (%s) for %v s despite free capacity, %d of %d tasks done", u.Submission.ID, u.Submission.Class, waited.Seconds(), len(u.Done), u.Submission.Tasks)
	}
}

// waitsDespiteCapacity reports whether an unfinished task of the job is on no machine although the
// limits allow it and a machine has capacity for it now, or the cloud would give one.
func (s *Simulation) waitsDespiteCapacity(u *user) bool {
	placed, zones := s.placedTasks(u)
	if u.unplaced(placed) == 0 || !s.withinTeamLimit(u) || !s.withinGroupLimits(u) {
		return false
	}
	return s.cloudWouldGive(u, zones) || slices.ContainsFunc(s.machineNames, func(name string) bool {
		w := s.workers[name]
		return w.usable() && w.allowedBy(u) && w.Fits(&u.Job) && u.allowsZone(w.Zone, zones)
	})
}

// placedTasks returns the indexes of a job's tasks that are on machines, and the number of these
// tasks by zone.
func (s *Simulation) placedTasks(u *user) (placed map[int]bool, zones map[string]int) {
	placed, zones = map[int]bool{}, map[string]int{}
	for t, w := range s.tasksByJob[u.Submission.ID] {
		if !t.Exited() && !w.Dead {
			placed[t.Index] = true
			zones[w.Zone]++
		}
	}
	return placed, zones
}

// unplaced counts the tasks that are neither done nor on a machine.
func (u *user) unplaced(placed map[int]bool) (count int) {
	for idx := range u.Submission.Tasks {
		if !placed[idx] && !u.Done[idx] {
			count++
		}
	}
	return count
}

// usable reports whether the machine can run tasks and the controllers have had time to learn that.
func (w *worker) usable() bool {
	now := w.sim.now
	reachable := now >= w.unreachableUntil && now >= w.cutOffUntil
	healthy := now >= w.HungUntil && now >= w.FaultyUntil
	return !w.Dead && !w.ReclaimAnnounced() && now >= w.UpAt+propagationMargin && reachable && healthy
}

// allowedBy reports whether the user's job allows machines of this type, spot or not.
func (w *worker) allowedBy(u *user) bool {
	kindAllowed := !w.Spot || u.Submission.Spot
	return kindAllowed && u.allowsType(w.Type)
}

// allowsType reports whether the job allows machines of a type.
func (u *user) allowsType(name string) bool {
	return u.Submission.Types == nil || slices.Contains(u.Submission.Types, name)
}

// allowsZone reports whether one more task of the job may run in a zone, given the number of its
// other tasks by zone.
func (u *user) allowsZone(zone string, zones map[string]int) bool {
	return !u.violatesSameZone(zone, zones) && !u.violatesSpread(zone, zones)
}

// violatesSameZone reports whether a task in the zone would break the job's constraint that all its
// tasks are in the same zone.
func (u *user) violatesSameZone(zone string, zones map[string]int) bool {
	for other, count := range zones {
		if u.Submission.SameZone && count > 0 && other != zone {
			return true
		}
	}
	return false
}

// violatesSpread reports whether one more task in the zone would break the job's constraint that
// its tasks are spread, with at most half of them, rounded up, in one zone.
func (u *user) violatesSpread(zone string, zones map[string]int) bool {
	return u.Submission.Spread && zones[zone]+1 > (u.Submission.Tasks+1)/2
}

// withinTeamLimit reports whether the job's team stays within its limit with one more of the job's
// tasks.
func (s *Simulation) withinTeamLimit(u *user) bool {
	i := slices.IndexFunc(s.plan.Teams, func(t controller.Team) bool { return t.Name == u.Submission.Team })
	if i < 0 || s.plan.Teams[i].CPUsMax <= 0 {
		return true
	}
	used := u.Submission.CPUs
	for _, other := range s.users {
		if other.Submission.Team != u.Submission.Team {
			continue
		}
		for t, w := range s.tasksByJob[other.Submission.ID] {
			if !t.Exited() && !w.Dead {
				used += other.Submission.CPUs
			}
		}
	}
	return used <= s.plan.Teams[i].CPUsMax+fakes.RoundingTolerance
}
