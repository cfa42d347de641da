package simulation

import (
	"cmp"
	"maps"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The rules that the simulation checks.

// knownFor is how long, once faults are over, no question about an accepted
// job may go unanswered; startWithin is when the largest jobs must have begun.
const (
	knownFor    = 75 * sec
	startWithin = 4 * micros.Minute
)

// checkKnown: an accepted job that was not cancelled stays known.
func (s *Simulation) checkKnown() {
	for _, u := range s.users {
		if u.accepted && !u.wasAsked() && s.now > s.plan.Length+knownFor && s.now-max(u.answeredAt, s.plan.Length) > knownFor {
			s.broken("forgotten: no question about %s was answered for %v s", u.sub.ID, (s.now - u.answeredAt).Seconds())
		}
		if at, ok := u.ready(); ok && u.largest && u.accepted && !u.wasAsked() && u.startedAt == 0 && s.now > at+startWithin {
			s.broken("starved: %s, one of the largest of %s, has not begun", u.sub.ID, u.sub.Class)
		}
	}
}

// checkServed: at least half of each class, of each team and of each class's
// largest jobs has been done within a minute after the faults, or two where
// they come as thick as in a plan of the fleet.
func (s *Simulation) checkServed() {
	within := micros.Minute
	if s.plan.Fleet {
		within *= 2
	}
	if s.plan.ConcurrentFaults || s.plan.Gap || s.plan.Stale {
		// Tasks last up to a minute there, not 12 s, and the last fault may end a
		// cancellation's time after Length.
		within += s.cfg.Cancel + micros.Minute
	}
	if s.plan.Groups != nil {
		within += 2 * micros.Minute // limits are low, and down to nothing meanwhile
	}
	type count struct{ all, served int }
	groups := map[string]*count{}
	for _, u := range s.users {
		ready, ok := u.ready()
		if !u.accepted || u.wasAsked() || !ok {
			continue
		}
		names := []string{"class " + u.sub.Class, "team " + u.sub.Team}
		if u.largest {
			names = append(names, "largest of "+u.sub.Class)
		}
		for _, name := range names {
			g := groups[name]
			if g == nil {
				g = &count{}
				groups[name] = g
			}
			g.all++
			if len(u.done) == u.sub.Tasks && u.doneAt < max(s.plan.Length, ready)+within {
				g.served++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[name]; 2*g.served < g.all {
			s.broken("starved: %d of %d served of %s", g.served, g.all, name)
		}
	}
}

// markLargest finds each class's largest jobs: a quarter, at least one.
func (s *Simulation) markLargest() {
	byClass := map[string][]*user{}
	for _, u := range s.users {
		byClass[u.sub.Class] = append(byClass[u.sub.Class], u)
	}
	for _, list := range byClass {
		slices.SortStableFunc(list, func(a, b *user) int { return cmp.Compare(b.sub.Tasks, a.sub.Tasks) })
		for _, u := range list[:(len(list)+3)/4] {
			u.largest = true
		}
	}
}

// here tells whether a worker's task is on its machine.
func (s *Simulation) here(w *Worker, t *task) bool {
	return t.onMachine() && !w.Dead && w.clock() <= w.began+s.cfg.WorkerLease // a hanging machine's tasks end with its lease, though it tells later
}

// starting checks the rules at the moment when a task has its image.
func (s *Simulation) starting(w *Worker, t *task) {
	s.Started++
	if u := s.userOf(t.job); u != nil {
		u.started++
	}
	s.trace("start %s attempt %x on %s session %d", t.name, t.attempt, w.ID, w.agentEpoch)
	u := s.userOf(t.job)
	if u == nil {
		s.broken("invented: %s started, nobody submitted it", t.name)
		return
	}
	s.checkEarly(u, t)
	if u.cancelConfirmed != 0 && s.now > u.cancelConfirmed+s.cfg.Cancel {
		s.broken("ran_cancelled: %s starts long after its cancellation", t.name)
	}
	zones := s.checkOnce(w, t)
	s.checkTeamLimit(u.sub.Team)
	s.checkGroupsOf(u.sub.Team)
	s.checkPlace(w, t, &u.sub, zones)
}

// renewalMargin is what drift between clocks and steps of time may add to a lease.
const renewalMargin = 200 * ms

// checkRenewed: an answer that renews a machine's lease past the time of a cancelled task
// brings the task's stop. Else the task is gone in time only if all goes well from then on.
func (s *Simulation) checkRenewed(w *Worker) {
	ends := s.now + w.began + s.cfg.WorkerLease - w.clock()
	for _, key := range w.directCommand() {
		t := w.tasks[key]
		u := s.userOf(t.job)
		if t.state == wire.TaskExited || u == nil || u.cancelConfirmed == 0 || ends <= u.cancelConfirmed+s.cfg.Cancel+renewalMargin {
			continue
		}
		s.broken("renewed: the lease of %s, which ends %v s after %s was called cancelled, and %s has not been stopped", w.ID, (ends - u.cancelConfirmed).Seconds(), t.job, t.name)
	}
}

// checkEndedStop: what a controller stops since its job has ended is of a job that has, or
// that nobody submitted.
func (s *Simulation) checkEndedStop(n *Node, args []any) {
	s.EndedStops++
	i := slices.Index(args, any("job"))
	job, _ := args[i+1].(string)
	var rec wire.JobRecord
	value, ok := s.state.Value(wire.JobKey(job))
	if ok && (wire.Decode(value, &rec) != nil || !rec.Final()) {
		s.broken("stopped: %s stops a task of %s, which is open: %v", n.label, job, args)
	}
}

// checkOnce: a task runs on one machine only. It gives the job's other tasks by zone.
func (s *Simulation) checkOnce(w *Worker, t *task) map[string]int {
	zones := map[string]int{}
	for other, o := range s.onJob[t.job] {
		if !s.here(o, other) {
			continue
		}
		if o != w && other.name == t.name {
			s.broken("ran_twice: %s runs on %s and is started on %s", t.name, o.ID, w.ID)
		}
		if o != w || other.name != t.name {
			zones[o.Zone]++
		}
	}
	return zones
}

// checkTeamLimit: a team's tasks use no more than its limit.
func (s *Simulation) checkTeamLimit(name string) {
	for _, team := range s.plan.Teams {
		if team.Name != name || team.CPUsMax <= 0 {
			continue
		}
		if used := s.usedBy(name); used > team.CPUsMax+1e-6 {
			s.broken("quota: %s uses %v CPUs of %v", team.Name, used, team.CPUsMax)
		}
	}
}

// usedBy is how many CPUs the tasks of some teams use.
func (s *Simulation) usedBy(teams ...string) (used float64) {
	for _, u := range s.users {
		if !slices.Contains(teams, u.sub.Team) {
			continue
		}
		for t, w := range s.onJob[u.sub.ID] {
			if s.here(w, t) {
				used += u.sub.CPUs
			}
		}
	}
	return used
}

// checkPlace: a task starts only where its job allows, given the job's others.
func (s *Simulation) checkPlace(w *Worker, t *task, sub *wire.Submission, zones map[string]int) {
	if sub.Types != nil && !slices.Contains(sub.Types, w.Type) || sub.Zone != "" && sub.Zone != w.Zone || w.Spot && !sub.Spot {
		s.broken("wrong_place: %s on %s", t.name, w.ID)
	}
	for z, n := range zones {
		if sub.SameZone && n > 0 && z != w.Zone {
			s.broken("wrong_place: %s in %s, others are in %s", t.name, w.Zone, z)
		}
	}
	if sub.Spread && zones[w.Zone]+1 > (sub.Tasks+1)/2 {
		s.broken("wrong_place: %s is one too many in %s", t.name, w.Zone)
	}
}
