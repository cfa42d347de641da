package quota

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Tree is a valid set of groups, as configured.
type Tree struct {
	groups []*configuredGroup
	byName map[string]*configuredGroup
}

// configuredGroup is a group of the options with its parsed schedule.
type configuredGroup struct {
	GroupOptions
	windows []*window
}

// maxNameLength bounds the length of a group's name in bytes, since the name is part of a key
// of the store.
const maxNameLength = 60

// NewTree checks the options and returns the groups. teams are the names of all existing teams.
// The error is an *OptionError for the first invalid option.
func NewTree(options Options, teams []string) (*Tree, error) {
	t := &Tree{byName: map[string]*configuredGroup{}}
	for i, o := range options.Groups {
		if err := t.add(groupKey(i), o); err != nil {
			return nil, err
		}
	}
	if err := t.checkTeams(teams); err != nil {
		return nil, err
	}
	if err := t.checkParents(); err != nil {
		return nil, err
	}
	if err := t.checkGuarantees(); err != nil {
		return nil, err
	}
	return t, nil
}

// groupKey returns the key, in errors, of the group at index i of the options.
func groupKey(i int) string { return fmt.Sprintf("quota.groups[%d]", i) }

// add checks the options of one group apart from its relations to others, and adds the group.
func (t *Tree) add(key string, o GroupOptions) error {
	if !validName(o.Name) {
		want := fmt.Sprintf("letters, digits, '-', '_' or '.', at most %d characters", maxNameLength)
		return &OptionError{key + ".name", fmt.Sprintf("%q", o.Name), want}
	}
	if t.byName[o.Name] != nil {
		return &OptionError{key + ".name", o.Name, "a name that no other group has"}
	}
	if err := CheckLimit(key+".limit", o.Limit); err != nil {
		return err
	}
	if err := o.Guarantee.check(key + ".guarantee"); err != nil {
		return err
	}
	g := &configuredGroup{GroupOptions: o}
	for i, s := range o.Schedule {
		w, err := newWindow(fmt.Sprintf("%s.schedule[%d].", key, i), s)
		if err != nil {
			return err
		}
		g.windows = append(g.windows, w)
	}
	t.groups = append(t.groups, g)
	t.byName[o.Name] = g
	return nil
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && !strings.ContainsFunc(name, func(r rune) bool {
		return !validNameRune(r)
	})
}

func validNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune("-_.", r)
}

func (o GuaranteeOptions) check(key string) error {
	if err := checkQuantity(key+".cpus", o.CPUs); err != nil {
		return err
	}
	return checkQuantity(key+".gpus", o.GPUs)
}

// checkQuantity returns an OptionError if v is negative, infinite or not a number.
func checkQuantity(key string, v float64) error {
	if v >= 0 && !math.IsInf(v, 0) {
		return nil
	}
	return &OptionError{key, v, "a finite number of at least 0"}
}

// checkTeams checks that each team exists and is in at most one group.
func (t *Tree) checkTeams(teams []string) error {
	groupOf := map[string]string{}
	for i, g := range t.groups {
		for k, team := range g.Teams {
			key := fmt.Sprintf("%s.teams[%d]", groupKey(i), k)
			if !slices.Contains(teams, team) {
				return &OptionError{key, team, "a team that exists in the settings"}
			}
			if other, ok := groupOf[team]; ok {
				return &OptionError{key, team, "a team that is listed only once; it is in " + other + " already"}
			}
			groupOf[team] = g.Name
		}
	}
	return nil
}

// checkParents checks that each parent exists and that the parents form no cycle.
func (t *Tree) checkParents() error {
	for i, g := range t.groups {
		key := groupKey(i) + ".parent"
		if g.Parent != "" && t.byName[g.Parent] == nil {
			return &OptionError{key, g.Parent, "the name of a group in this file"}
		}
		if t.inCycle(g) {
			return &OptionError{key, g.Parent, "a group that is not within this one"}
		}
	}
	return nil
}

// inCycle reports whether following the parents of a group never ends: the group or one around
// it is within itself.
func (t *Tree) inCycle(g *configuredGroup) bool {
	ancestor := g
	for range t.groups {
		ancestor = t.byName[ancestor.Parent]
		if ancestor == nil {
			return false
		}
	}
	return true
}

// checkGuarantees checks that only groups with a parent have a guarantee, that each guarantee is
// within the group's own limits, and that each limit covers the guarantees of the groups in it.
func (t *Tree) checkGuarantees() error {
	for i, g := range t.groups {
		guarantee := Amount(g.Guarantee)
		text := fmt.Sprintf("%g CPUs, %g GPUs", guarantee.CPUs, guarantee.GPUs)
		if g.Parent == "" && !guarantee.IsZero() {
			return &OptionError{groupKey(i) + ".guarantee", text, "no guarantee for a group without a parent, since there is no limit to guarantee a part of"}
		}
		inner := t.guaranteedIn(g.Name)
		for _, limit := range g.limits() {
			if !guarantee.Within(limit.Amount()) {
				return &OptionError{groupKey(i) + ".guarantee", text, "at most the group's own limit, " + limit.String()}
			}
			if !inner.Within(limit.Amount()) {
				want := fmt.Sprintf("at least the sum of the guarantees of the groups in it, %g CPUs and %g GPUs", inner.CPUs, inner.GPUs)
				return &OptionError{groupKey(i) + ".limit", limit.String(), want}
			}
		}
	}
	return nil
}

// limits returns the group's own limit and the limits of its schedule.
func (g *configuredGroup) limits() []Limit {
	out := []Limit{g.Limit}
	for _, s := range g.Schedule {
		out = append(out, s.Limit)
	}
	return out
}

// guaranteedIn returns the sum of the guarantees of a group's children.
func (t *Tree) guaranteedIn(parent string) (sum Amount) {
	for _, g := range t.groups {
		if g.Parent == parent {
			sum = sum.Plus(Amount(g.Guarantee))
		}
	}
	return sum
}

// Has reports whether a group is configured. A nil Tree has no groups.
func (t *Tree) Has(name string) bool { return t != nil && t.byName[name] != nil }

// Names returns the names of the groups, in the order of the options. A nil Tree has no groups.
func (t *Tree) Names() (names []string) {
	if t == nil {
		return nil
	}
	for _, g := range t.groups {
		names = append(names, g.Name)
	}
	return names
}

// Definitions returns the groups with the limits that apply at a time.
func (t *Tree) Definitions(at time.Time) []Definition {
	var out []Definition
	for _, g := range t.groups {
		out = append(out, g.definition(at))
	}
	return out
}

// definition returns the group with the limit that applies at a time: that of the first window
// that contains the time, or else the group's own.
func (g *configuredGroup) definition(at time.Time) Definition {
	d := Definition{
		Name:      g.Name,
		Parent:    g.Parent,
		Teams:     slices.Clone(g.Teams),
		Guarantee: Amount(g.Guarantee),
		Limit:     g.Limit,
	}
	slices.Sort(d.Teams)
	for _, w := range g.windows {
		if w.contains(at) {
			d.Limit = w.limit
			d.Scheduled = true
			break
		}
	}
	return d
}
