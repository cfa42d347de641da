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

// Options are the operators' own settings. LoadOptions and ParseOptions fill in the
// Defaults of those that the file leaves out.
type Options struct {
	// LeaseMS is the lifetime of a controller's lease in the state service, in
	// milliseconds.
	LeaseMS int64 `yaml:"lease_ms"`
	// SilentReturnS is the number of seconds without a heartbeat after which a machine is
	// returned to the cloud. 0 keeps silent machines until their lease expires; nil has it
	// follow from the interval of heartbeats.
	SilentReturnS *float64 `yaml:"silent_return_s"`
	// DrainHorizonS is the number of seconds in which the waiting work should be done:
	// machines are added while it would take longer.
	DrainHorizonS float64 `yaml:"drain_horizon_s"`
	// IdleReturnS is the number of idle seconds after which a machine is returned.
	IdleReturnS float64 `yaml:"idle_return_s"`
	// BeginS is the longest time in seconds that a job should wait for the start of its
	// first task, however short of machines the fleet is; 0: no limit.
	BeginS float64 `yaml:"begin_s"`
	// MaxMachines bounds the fleet.
	MaxMachines int `yaml:"max_machines"`
	// MemoryShare is the part of ram_mb that becomes Go's memory limit, up to 0.95.
	MemoryShare float64 `yaml:"memory_share"`
	// QuarantineS is the number of seconds for which a machine that fails tasks gets no
	// new ones.
	QuarantineS float64 `yaml:"quarantine_s"`
	// Quota holds the groups above teams.
	Quota quota.Options `yaml:"quota"`
	// Groups is made from Quota by CheckQuota; nil: there are no groups.
	Groups *quota.Tree `yaml:"-"`
	// Trace chooses the exporter of spans.
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

// LoadOptions reads and checks an options file. An empty path gives the Defaults.
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

// ParseOptions parses and checks the text of an options file. name is the file's name in
// errors; an unknown key, or a value that a key cannot have, is a *FieldError. Groups are
// left to CheckQuota.
func ParseOptions(name string, text []byte) (Options, error) {
	o := Defaults()
	var values map[string]any
	if err := yaml.Unmarshal(text, &values); err != nil {
		return o, fmt.Errorf("%s: %s", name, firstLine(err))
	}
	if len(values) == 0 {
		return o, nil // decoding an empty document would clear the defaults
	}
	if err := yaml.Unmarshal(text, &o); err != nil {
		return o, fmt.Errorf("%s: %s%s", name, decodeErrorPrefix(values), firstLine(err))
	}
	if key := unknownKey("", values, reflect.TypeFor[Options]()); key != "" {
		return o, &FieldError{File: name, Field: key, Value: "...", Want: "no such key: garnethitch options schema lists them"}
	}
	if err := o.Trace.Check(); err != nil {
		return o, fmt.Errorf("%s: %w", name, err)
	}
	return o, o.check(name)
}

// decodeErrorPrefix returns the beginning of an error message that names the key whose value
// does not decode, found by decoding each by itself; empty if there is none.
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

// firstLine returns an error's message without the excerpt of the file that goccy/go-yaml
// adds below it.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// check returns a *FieldError for the first option whose value cannot be used.
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

// BuildGroups checks the groups against the teams of the settings and sets Groups. file is
// the options file's name in errors.
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
