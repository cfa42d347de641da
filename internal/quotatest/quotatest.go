// Package quotatest tells, for checks of quotas, which teams and groups are within which
// group. It uses only the configured options, so that the checks do not depend on the tree of
// groups in package quota.
package quotatest

import (
	"slices"

	"garnethitch/quota"
)

// EnclosingGroups returns a group and all groups around it, the innermost first.
func EnclosingGroups(groups []quota.GroupOptions, name string) (path []string) {
	for name != "" {
		path = append(path, name)
		i := slices.IndexFunc(groups, func(g quota.GroupOptions) bool { return g.Name == name })
		name = groups[i].Parent
	}
	return path
}

// TeamsWithin returns the teams of a group and of all groups within it.
func TeamsWithin(groups []quota.GroupOptions, name string) (teams []string) {
	for _, g := range groups {
		if slices.Contains(EnclosingGroups(groups, g.Name), name) {
			teams = append(teams, g.Teams...)
		}
	}
	return teams
}
