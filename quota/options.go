package quota

import "fmt"

// Options are the groups that operators configure.
type Options struct {
	Groups []GroupOptions `yaml:"groups"`
}

// GroupOptions configure one group.
type GroupOptions struct {
	Name string `yaml:"name"`
	// Parent is the group that this one is in; empty: none.
	Parent string   `yaml:"parent"`
	Teams  []string `yaml:"teams"`
	Limit  Limit    `yaml:"limit"`
	// Guarantee is what the group may have of its parent's limit at any time.
	Guarantee GuaranteeOptions  `yaml:"guarantee"`
	Schedule  []ScheduleOptions `yaml:"schedule"`
}

// GuaranteeOptions are the amounts of a guarantee.
type GuaranteeOptions struct {
	CPUs float64 `yaml:"cpus"`
	GPUs float64 `yaml:"gpus"`
}

// ScheduleOptions replace a group's limit in a recurring window of time.
type ScheduleOptions struct {
	// Rule is a recurrence rule of RFC 5545, such as FREQ=MONTHLY;BYMONTHDAY=1, for the
	// days on which the window begins.
	Rule string `yaml:"rule"`
	// From and To are times of the day, HH:MM. A window whose To is not after its From ends
	// on the next day.
	From string `yaml:"from"`
	To   string `yaml:"to"`
	// Zone is a time zone by name, such as Africa/Kigali.
	Zone  string `yaml:"zone"`
	Limit Limit  `yaml:"limit"`
}

// OptionError names an option that can't be used.
type OptionError struct {
	Key   string
	Value any
	Want  string // what can be used
}

func (e *OptionError) Error() string { return fmt.Sprintf("%s = %v: want %s", e.Key, e.Value, e.Want) }

// CheckLimit returns an OptionError if a limit is negative, infinite or not a number; key
// names it in the error.
func CheckLimit(key string, l Limit) error {
	if l.CPUs != nil {
		if err := checkQuantity(key+".cpus", *l.CPUs); err != nil {
			return err
		}
	}
	if l.GPUs != nil {
		return checkQuantity(key+".gpus", *l.GPUs)
	}
	return nil
}
