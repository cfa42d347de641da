package quota

import (
	"strings"
	"testing"
)

// TestInvalidOptions checks that the error for an invalid option is one line that begins with the
// option's key. A case without a key has valid options, which must be accepted.
func TestInvalidOptions(t *testing.T) {
	teams := []string{"rubavu", "karongi", "rusizi"}
	monthly := ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali", Limit: CPULimit(5)}
	nightly := ScheduleOptions{Rule: "FREQ=DAILY", From: "22:00", To: "05:00", Zone: "Europe/Paris", Limit: CPULimit(60)}
	// groupWith returns a group whose schedule is the monthly one with a change applied.
	groupWith := func(change func(*ScheduleOptions)) []GroupOptions {
		s := monthly
		change(&s)
		return []GroupOptions{{Name: "a", Schedule: []ScheduleOptions{s}}}
	}
	for _, tc := range []struct {
		name   string
		groups []GroupOptions
		key    string // empty: valid
	}{
		{
			name: "a tree",
			groups: []GroupOptions{
				{Name: "all", Limit: CPULimit(100)},
				{Name: "lake", Parent: "all", Teams: teams[:2], Limit: CPULimit(50), Guarantee: GuaranteeOptions{CPUs: 40}, Schedule: []ScheduleOptions{nightly}},
			},
		},
		{
			name:   "no name",
			groups: []GroupOptions{{}},
			key:    "quota.groups[0].name",
		},
		{
			name:   "a name with a slash",
			groups: []GroupOptions{{Name: "a/b"}},
			key:    "quota.groups[0].name",
		},
		{
			name:   "a name used twice",
			groups: []GroupOptions{{Name: "a"}, {Name: "a"}},
			key:    "quota.groups[1].name",
		},
		{
			name:   "an unknown team",
			groups: []GroupOptions{{Name: "a", Teams: []string{"gisenyi"}}},
			key:    "quota.groups[0].teams[0]",
		},
		{
			name:   "a team in two groups",
			groups: []GroupOptions{{Name: "a", Teams: teams}, {Name: "b", Teams: teams[2:]}},
			key:    "quota.groups[1].teams[0]",
		},
		{
			name:   "a team twice in one group",
			groups: []GroupOptions{{Name: "a", Teams: []string{"rubavu", "rubavu"}}},
			key:    "quota.groups[0].teams[1]",
		},
		{
			name:   "an unknown parent",
			groups: []GroupOptions{{Name: "a", Parent: "b"}},
			key:    "quota.groups[0].parent",
		},
		{
			name:   "a group that is its own parent",
			groups: []GroupOptions{{Name: "a", Parent: "a"}},
			key:    "quota.groups[0].parent",
		},
		{
			name:   "a cycle",
			groups: []GroupOptions{{Name: "a", Parent: "b"}, {Name: "b", Parent: "c"}, {Name: "c", Parent: "a"}},
			key:    "quota.groups[0].parent",
		},
		{
			name:   "a negative limit",
			groups: []GroupOptions{{Name: "a", Limit: CPULimit(-1)}},
			key:    "quota.groups[0].limit.cpus",
		},
		{
			name:   "an infinite limit",
			groups: []GroupOptions{{Name: "a", Limit: NewLimit(1, Unlimited.GPUs)}},
			key:    "quota.groups[0].limit.gpus",
		},
		{
			name:   "a negative guarantee",
			groups: []GroupOptions{{Name: "a", Guarantee: GuaranteeOptions{GPUs: -1}}},
			key:    "quota.groups[0].guarantee.gpus",
		},
		{
			name: "a guarantee above its limit",
			groups: []GroupOptions{
				{Name: "all"},
				{Name: "a", Parent: "all", Limit: CPULimit(5), Guarantee: GuaranteeOptions{CPUs: 6}},
			},
			key: "quota.groups[1].guarantee",
		},
		{
			name: "guarantees above the parent's limit",
			groups: []GroupOptions{
				{Name: "all", Limit: CPULimit(10)},
				{Name: "a", Parent: "all", Guarantee: GuaranteeOptions{CPUs: 6}},
				{Name: "b", Parent: "all", Guarantee: GuaranteeOptions{CPUs: 6}},
			},
			key: "quota.groups[0].limit",
		},
		{
			name: "guarantees above a scheduled limit",
			groups: []GroupOptions{
				{Name: "all", Limit: CPULimit(20), Schedule: []ScheduleOptions{monthly}},
				{Name: "a", Parent: "all", Guarantee: GuaranteeOptions{CPUs: 6}},
			},
			key: "quota.groups[0].limit",
		},
		{
			name:   "a guarantee without a parent",
			groups: []GroupOptions{{Name: "a", Guarantee: GuaranteeOptions{CPUs: 6}}},
			key:    "quota.groups[0].guarantee",
		},
		{
			name:   "an unknown time zone",
			groups: groupWith(func(s *ScheduleOptions) { s.Zone = "Africa/Rubavu" }),
			key:    "quota.groups[0].schedule[0].zone",
		},
		{
			name:   "the local time zone of the machine",
			groups: groupWith(func(s *ScheduleOptions) { s.Zone = "Local" }),
			key:    "quota.groups[0].schedule[0].zone",
		},
		{
			name:   "an invalid rule",
			groups: groupWith(func(s *ScheduleOptions) { s.Rule = "FREQ=OFTEN" }),
			key:    "quota.groups[0].schedule[0].rule",
		},
		{
			name:   "an empty rule",
			groups: groupWith(func(s *ScheduleOptions) { s.Rule = "" }),
			key:    "quota.groups[0].schedule[0].rule",
		},
		{
			name:   "an hourly rule",
			groups: groupWith(func(s *ScheduleOptions) { s.Rule = "FREQ=HOURLY" }),
			key:    "quota.groups[0].schedule[0].rule",
		},
		{
			name:   "an invalid time of day",
			groups: groupWith(func(s *ScheduleOptions) { s.To = "25:00" }),
			key:    "quota.groups[0].schedule[0].to",
		},
		{
			name:   "a negative scheduled limit",
			groups: groupWith(func(s *ScheduleOptions) { s.Limit = CPULimit(-2) }),
			key:    "quota.groups[0].schedule[0].limit.cpus",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewTree(Options{Groups: tc.groups}, teams)
			if tc.key == "" {
				if err != nil {
					t.Errorf("valid options are refused: %v", err)
				}
				return
			}
			if err == nil {
				t.Fatalf("accepted, want an error that names %s", tc.key)
			}
			text := err.Error()
			if !strings.HasPrefix(text, tc.key+" = ") || strings.Contains(text, "\n") {
				t.Errorf("%q, want one line that begins with \"%s = \"", text, tc.key)
			}
		})
	}
}
