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

// This file holds the groups of teams. Operators change the limits of groups at any time. The
// resources that a group uses are checked against the limit that its record in the state service
// declares to be in force.

const (
	// limitChanges is how often operators change a limit in a run.
	limitChanges = 6
	// limitTimeout is the timeout of a request to set a limit, limitRetryInterval the pause before
	// the request is repeated.
	limitTimeout       = 5 * sec
	limitRetryInterval = 2 * sec
	// maxClearRetries is how often a request to clear a limit set by an operator is repeated.
	maxClearRetries = 20
)

// groupsOver returns groups for teams: one group for all, and within it one for each half of the
// teams if there are several. cpus is the limit of the outer group.
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

// addGroups configures the plan's groups and schedules the changes of their limits. After
// Plan.ActiveTime the changes are cleared, so that the limits in the options are in force again.
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
		s.after(s.between(8*sec, s.plan.ActiveTime), s.changeLimit)
	}
	s.after(s.plan.ActiveTime, func() {
		for _, g := range s.plan.Groups {
			s.setLimit(g.Name, nil, maxClearRetries)
		}
	})
}

// changeLimit makes an operator set the limit of a random group, sometimes twice in a row at random
// controllers.
func (s *Simulation) changeLimit() {
	g := s.plan.Groups[s.rng.IntN(len(s.plan.Groups))]
	for range 1 + s.rng.IntN(2) {
		limit := quota.CPULimit(float64(s.rng.IntN(int(*g.Limit.CPUs) + 4)))
		s.setLimit(g.Name, &limit, 0)
	}
}

// setLimit asks a random controller to set the limit of a group or, if limit is nil, to clear the
// limit that an operator set. A request that fails is repeated at most retries times.
func (s *Simulation) setLimit(group string, limit *quota.Limit, retries int) {
	n := s.drawNode()
	request := peer.QuotaRequest{Set: &peer.SetLimit{Group: group, Clear: limit == nil}}
	if limit != nil {
		request.Set.Limit = *limit
	}
	s.trace("operator sets the limit of group %s to %v at %s", group, limit, n.label)
	exchange(s, n.userLink(), limitTimeout, func(reply func(controller.Answer)) {
		n.deliverRequest(func(id controller.ReplyID) controller.Input {
			return controller.PeerRequest{Reply: id, Req: peer.Request{Quota: &request}}
		}, reply)
	}, func(a controller.Answer, ok bool) {
		response, isResponse := a.Body.(*peer.Response)
		switch {
		case ok && isResponse && response.Quota.Problem == "":
			s.LimitsSet++
		case retries > 0:
			s.after(limitRetryInterval, func() { s.setLimit(group, limit, retries-1) })
		}
	})
}

// handleGroupRecord records a group's record when a controller writes it, and checks the group's
// usage against it. Other keys are ignored.
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

// checkGroup checks that a group's tasks use no more than the limit in force. Plans with an upgrade
// are not checked, since controllers of a release without groups do not keep to the limits.
func (s *Simulation) checkGroup(name string) {
	record := s.groups[name]
	if record.LastInForce == nil || record.Removed || s.plan.UpgradeFrom != ReleaseCurrent {
		return
	}
	if used := s.groupUsage(name); !used.Within(record.LastInForce.Amount()) {
		s.violated("group: %s uses %g CPUs, the limit in force is %s", name, used.CPUs, record.LastInForce)
	}
}

// checkGroupsOf checks all groups that contain a team.
func (s *Simulation) checkGroupsOf(team string) {
	for _, g := range s.groupPath(team) {
		s.checkGroup(g)
	}
}

// groupPath returns the groups that contain a team, the innermost first.
func (s *Simulation) groupPath(team string) []string {
	for _, g := range s.plan.Groups {
		if slices.Contains(g.Teams, team) {
			return quotatest.EnclosingGroups(s.plan.Groups, g.Name)
		}
	}
	return nil
}

// groupUsage returns how many CPUs a group's running tasks use.
func (s *Simulation) groupUsage(name string) quota.Amount {
	return quota.Amount{CPUs: s.usageOf(quotatest.TeamsWithin(s.plan.Groups, name)...)}
}

// withinGroupLimits reports whether all groups of the job's team stay within their limits with one
// more of the job's tasks.
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
