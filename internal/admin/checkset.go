package admin

import (
	"errors"
	"fmt"
	"strings"

	"garnethitch/internal/config"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// ErrNoLimit is returned for a request that neither sets a limit nor clears one.
var ErrNoLimit = errors.New("cpus: want --cpus, --gpus or --clear")

// CheckSetLimit validates a request to set a limit before it is sent. If optionsPath names the
// controllers' options file, it also checks that the file defines the group. The teams are taken
// from settings; zero settings (only the address of a controller is known) accept every team that
// the options file names.
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
		return fmt.Errorf("%s: group %q is not defined, want one of: %s", optionsPath, set.Group, names)
	}
	return nil
}

// teamsOf returns the teams that are listed in the groups.
func teamsOf(groups []quota.GroupOptions) (teams []config.Team) {
	for _, g := range groups {
		for _, name := range g.Teams {
			teams = append(teams, config.Team{Name: name})
		}
	}
	return teams
}
