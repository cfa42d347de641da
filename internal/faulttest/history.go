package faulttest

import (
	"fmt"
	"time"

	"garnethitch/internal/quotatest"
	"garnethitch/quota"
)

// A checker of recorded histories, apart from the code that made them.

// Overshoots lists the instants at which a group's tasks used more than the limit in
// force, and those at which the allowances of a record did. groups are the definitions.
func Overshoots(history []HistoryEvent, groups []quota.GroupOptions) (found []string) {
	used := map[string]float64{} // by team
	inForce := map[string]*quota.Limit{}
	for _, e := range history {
		if e.Group != "" {
			inForce[e.Group] = e.Record.Applied
			if sum := e.Record.Allowed(); e.Record.Applied != nil && !sum.Within(e.Record.Applied.Amount()) {
				found = append(found, fmt.Sprintf("%v: allowances of %s add up to %g CPUs, in force is %s", e.At, e.Group, sum.CPUs, e.Record.Applied))
			}
		} else {
			used[e.Team] += e.CPUs
			if e.CPUs < 0 {
				continue
			}
		}
		for _, g := range groups {
			limit := inForce[g.Name]
			if limit == nil {
				continue
			}
			sum := 0.0
			for _, team := range quotatest.TeamsWithin(groups, g.Name) {
				sum += used[team]
			}
			if !(quota.Amount{CPUs: sum}).Within(limit.Amount()) {
				found = append(found, fmt.Sprintf("%v: %s uses %g CPUs, in force is %s", e.At, g.Name, sum, limit))
			}
		}
	}
	return found
}

// Grants counts the starts of a history.
func Grants(history []HistoryEvent) (n int) {
	for _, e := range history {
		if e.CPUs > 0 {
			n++
		}
	}
	return n
}

// QuotaWrites counts the writes of groups' records.
func QuotaWrites(history []HistoryEvent) (n int) {
	for _, e := range history {
		if e.Group != "" {
			n++
		}
	}
	return n
}

// ToInForce gives, for each limit that was announced and came into force before the next,
// how long that took.
func ToInForce(history []HistoryEvent) (out []time.Duration) {
	announced := map[string]HistoryEvent{}
	for _, e := range history {
		if e.Group == "" {
			continue
		}
		was, ok := announced[e.Group]
		if !ok || e.Record.Epoch != was.Record.Epoch {
			announced[e.Group], was = e, e
		}
		if was.At >= 0 && e.Record.Applied != nil && e.Record.Applied.Equal(e.Record.Limit) {
			out = append(out, e.At-was.At)
			was.At = -1
			announced[e.Group] = was
		}
	}
	return out
}
