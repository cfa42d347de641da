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

// Groups of teams: operators change limits at any moment, and what runs is checked against the
// limit that the record in the state service says is in force.

const (
	// limitChanges is how often operators change limits.
	limitChanges = 6
	// limitTimeout is that of a request to set a limit, and limitRetry when it is repeated.
	limitTimeout = 5 * sec
	limitRetry   = 2 * sec
	// clearAttempts is how often clearing a limit that was set by hand is retried.
	clearAttempts = 20
)

// groupsOver returns groups around the teams of a plan.
func groupsOver(teams []controller.Team, cpus float64) []quota.GroupOptions {
	names := teamNames(teams)
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

func teamNames(teams []controller.Team) (names []string) {
	for _, t := range teams {
		names = append(names, t.Name)
	}
	return names
}

// addGroups makes the groups of a plan, and has operators change their limits. After Length
// what the options say counts again.
func (s *Simulation) addGroups() {
	if s.plan.Groups == nil {
		return
	}
	tree, err := quota.NewTree(quota.Options{Groups: s.plan.Groups}, teamNames(s.plan.Teams))
	if err != nil {
		s.violated("groups: %v", err)
		return
	}
	s.cfg.Quota = tree
	s.cfg.Trace = true
	s.groups = map[string]quota.Record{}
	for range limitChanges {
		s.after(s.between(8*sec, s.plan.Length), s.changeLimit)
	}
	s.after(s.plan.Length, func() {
		for _, g := range s.plan.Groups {
			s.setLimit(g.Name, nil, clearAttempts)
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

// setLimit asks a controller to set a limit, or to clear what was set if it is nil, and repeats
// that at most so many times if it could not.
func (s *Simulation) setLimit(group string, limit *quota.Limit, retries int) {
	n := s.drawNode()
	request := peer.QuotaRequest{Set: &peer.SetLimit{WaitingTasks: group, Clear: limit == nil}}
	if limit != nil {
		request.Set.Limit = *limit
	}
	s.trace("operator sets %s to %v at %s", group, limit, n.label)
	exchange(s, n.userLink(), limitTimeout, func(reply func(controller.Answer)) {
		n.request(func(id controller.ReplyID) controller.Input {
			return controller.PeerRequest{Reply: id, Req: peer.Request{Quota: &request}}
		}, reply)
	}, func(a controller.Answer, ok bool) {
		response, isResponse := a.Body.(*peer.Response)
		switch {
		case ok && isResponse && response.Quota.Problem == "":
			s.LimitsSet++
		case retries > 0:
			s.after(limitRetry, func() { s.setLimit(group, limit, retries-1) })
		}
	})
}

// handleGroupRecord takes a group's record as it is stored.
func (s *Simulation) handleGroupRecord(key string, value wire.Raw) {
	name, ok := strings.CutPrefix(key, wire.PrefixQuota)
	if !ok || s.groups == nil {
		return
	}
	var record quota.Record
	if err := wire.Decode(value, &record); err != nil {
		s.violated("record of group %s: %v", name, err)
		return
	}
	s.groups[name] = record
	s.GroupWrites++
	s.checkGroup(name)
}

// checkGroup checks what a group's tasks use against the limit in force. Controllers that
// know no groups are not bound by one.
func (s *Simulation) checkGroup(name string) {
	record := s.groups[name]
	if record.LastInForce == nil || record.Removed || s.plan.UpgradeFrom != ReleaseCurrent {
		return
	}
	if used := s.groupUsage(name); !used.Within(record.LastInForce.Amount()) {
		s.violated("group: %s uses %g CPUs, in force is %s", name, used.CPUs, record.LastInForce)
	}
}

// checkGroupsOf checks all groups that a team is in.
func (s *Simulation) checkGroupsOf(team string) {
	for _, g := range s.groupPath(team) {
		s.checkGroup(g)
	}
}

// groupPath returns the groups that a team is in, the innermost first.
func (s *Simulation) groupPath(team string) []string {
	for _, g := range s.plan.Groups {
		if slices.Contains(g.Teams, team) {
			return quotatest.EnclosingGroups(s.plan.Groups, g.Name)
		}
	}
	return nil
}

// groupUsage returns what a group's tasks use.
func (s *Simulation) groupUsage(name string) quota.Amount {
	return quota.Amount{CPUs: s.usageOf(quotatest.TeamsWithin(s.plan.Groups, name)...)}
}

// withinGroupLimits reports whether one more of a job's tasks is within the limits of all its
// groups.
func (s *Simulation) withinGroupLimits(u *user) bool {
	one := quota.Amount{CPUs: u.Submission.CPUs}
	for _, g := range s.groupPath(u.Submission.Team) {
		record, ok := s.groups[g]
		if ok && !s.groupUsage(g).Plus(one).Within(record.Limit.Amount()) {
			return false
		}
	}
	return true
}
