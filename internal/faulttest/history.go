package faulttest

import (
	"fmt"
	"time"

	"garnethitch/internal/quotatest"
	"garnethitch/quota"
)

// HistoryEvent is the start or the end of a task, or a quota group's record that was stored.
type HistoryEvent struct {
	At   time.Duration // since the cluster's clock began
	Team string        // of a task
	CPUs float64       // of a task: positive at its start, negative at its end
	// Group is the name of the group whose record was stored; empty if the event is about a task.
	Group       string
	Record      quota.Record
	ModRevision uint64
}

// usage is the state of the teams and limits after a part of a history.
type usage struct {
	groups []quota.GroupOptions
	teams  map[string]float64      // CPUs in use
	limits map[string]*quota.Limit // limits in force, by group
}

// Overshoots describes the instants at which a group's tasks used more than the limit in force,
// and those at which the allowances of a record added up to more. groups are the definitions of
// the groups.
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

// allowanceOvershoots describes a record whose allowances add up to more than the limit in force.
func allowanceOvershoots(event HistoryEvent) []string {
	limit := event.Record.LastInForce
	sum := event.Record.TotalAllowance()
	if limit == nil || sum.Within(limit.Amount()) {
		return nil
	}
	return []string{fmt.Sprintf("%v: allowances of %s add up to %g CPUs, the limit in force is %s", event.At, event.Group, sum.CPUs, limit)}
}

// overshoots describes the groups that use more than their limits in force.
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
			found = append(found, fmt.Sprintf("%v: %s uses %g CPUs, the limit in force is %s", at, g.Name, sum, limit))
		}
	}
	return found
}

// CountGrants counts the task starts in a history.
func CountGrants(history []HistoryEvent) (count int) {
	for _, event := range history {
		if event.CPUs > 0 {
			count++
		}
	}
	return count
}

// CountQuotaWrites counts the writes of quota groups' records in a history.
func CountQuotaWrites(history []HistoryEvent) (count int) {
	for _, event := range history {
		if event.Group != "" {
			count++
		}
	}
	return count
}

// EnforcementDelays returns how long limits took from their announcement until they were in force.
// A limit is left out if the next one was announced before it came into force.
func EnforcementDelays(history []HistoryEvent) (durations []time.Duration) {
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
