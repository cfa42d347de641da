package faulttest

import (
	"testing"

	"garnethitch/quota"
)

// TestOvershoots checks that the checker finds usage and allowances above the limit in force, and
// nothing else.
func TestOvershoots(t *testing.T) {
	groups := GrantGroups()
	limit := quota.CPULimit(2)
	inForce := HistoryEvent{Group: "all", Record: quota.Record{LastInForce: &limit}}
	start := HistoryEvent{Team: "rubavu", CPUs: 1}
	end := HistoryEvent{Team: "rubavu", CPUs: -1}
	for _, tc := range []struct {
		name    string
		history []HistoryEvent
		found   int
	}{
		{"within", []HistoryEvent{inForce, start, start, end, start}, 0},
		{"one too many, in a group within", []HistoryEvent{inForce, start, start, start}, 1},
		{"lowered below what runs", []HistoryEvent{start, start, start, inForce}, 1},
		{"not in force", []HistoryEvent{{Group: "all"}, start, start, start}, 0},
		{"allowances above it", []HistoryEvent{{Group: "all", Record: quota.Record{LastInForce: &limit, Rows: []quota.Row{{Allowance: quota.Amount{CPUs: 3}}}}}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Overshoots(tc.history, groups); len(got) != tc.found {
				t.Errorf("%d overshoots, want %d: %v", len(got), tc.found, got)
			}
		})
	}
}
