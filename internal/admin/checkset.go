package admin

import (
	"errors"
	"fmt"
	"strings"

	"garnethitch/internal/config"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// ErrNoLimit says that a request names no limit to set and does not clear one.
var ErrNoLimit = errors.New("cpus: want --cpus, --gpus or --clear")

// CheckSetLimit checks a request to set a limit before it is sent. With the path of the
// controllers' options file it also checks that the group is one of the file's; settings
// give the teams, and may be zero if only a controller's address is known.
func CheckSetLimit(set peer.SetLimit, optionsPath string, settings config.Settings) error {
	if !set.Clear && !set.Limit.Bounded() {
		return ErrNoLimit
	}
	if err := quota.CheckLimit("limit", set.Limit); err != nil {
		return err
	}
	if optionsPath == "" {
		return nil
	}
	options, err := config.LoadOptions(optionsPath)
	if err != nil {
		return err
	}
	if settings.Label == "" {
		settings.Cluster.Teams = append(settings.Cluster.Teams, teamsOf(options.Quota.Groups)...)
	}
	if err := options.BuildGroups(optionsPath, settings); err != nil {
		return err
	}
	if !options.Groups.Has(set.Group) {
		names := strings.Join(options.Groups.Names(), ", ")
		return fmt.Errorf("%s: group %q: want one of the file's: %s", optionsPath, set.Group, names)
	}
	return nil
}

// teamsOf returns the teams that the groups name.
func teamsOf(groups []quota.GroupOptions) (teams []config.Team) {
	for _, g := range groups {
		for _, name := range g.Teams {
			teams = append(teams, config.Team{Name: name})
		}
	}
	return teams
}
