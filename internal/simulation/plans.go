package simulation

import (
	"slices"

	"garnethitch/internal/controller"
)

// This file holds the plans of TestRules, with which every rule of the protocol is checked.

// oneTeam returns a single team, whose jobs are assigned to shards one by one. With several teams,
// each team is assigned to a shard as a whole.
func oneTeam() []controller.Team { return []controller.Team{{Name: "solo"}} }

// fourTeams returns four teams with limits for about ten machines.
func fourTeams() []controller.Team {
	return []controller.Team{
		{Name: "red", CPUs: 8, CPUsMax: 14}, {Name: "green", CPUs: 4, CPUsMax: 10},
		{Name: "blue", CPUs: 8, CPUsMax: 20}, {Name: "grey", CPUs: 4, CPUsMax: 12},
	}
}

// largeTeams returns the same four teams with limits for hundreds of machines.
func largeTeams() []controller.Team {
	return []controller.Team{
		{Name: "red", CPUs: 300, CPUsMax: 500}, {Name: "green", CPUs: 150, CPUsMax: 400},
		{Name: "blue", CPUs: 300, CPUsMax: 700}, {Name: "grey", CPUs: 150, CPUsMax: 400},
	}
}

// fleetTeams returns the same four teams with limits for more than a thousand machines.
func fleetTeams() []controller.Team {
	return []controller.Team{
		{Name: "red", CPUs: 1200, CPUsMax: 2000}, {Name: "green", CPUs: 600, CPUsMax: 1600},
		{Name: "blue", CPUs: 1200, CPUsMax: 2800}, {Name: "grey", CPUs: 600, CPUsMax: 1600},
	}
}

const (
	// rulesActiveTime and rulesRecoveryTime are the ActiveTime and RecoveryTime of the plans of
	// TestRules.
	rulesActiveTime   = 90 * sec
	rulesRecoveryTime = 300 * sec
)

// NamedPlan is a plan with a unique name.
type NamedPlan struct {
	Name  string
	Plan  Plan
	Seeds int // number of seeds with which TestRules runs the plan
}

// WithSeed returns the plan with the given seed.
func (n NamedPlan) WithSeed(seed uint64) Plan {
	plan := n.Plan
	plan.Seed = seed
	return plan
}

// RulePlans returns all plans of TestRules, always in the same order.
func RulePlans() []NamedPlan {
	plans := slices.Concat(
		faultPlans(),
		slowPlans(),
		concurrentFaultPlans(),
		loadPlans(),
		dagPlans(),
		upgradePlans(),
		groupPlans(),
		slowFaultPlans(),
		scarcePlans(),
		lateCopyPlans(),
	)
	for i := range plans {
		plans[i].Plan.ActiveTime = rulesActiveTime
		plans[i].Plan.RecoveryTime = rulesRecoveryTime
	}
	return plans
}

