package quota

import "fmt"

// Options holds the groups that operators configure.
type Options struct {
	Groups []GroupOptions `yaml:"groups"`
}

// GroupOptions configures one group.
type GroupOptions struct {
	Name string `yaml:"name"`
	// Parent is the name of the group that this group is in. It is empty for none.
	Parent string   `yaml:"parent"`
	Teams  []string `yaml:"teams"`
	Limit  Limit    `yaml:"limit"`
	// Guarantee is the part of its parent's limit that the group can have whenever it needs it.
	Guarantee GuaranteeOptions  `yaml:"guarantee"`
	Schedule  []ScheduleOptions `yaml:"schedule"`
}

// GuaranteeOptions holds the amounts of a guarantee.
type GuaranteeOptions struct {
	CPUs float64 `yaml:"cpus"`
	GPUs float64 `yaml:"gpus"`
}

// ScheduleOptions replaces a group's limit in a recurring time window.
type ScheduleOptions struct {
	// Rule is a recurrence rule of RFC 5545 for the days on which the window begins, such as
	// FREQ=MONTHLY;BYMONTHDAY=1.
	Rule string `yaml:"rule"`
	// From and To are times of day, HH:MM. A window whose To is not after its From ends on the
	// next day.
	From string `yaml:"from"`
	To   string `yaml:"to"`
	// Zone is the name of a time zone, such as Africa/Kigali.
	Zone  string `yaml:"zone"`
	Limit Limit  `yaml:"limit"`
}

// OptionError reports an option with an invalid value.
type OptionError struct {
	Key   string
	Value any
	Want  string // which values are valid
}

func (e *OptionError) Error() string { return fmt.Sprintf("%s = %v: want %s", e.Key, e.Value, e.Want) }

// CheckLimit returns an OptionError if a quantity of the limit is negative, infinite or not a
// number. key is the option's name in the error.
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
