package simulation

import (
	"slices"
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/peer"
	"garnethitch/internal/quotatest"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// Groups of teams in the simulation: operators change limits at any moment, and what runs
// is held against the limit that the record in the state service says is in force.

// groupsOver are groups around the teams of a plan.
func groupsOver(teams []controller.Team, cpus float64) []quota.GroupOptions {
	var names []string
	for _, t := range teams {
		names = append(names, t.Name)
	}
	half := len(names) / 2
	if half == 0 {
		return []quota.GroupOptions{{Name: "all", Teams: names, Limit: quota.CPULimit(cpus)}}
	}
	return []quota.GroupOptions{
		{Name: "all", Limit: quota.CPULimit(cpus)},
		{Name: "lake", Parent: "all", Teams: names[:half], Limit: quota.CPULimit(cpus * 3 / 4), Guarantee: quota.GuaranteeOptions{CPUs: cpus / 4}},
		{Name: "hill", Parent: "all", Teams: names[half:], Limit: quota.CPULimit(cpus * 3 / 4)},
	}
}

// newGroups makes the groups of a plan.
func (s *Simulation) newGroups() {
	if s.plan.Groups == nil {
		return
	}
	var names []string
	for _, t := range s.plan.Teams {
		names = append(names, t.Name)
	}
	tree, err := quota.NewTree(quota.Options{Groups: s.plan.Groups}, names)
	if err != nil {
		s.broken("groups: %v", err)
		return
	}
	s.cfg.Quota, s.cfg.Trace = tree, true
	s.groups = map[string]quota.Record{}
	for range 6 {
		s.after(s.span(8*sec, s.plan.Length), s.changeLimit)
	}
	s.after(s.plan.Length, func() { // what the options say counts again
		for _, g := range s.plan.Groups {
			s.setLimit(g.Name, nil, 20)
		}
	})
}

// changeLimit has an operator set a limit by hand, sometimes two in a row at different
// controllers.
func (s *Simulation) changeLimit() {
	g := s.plan.Groups[s.rng.IntN(len(s.plan.Groups))]
	for range 1 + s.rng.IntN(2) {
		limit := quota.CPULimit(float64(s.rng.IntN(int(*g.Limit.CPUs) + 4)))
		s.setLimit(g.Name, &limit, 0)
	}
}

// setLimit asks a controller to set a limit, or to clear what was set, and again if it
// could not.
func (s *Simulation) setLimit(group string, limit *quota.Limit, again int) {
	n := s.Nodes[s.rng.IntN(len(s.Nodes))]
	req := peer.QuotaRequest{Set: &peer.SetLimit{Group: group, Clear: limit == nil}}
	if limit != nil {
		req.Set.Limit = *limit
	}
	s.trace("operator sets %s to %v at %s", group, limit, n.label)
	exchange(s, "user-"+n.label, 5*sec, func(reply func(controller.Answer)) {
		n.ask(func(id controller.ReplyID) controller.Input {
			return controller.PeerRequest{Reply: id, Req: peer.Request{Quota: &req}}
		}, reply)
	}, func(a controller.Answer, ok bool) {
		if resp, is := a.Body.(*peer.Response); ok && is && resp.Quota.Problem == "" {
			s.LimitsSet++
		} else if again > 0 {
			s.after(2*sec, func() { s.setLimit(group, limit, again-1) })
		}
	})
}

// noteGroup takes a group's record as it is stored.
func (s *Simulation) noteGroup(key string, value wire.Raw) {
	name, ok := strings.CutPrefix(key, wire.PrefixQuota)
	if !ok || s.groups == nil {
		return
	}
	var rec quota.Record
	if err := wire.Decode(value, &rec); err != nil {
		s.broken("record of group %s: %v", name, err)
		return
	}
	s.groups[name] = rec
	s.GroupWrites++
	s.checkGroup(name)
}

// checkGroup holds what a group's tasks use against the limit in force. Controllers that
// know no groups are not bound by one.
func (s *Simulation) checkGroup(name string) {
	rec := s.groups[name]
	if rec.Applied == nil || rec.Removed || s.plan.Roll != Current {
		return
	}
	if used := s.groupUse(name); !used.Within(rec.Applied.Amount()) {
		s.broken("group: %s uses %g CPUs, in force is %s", name, used.CPUs, rec.Applied)
	}
}

// checkGroupsOf looks at all groups that a team is in.
func (s *Simulation) checkGroupsOf(team string) {
	for _, g := range s.groupPath(team) {
		s.checkGroup(g)
	}
}

// groupPath gives the groups that a team is in, the innermost first.
func (s *Simulation) groupPath(team string) []string {
	for _, g := range s.plan.Groups {
		if slices.Contains(g.Teams, team) {
			return quotatest.EnclosingGroups(s.plan.Groups, g.Name)
		}
	}
	return nil
}

// groupUse is what a group's tasks use.
func (s *Simulation) groupUse(name string) quota.Amount {
	return quota.Amount{CPUs: s.usedBy(quotatest.TeamsWithin(s.plan.Groups, name)...)}
}

// underGroups: one more of a job's tasks is within the limits of all its groups.
func (s *Simulation) underGroups(u *user) bool {
	for _, g := range s.groupPath(u.sub.Team) {
		rec, ok := s.groups[g]
		if ok && !s.groupUse(g).Plus(quota.Amount{CPUs: u.sub.CPUs}).Within(rec.Limit.Amount()) {
			return false
		}
	}
	return true
}
