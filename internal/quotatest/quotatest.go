// Package quotatest tells, for checks of quotas, which teams and groups are within which
// group. It reads the definitions alone, so that the checks don't depend on package quota's
// own tree of groups.
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
