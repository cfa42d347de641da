package config

import (
	"fmt"
	"reflect"
	"strings"

	"garnethitch/internal/tracing"
	"garnethitch/quota"

	"github.com/goccy/go-yaml"
)

const (
	minLeaseMS     = 1000
	maxLeaseMS     = 600_000
	maxMachines    = 100_000
	maxMemoryShare = 0.95
)

// Options holds the settings that operators choose. LoadOptions and ParseOptions set the
// options that the file omits to their Defaults.
type Options struct {
	// LeaseMS is the lifetime of a controller's lease in the state service, in
	// milliseconds.
	LeaseMS int64 `yaml:"lease_ms"`
	// SilentReturnS is the number of seconds without a heartbeat after which a machine is
	// returned to the cloud. 0 keeps silent machines until their lease expires; nil derives
	// the time from the heartbeat interval.
	SilentReturnS *float64 `yaml:"silent_return_s"`
	// DrainHorizonS is the target time in seconds to work off the backlog: machines are added
	// while the backlog would take longer.
	DrainHorizonS float64 `yaml:"drain_horizon_s"`
	// IdleReturnS is the idle time in seconds after which a machine is returned to the cloud.
	IdleReturnS float64 `yaml:"idle_return_s"`
	// BeginS is the longest time in seconds that a job should wait for the start of its
	// first task, even while the fleet is short of machines. 0: no limit.
	BeginS float64 `yaml:"begin_s"`
	// MaxMachines is the maximum number of machines in the fleet.
	MaxMachines int `yaml:"max_machines"`
	// MemoryShare is the fraction of ram_mb that is set as Go's memory limit, above 0 and at
	// most 0.95.
	MemoryShare float64 `yaml:"memory_share"`
	// QuarantineS is the time in seconds during which a machine that fails tasks is assigned
	// no new ones.
	QuarantineS float64 `yaml:"quarantine_s"`
	// Quota holds the groups of teams and their limits.
	Quota quota.Options `yaml:"quota"`
	// Groups is set from Quota by BuildGroups. nil: there are no groups.
	Groups *quota.Tree `yaml:"-"`
	// Trace selects the exporter of spans.
	Trace tracing.Options `yaml:"trace"`
}

// Defaults returns the options of a controller without an options file.
func Defaults() Options {
	return Options{
		LeaseMS:       4000,
		DrainHorizonS: 60,
		IdleReturnS:   25,
		BeginS:        120,
		MaxMachines:   10000,
		MemoryShare:   0.6,
		QuarantineS:   120,
	}
}

// LoadOptions reads and validates an options file. For an empty path it returns the Defaults.
func LoadOptions(path string) (Options, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := readFile(path)
	if err != nil {
		return Options{}, err
	}
	return ParseOptions(path, text)
}

// ParseOptions parses and validates the text of an options file. name is the file name used
// in errors. An unknown key, or an invalid value of the right type, is reported as a
// *FieldError; invalid trace options wrap tracing.ErrOptions. Groups are not validated here but
// by BuildGroups, which knows the teams.
func ParseOptions(name string, text []byte) (Options, error) {
	o := Defaults()
	var values map[string]any
	if err := yaml.Unmarshal(text, &values); err != nil {
		return o, fmt.Errorf("%s: %s", name, firstLine(err))
	}
	if len(values) == 0 {
		return o, nil // decoding an empty document would reset the defaults to zero
	}
	if err := yaml.Unmarshal(text, &o); err != nil {
		return o, fmt.Errorf("%s: %s%s", name, decodeErrorPrefix(values), firstLine(err))
	}
	if key := unknownKey("", values, reflect.TypeFor[Options]()); key != "" {
		return o, &FieldError{File: name, Field: key, Value: "...", Want: "a known key, as listed by \"garnethitch options schema\""}
	}
	if err := o.Trace.Check(); err != nil {
		return o, fmt.Errorf("%s: %w", name, err)
	}
	return o, o.check(name)
}

// decodeErrorPrefix returns "key = value: " for a top-level key whose value cannot be
// decoded, or "" if there is none. It finds the key by decoding each one separately.
func decodeErrorPrefix(values map[string]any) string {
	prefix := ""
	for key, value := range values {
		text, err := yaml.Marshal(map[string]any{key: value})
		if err != nil {
			continue
		}
		decoded := Defaults()
		if yaml.Unmarshal(text, &decoded) != nil {
			prefix = fmt.Sprintf("%s = %v: ", key, value)
		}
	}
	return prefix
}

// firstLine returns the first line of an error's message. goccy/go-yaml appends an excerpt of
// the file in further lines.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// check returns a *FieldError for the first option with an invalid value.
func (o *Options) check(file string) error {
	c := &checker{file: file}
	c.require(o.LeaseMS >= minLeaseMS && o.LeaseMS <= maxLeaseMS, "lease_ms", o.LeaseMS, fmt.Sprintf("%d to %d", minLeaseMS, maxLeaseMS))
	if o.SilentReturnS != nil {
		c.requireNotNegative("silent_return_s", *o.SilentReturnS)
	}
	c.requirePositive("drain_horizon_s", o.DrainHorizonS)
	c.requireNotNegative("idle_return_s", o.IdleReturnS)
	c.requireNotNegative("begin_s", o.BeginS)
	c.require(o.MaxMachines >= 1 && o.MaxMachines <= maxMachines, "max_machines", o.MaxMachines, fmt.Sprintf("1 to %d", maxMachines))
	c.require(o.MemoryShare > 0 && o.MemoryShare <= maxMemoryShare, "memory_share", o.MemoryShare, fmt.Sprintf("above 0, at most %v", maxMemoryShare))
	c.requireNotNegative("quarantine_s", o.QuarantineS)
	return c.err
}

// BuildGroups validates the groups in Quota against the teams in the settings and sets
// Groups. file is the name of the options file used in errors.
func (o *Options) BuildGroups(file string, settings Settings) error {
	if len(o.Quota.Groups) == 0 {
		return nil
	}
	var teams []string
	for _, team := range settings.Cluster.Teams {
		teams = append(teams, team.Name)
	}
	tree, err := quota.NewTree(o.Quota, teams)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	o.Groups = tree
	return nil
}
