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
	// maxLargestStart is when the largest jobs must have begun.
	maxLargestStart = 4 * micros.Minute
	// maxWaitDespiteCapacity is how long, once faults are over, a job may wait beside free capacity.
	maxWaitDespiteCapacity = 90 * sec
	// propagationMargin is how long a controller may take to learn that a machine is up, or that a
	// job's dependencies are done.
	propagationMargin = 10 * sec
)

// checkLargestStarted checks that the largest jobs of each class are not starved.
func (s *Simulation) checkLargestStarted() {
	for _, u := range s.users {
		if !u.largest || !u.accepted || u.mayBeCancelled() || u.StartedAt != 0 {
			continue
		}
		if at, ok := u.dependenciesDoneAt(); ok && s.now > at+maxLargestStart {
			s.violated("starved: %s, one of the largest of %s, has not begun", u.Submission.ID, u.Submission.Class)
		}
	}
}

// markLargest finds each class's largest jobs: a quarter, at least one.
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

// served counts the jobs of a group, and those that were done in time.
type served struct{ all, inTime int }

// checkServed checks that at least half of each class, of each team and of each class's
// largest jobs was done in time.
func (s *Simulation) checkServed() {
	within := s.plan.serviceTime(s.cfg.Cancel)
	groups := map[string]*served{}
	for _, u := range s.users {
		dependenciesDoneAt, ok := u.dependenciesDoneAt()
		if !u.accepted || u.mayBeCancelled() || !ok {
			continue
		}
		inTime := u.Completed() && u.DoneAt < max(s.plan.Length, dependenciesDoneAt)+within
		for _, name := range u.servedGroups() {
			if groups[name] == nil {
				groups[name] = &served{}
			}
			groups[name].all++
			if inTime {
				groups[name].inTime++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[name]; 2*g.inTime < g.all {
			s.violated("starved: %d of %d served of %s", g.inTime, g.all, name)
		}
	}
}

// servedGroups returns the groups of jobs of which half must be done in time.
func (u *user) servedGroups() []string {
	groups := []string{"class " + u.Submission.Class, "team " + u.Submission.Team}
	if u.largest {
		groups = append(groups, "largest of "+u.Submission.Class)
	}
	return groups
}

// serviceTime returns how long after the faults jobs must be done.
func (p Plan) serviceTime(cancel micros.Micros) micros.Micros {
	within := micros.Minute
	if p.FleetFaults {
		within *= 2
	}
	if p.hasLongTasks() {
		// Tasks last up to a minute there, not 12 s, and the last fault may end a
		// cancellation's time after Length.
		within += cancel + micros.Minute
	}
	if p.Groups != nil {
		within += 2 * micros.Minute // limits are low, and down to nothing meanwhile
	}
	return within
}

// checkWaiting checks that no job is left waiting beside a machine that its tasks fit on, its
// team and groups under their limits.
func (s *Simulation) checkWaiting() {
	if s.now < s.plan.Length+earliestEnd {
		return
	}
	for _, u := range s.users {
		if u.accepted && !u.mayBeCancelled() && !u.AlwaysFails && u.finalState == "" {
			u.checkWaiting()
		}
	}
}

func (u *user) checkWaiting() {
	s := u.sim
	if at, ok := u.dependenciesDoneAt(); !ok || s.now < at+propagationMargin {
		u.waitingSince = 0 // blocked on dependencies, or its owner has yet to learn that it is not
		return
	}
	if u.waitingSince == 0 || u.starts != u.startsSeen || !s.waitsDespiteCapacity(u) {
		u.startsSeen = u.starts
		u.waitingSince = s.now
		return
	}
	if waited := s.now - u.waitingSince; waited > maxWaitDespiteCapacity {
		s.violated("left waiting: %s (%s) for %v s beside free capacity, %d of %d tasks done", u.Submission.ID, u.Submission.Class, waited.Seconds(), len(u.Done), u.Submission.Tasks)
	}
}

// waitsDespiteCapacity reports whether a task of the job is on no machine although one has
// capacity for it now.
func (s *Simulation) waitsDespiteCapacity(u *user) bool {
	placed, zones := s.placedTasks(u)
	if u.unplaced(placed) == 0 || !s.withinTeamLimit(u) || !s.withinGroupLimits(u) {
		return false
	}
	return slices.ContainsFunc(s.machineNames, func(name string) bool {
		w := s.workers[name]
		return w.usable() && w.suits(u) && w.Fits(&u.Job) && u.allowsZone(w.Zone, zones)
	})
}

// placedTasks returns which of a job's tasks are on machines, and how many are in each zone.
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

// usable reports whether the controllers should know that tasks may be started on a machine.
func (w *worker) usable() bool {
	now := w.sim.now
	reachable := now >= w.unreachableUntil && now >= w.cutOffUntil
	healthy := now >= w.HungUntil && now >= w.FaultyUntil
	return !w.Dead && !w.ReclaimAnnounced() && now >= w.UpAt+propagationMargin && reachable && healthy
}

// suits reports whether a job allows machines of this type and kind.
func (w *worker) suits(u *user) bool {
	kindAllowed := !w.Spot || u.Submission.Spot
	typeAllowed := u.Submission.Types == nil || slices.Contains(u.Submission.Types, w.Type)
	return kindAllowed && typeAllowed
}

// allowsZone reports whether one more of the job's tasks may be in a zone, given where the
// others are.
func (u *user) allowsZone(zone string, zones map[string]int) bool {
	return !u.elsewhere(zone, zones) && !u.crowds(zone, zones)
}

// elsewhere reports whether the job's tasks must be in one zone and some are in another.
func (u *user) elsewhere(zone string, zones map[string]int) bool {
	for other, count := range zones {
		if u.Submission.SameZone && count > 0 && other != zone {
			return true
		}
	}
	return false
}

// crowds reports whether the job's tasks must be spread and one more would be too many in a zone.
func (u *user) crowds(zone string, zones map[string]int) bool {
	return u.Submission.Spread && zones[zone]+1 > (u.Submission.Tasks+1)/2
}

// withinTeamLimit reports whether the job's team may use one more of its tasks.
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
