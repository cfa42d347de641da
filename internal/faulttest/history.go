package faulttest

import (
	"fmt"
	"time"

	"garnethitch/internal/quotatest"
	"garnethitch/quota"
)

// HistoryEvent is a task's start or end, or a group's record as it was stored.
type HistoryEvent struct {
	At   time.Duration
	Team string  // of a task
	CPUs float64 // of a task: above 0 where it starts, below where it ends
	// Group, and its record; empty: the event is about a task.
	Group       string
	Record      quota.Record
	ModRevision uint64
}

// usage is what a history has come to.
type usage struct {
	groups []quota.GroupOptions
	teams  map[string]float64 // CPUs in use
	limits map[string]*quota.Limit
}

// Overshoots lists the instants at which a group's tasks used more than the limit in
// force, and those at which the allowances of a record did. groups are the definitions.
func Overshoots(history []HistoryEvent, groups []quota.GroupOptions) (found []string) {
	u := &usage{groups: groups, teams: map[string]float64{}, limits: map[string]*quota.Limit{}}
	for _, event := range history {
		if event.Group != "" {
			u.limits[event.Group] = event.Record.LastInForce
			found = append(found, allowanceOvershoots(event)...)
			found = append(found, u.overshoots(event.At)...)
			continue
		}
		u.teams[event.Team] += event.CPUs
		if event.CPUs >= 0 {
			found = append(found, u.overshoots(event.At)...)
		}
	}
	return found
}

// allowanceOvershoots reports a record whose allowances are more than the limit in force.
func allowanceOvershoots(event HistoryEvent) []string {
	limit := event.Record.LastInForce
	sum := event.Record.TotalAllowance()
	if limit == nil || sum.Within(limit.Amount()) {
		return nil
	}
	return []string{fmt.Sprintf("%v: allowances of %s add up to %g CPUs, in force is %s", event.At, event.Group, sum.CPUs, limit)}
}

// overshoots lists the groups that use more than their limits.
func (u *usage) overshoots(at time.Duration) (found []string) {
	for _, g := range u.groups {
		limit := u.limits[g.Name]
		if limit == nil {
			continue
		}
		sum := 0.0
		for _, team := range quotatest.TeamsWithin(u.groups, g.Name) {
			sum += u.teams[team]
		}
		if !(quota.Amount{CPUs: sum}).Within(limit.Amount()) {
			found = append(found, fmt.Sprintf("%v: %s uses %g CPUs, in force is %s", at, g.Name, sum, limit))
		}
	}
	return found
}

// Grants counts the starts of a history.
func Grants(history []HistoryEvent) (count int) {
	for _, event := range history {
		if event.CPUs > 0 {
			count++
		}
	}
	return count
}

// QuotaWrites counts the writes of groups' records.
func QuotaWrites(history []HistoryEvent) (count int) {
	for _, event := range history {
		if event.Group != "" {
			count++
		}
	}
	return count
}

// ToInForce returns, for each limit that was announced and came into force before the next,
// how long that took.
func ToInForce(history []HistoryEvent) (durations []time.Duration) {
	type announcement struct {
		epoch   uint64
		at      time.Duration
		inForce bool
	}
	announced := map[string]*announcement{}
	for _, event := range history {
		if event.Group == "" {
			continue
		}
		last := announced[event.Group]
		if last == nil || event.Record.Epoch != last.epoch {
			last = &announcement{epoch: event.Record.Epoch, at: event.At}
			announced[event.Group] = last
		}
		applied := event.Record.LastInForce
		if !last.inForce && applied != nil && applied.Equal(event.Record.Limit) {
			durations = append(durations, event.At-last.at)
			last.inForce = true
		}
	}
	return durations
}