// faultPlans returns the plans without faults, with faults of single components and with fleet
// faults.
func faultPlans() []NamedPlan {
	return []NamedPlan{
		{"no faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 8, Jobs: 20}, 2},
		{"no faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25}, 2},
		{"faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 8, Jobs: 20, Faults: true}, 24},
		{"faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25, Faults: true}, 24},
		{"faults, two nodes", Plan{Teams: fourTeams(), Nodes: 2, Machines: 6, Jobs: 12, Faults: true}, 8},
		{"faults, one node", Plan{Teams: oneTeam(), Nodes: 1, Machines: 6, Jobs: 12, Faults: true}, 6},
		{"large, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 300, Jobs: 60, Large: true, Faults: true}, 2},
		{"large, sharded by team", Plan{Teams: largeTeams(), Nodes: 3, Machines: 300, Jobs: 60, Large: true, Faults: true}, 2},
		{"fleet faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 20, Jobs: 30, Faults: true, FleetFaults: true}, 12},
		{"fleet faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 20, Jobs: 30, Faults: true, FleetFaults: true}, 12},
		{"large fleet, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 1200, Jobs: 120, Large: true, Faults: true, FleetFaults: true}, 2},
		{"large fleet, sharded by team", Plan{Teams: fleetTeams(), Nodes: 3, Machines: 1200, Jobs: 120, Large: true, Faults: true, FleetFaults: true}, 2},
	}
}

// slowPlans returns the plans with slow steps. Inputs arrive about twice as fast as they can be
// processed with slow steps, and about ten times as fast with very slow ones.
func slowPlans() []NamedPlan {
	return []NamedPlan{
		{"slow steps, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 8, Jobs: 20, SlowStep: 30 * ms}, 4},
		{"slow steps, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25, SlowStep: 30 * ms}, 4},
		{"very slow steps, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 8, Jobs: 20, SlowStep: 300 * ms}, 4},
		{"very slow steps, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25, SlowStep: 300 * ms}, 4},
	}
}

// concurrentFaultPlans returns the plans with concurrent faults, and those in which controllers act
// on stale views.
func concurrentFaultPlans() []NamedPlan {
	return []NamedPlan{
		{"long outage, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 14, Jobs: 40, LongOutage: true}, 6},
		{"long outage, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 14, Jobs: 40, LongOutage: true}, 6},
		{"concurrent faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true}, 16},
		{"concurrent faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true}, 16},
		{"concurrent and single faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Faults: true}, 8},
		{"concurrent and single faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Faults: true}, 8},
		{"stale jobs, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 14, Jobs: 40, StaleJobs: true}, 24},
		{"stale jobs, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 14, Jobs: 40, StaleJobs: true}, 8},
		{"stale jobs, few final jobs kept", Plan{Teams: oneTeam(), Nodes: 3, Machines: 14, Jobs: 40, StaleJobs: true, MaxFinalJobs: 1}, 24},
		{"stale jobs and faults, few final jobs kept", Plan{Teams: fourTeams(), Nodes: 3, Machines: 14, Jobs: 40, StaleJobs: true, MaxFinalJobs: 1, Faults: true}, 12},
		{"upgrade with stale jobs, few final jobs kept", Plan{Teams: fourTeams(), Nodes: 3, Machines: 14, Jobs: 40, StaleJobs: true, MaxFinalJobs: 1, UpgradeFrom: ReleaseWithoutDependencies}, 8},
	}
}

// loadPlans returns the plans with more status requests than the state service can serve, and those
// with many small jobs.
func loadPlans() []NamedPlan {
	return []NamedPlan{
		{"status requests, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 14, Jobs: 40, StatusRequestRate: 50, StateRPS: 60, WriteRPS: 20}, 4},
		{"status requests and faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 14, Jobs: 40, StatusRequestRate: 50, StateRPS: 60, WriteRPS: 20, Faults: true}, 8},
		{"status requests with stale jobs", Plan{Teams: oneTeam(), Nodes: 3, Machines: 14, Jobs: 40, StatusRequestRate: 50, StateRPS: 60, WriteRPS: 20, StaleJobs: true}, 8},
		{"churn, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 20, Jobs: 240, Churn: true}, 2},
		{"churn and concurrent faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 20, Jobs: 240, Churn: true, ConcurrentFaults: true}, 3},
	}
}

// dagPlans returns the plans with jobs that depend on each other.
func dagPlans() []NamedPlan {
	return []NamedPlan{
		{"DAGs, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4}, 3},
		{"DAGs, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4}, 3},
		{"DAGs and faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, Faults: true}, 12},
		{"DAGs and faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, Faults: true}, 12},
		{"DAGs and concurrent faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, ConcurrentFaults: true}, 10},
		{"DAGs and concurrent faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, ConcurrentFaults: true}, 10},
	}
}

// upgradePlans returns the plans with rolling upgrades.
func upgradePlans() []NamedPlan {
	return []NamedPlan{
		{"upgrade, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, UpgradeFrom: ReleaseWithoutDependencies}, 4},
		{"upgrade and faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, UpgradeFrom: ReleaseWithoutDependencies, Faults: true}, 12},
		{"upgrade and faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, UpgradeFrom: ReleaseWithoutDependencies, Faults: true}, 12},
		{"upgrade of a large deployment", Plan{Teams: largeTeams(), Nodes: 3, Machines: 300, Jobs: 40, DAGs: 6, Large: true, UpgradeFrom: ReleaseWithoutDependencies, Faults: true}, 2},
		{"upgrade from the previous release, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, UpgradeFrom: ReleaseWithoutDependentRecords, Faults: true}, 6},
		{"upgrade from the previous release, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, UpgradeFrom: ReleaseWithoutDependentRecords, Faults: true}, 6},
		{"upgrade from the previous release and concurrent faults", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, UpgradeFrom: ReleaseWithoutDependentRecords, ConcurrentFaults: true}, 4},
	}
}

// groupPlans returns the plans with groups of teams, whose limits operators change during the run.
func groupPlans() []NamedPlan {
	return []NamedPlan{
		{"groups, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 10, Jobs: 25, Groups: groupsOver(oneTeam(), 16), Faults: true}, 12},
		{"groups, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25, Groups: groupsOver(fourTeams(), 20), Faults: true}, 16},
		{"groups, one team in none", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25, Groups: groupsOver(fourTeams()[:3], 16), Faults: true}, 4},
		{"groups and concurrent faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 25, Groups: groupsOver(oneTeam(), 16), ConcurrentFaults: true}, 8},
		{"groups and concurrent faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 25, Groups: groupsOver(fourTeams(), 20), ConcurrentFaults: true, Faults: true}, 8},
		{"groups, fleet faults", Plan{Teams: fourTeams(), Nodes: 3, Machines: 20, Jobs: 30, Groups: groupsOver(fourTeams(), 24), Faults: true, FleetFaults: true}, 6},
		{"groups, upgrade", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 16, Groups: groupsOver(fourTeams(), 20), UpgradeFrom: ReleaseWithoutDependencies, Faults: true}, 6},
		{"groups, upgrade from the previous release", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 16, Groups: groupsOver(oneTeam(), 16), UpgradeFrom: ReleaseWithoutDependentRecords, Faults: true}, 4},
		{"groups, upgrade from a release without groups, and back", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 16, DAGs: 2, Groups: groupsOver(fourTeams(), 20), UpgradeFrom: ReleaseWithoutGroups, Rollback: true, Faults: true}, 6},
		{"groups, upgrade and back, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 16, Groups: groupsOver(oneTeam(), 16), UpgradeFrom: ReleaseWithoutDependencies, Rollback: true, ConcurrentFaults: true}, 4},
	}
}

// slowFaultPlans returns the plans with slow steps and other faults.
func slowFaultPlans() []NamedPlan {
	return []NamedPlan{
		{"very slow steps, faults", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 25, Faults: true, SlowStep: 300 * ms}, 6},
	}
}

// scarcePlans returns the plans with few machines and few jobs of unusual sizes.
func scarcePlans() []NamedPlan {
	return []NamedPlan{
		{"scarce machines, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 6, Scarce: true}, 12},
		{"scarce machines, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 6, Scarce: true}, 12},
		{"scarce machines and faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 8, Scarce: true, Faults: true}, 12},
	}
}

// lateCopyPlans returns the plans with late copies of direct commands.
func lateCopyPlans() []NamedPlan {
	return []NamedPlan{
		{"late copies, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 8, Jobs: 25, LateCopies: true}, 4},
		{"late copies, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 30, LateCopies: true, DAGs: 4}, 4},
		{"late copies and faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 8, Jobs: 25, LateCopies: true, Faults: true}, 8},
		{"late copies and faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 10, Jobs: 30, LateCopies: true, Faults: true}, 8},
		{"late copies and fleet faults", Plan{Teams: fourTeams(), Nodes: 3, Machines: 20, Jobs: 30, LateCopies: true, Faults: true, FleetFaults: true}, 6},
		{"late copies and concurrent faults, sharded by job", Plan{Teams: oneTeam(), Nodes: 3, Machines: 12, Jobs: 30, LateCopies: true, ConcurrentFaults: true}, 8},
		{"late copies and concurrent faults, sharded by team", Plan{Teams: fourTeams(), Nodes: 3, Machines: 12, Jobs: 30, LateCopies: true, ConcurrentFaults: true, Faults: true}, 8},
		{"late copies and stale jobs", Plan{Teams: oneTeam(), Nodes: 3, Machines: 14, Jobs: 40, LateCopies: true, StaleJobs: true}, 6},
	}
}
