package simulation

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Pipelines of jobs that depend on each other.

// newDAGs adds users whose jobs need each other.
func (s *Simulation) newDAGs() {
	ordinary := slices.Clone(s.users)
	begin := 5 * sec
	if s.plan.Roll != Current {
		begin = s.rolledAt() + 2*sec
	}
	add := func(at micros.Micros, needs ...*user) *user {
		u := newUser(s, len(s.users))
		u.bad, u.cancels, u.needs = false, false, needs
		u.sub.Tasks = min(u.sub.Tasks, 3)
		u.runs = u.runs[:u.sub.Tasks]
		for i := range u.runs {
			u.runs[i] = s.span(2*sec, 6*sec) // a deep pipeline is to be over within Rest
		}
		if u.sub.Class == "rush" && len(needs) < 2 {
			u.sub.Priority = "best_effort"
		}
		for _, d := range needs {
			u.sub.DependsOn = append(u.sub.DependsOn, d.sub.ID)
		}
		if len(needs) > 0 && s.chance(0.2) {
			u.sub.DependsOn = append(u.sub.DependsOn, u.sub.DependsOn[0])
			u.sub.DependsOn = slices.Compact(u.sub.DependsOn)
		}
		s.users = append(s.users, u)
		s.byJob[u.sub.ID] = u
		late := len(needs) > 0 && s.chance(0.15)
		s.after(at, func() { u.submitAfter(late) })
		return u
	}
	for range s.plan.DAGs {
		at := s.span(begin, max(begin, s.plan.Length*3/4))
		var members []*user
		switch s.rng.IntN(4) {
		case 0: // deep
			last := add(at)
			members = append(members, last)
			for range 10 {
				last = add(at, last)
				members = append(members, last)
			}
		case 1: // wide, on an ordinary job
			first := ordinary[s.rng.IntN(len(ordinary))]
			for range 8 {
				members = append(members, add(at, first))
			}
		default: // two stages side by side, and one that needs both
			a := add(at)
			b, c := add(at, a), add(at, a)
			d := add(at, b, c)
			members = []*user{a, b, c, d, add(at, d)}
		}
		if s.chance(0.4) {
			members[s.rng.IntN(len(members))].cancels = true
		}
	}
}

// submitAfter submits a job once those that it needs are accepted, or over if it is a
// late one.
func (u *user) submitAfter(late bool) {
	for _, d := range u.needs {
		switch {
		case d.gaveUp:
			u.gaveUp = true
			return
		case !d.accepted || late && d.finalState == "":
			u.sim.after(200*ms, func() { u.submitAfter(late) })
			return
		}
	}
	u.submit()
}

// ancestors are all jobs that a job needs, directly or through others, each once: in
// diamonds there are as many ways to one as two to the power of its distance.
func (u *user) ancestors() []*user {
	if u.allNeeded == nil && len(u.needs) > 0 {
		seen := map[*user]bool{}
		for _, d := range u.needs {
			for _, a := range append([]*user{d}, d.ancestors()...) {
				if !seen[a] {
					seen[a] = true
					u.allNeeded = append(u.allNeeded, a)
				}
			}
		}
	}
	return u.allNeeded
}

// wasAsked: its user or that of one that it needs has asked to cancel it.
func (u *user) wasAsked() bool {
	return u.asked || slices.ContainsFunc(u.ancestors(), func(a *user) bool { return a.asked })
}

// ready is when the last job that it needs was done; ok is false while one is not.
func (u *user) ready() (at micros.Micros, ok bool) {
	at = u.acceptedAt
	for _, d := range u.needs {
		if len(d.done) < d.sub.Tasks {
			return 0, false
		}
		at = max(at, d.doneAt)
	}
	return at, true
}

// checkEarly: no task starts before all that its job needs is done.
func (s *Simulation) checkEarly(u *user, t *task) {
	for _, d := range u.needs {
		if len(d.done) < d.sub.Tasks {
			s.broken("too_early: %s starts, %d of %d tasks of %s are done", t.name, len(d.done), d.sub.Tasks, d.sub.ID)
		}
	}
	if len(u.needs) > 0 {
		s.DependentStarts++
	}
}

// checkOrphan: no job is called queued or running long after its user was told that
// one before it is cancelled.
func (u *user) checkOrphan(state string) {
	s := u.sim
	if state != wire.StatePending && state != wire.StateRunning {
		return
	}
	for _, d := range u.ancestors() {
		if d.cancelConfirmed != 0 && s.now > d.cancelConfirmed+s.cfg.Cancel {
			s.broken("orphaned: %s is called %s %v s after %s was called cancelled", u.sub.ID, state, (s.now - d.cancelConfirmed).Seconds(), d.sub.ID)
		}
	}
}
