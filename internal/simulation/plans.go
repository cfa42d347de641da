package simulation

import "garnethitch/internal/controller"

// The plans that every rule of the protocol is checked with.

var (
	oneTeam  = []controller.Team{{Name: "solo"}}
	fourTeam = []controller.Team{
		{Name: "red", CPUs: 8, CPUsMax: 14}, {Name: "green", CPUs: 4, CPUsMax: 10},
		{Name: "blue", CPUs: 8, CPUsMax: 20}, {Name: "grey", CPUs: 4, CPUsMax: 12},
	}
)

// grownTeam are the same with room for hundreds of machines.
var grownTeam = []controller.Team{
	{Name: "red", CPUs: 300, CPUsMax: 500}, {Name: "green", CPUs: 150, CPUsMax: 400},
	{Name: "blue", CPUs: 300, CPUsMax: 700}, {Name: "grey", CPUs: 150, CPUsMax: 400},
}

// fleetTeam have room for over a thousand.
var fleetTeam = []controller.Team{
	{Name: "red", CPUs: 1200, CPUsMax: 2000}, {Name: "green", CPUs: 600, CPUsMax: 1600},
	{Name: "blue", CPUs: 1200, CPUsMax: 2800}, {Name: "grey", CPUs: 600, CPUsMax: 1600},
}

// How long the faults and submissions of each plan last, and the time after them in which
// all work must end.
const (
	rulesLength = 90 * sec
	rulesRest   = 300 * sec
)

// NamedPlan is a plan with a unique name, and how many seeds a test plays it with.
type NamedPlan struct {
	Name  string
	Plan  Plan
	Seeds int
}

// WithSeed returns the plan for one seed.
func (n NamedPlan) WithSeed(seed uint64) Plan {
	plan := n.Plan
	plan.Seed = seed
	return plan
}

// RulePlans returns all plans of TestRules, always in the same order.
func RulePlans() []NamedPlan {
	return []NamedPlan{
		{"quiet, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 8, Jobs: 20, Length: rulesLength, Rest: rulesRest}, 2},
		{"quiet, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Length: rulesLength, Rest: rulesRest}, 2},
		{"troubles, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 8, Jobs: 20, Faults: true, Length: rulesLength, Rest: rulesRest}, 24},
		{"troubles, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Faults: true, Length: rulesLength, Rest: rulesRest}, 24},
		{"troubles, two nodes", Plan{Teams: fourTeam, Nodes: 2, Machines: 6, Jobs: 12, Faults: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"troubles, one node", Plan{Teams: oneTeam, Nodes: 1, Machines: 6, Jobs: 12, Faults: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"grown, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 300, Jobs: 60, Grown: true, Faults: true, Length: rulesLength, Rest: rulesRest}, 2},
		{"grown, teams parted", Plan{Teams: grownTeam, Nodes: 3, Machines: 300, Jobs: 60, Grown: true, Faults: true, Length: rulesLength, Rest: rulesRest}, 2},
		{"many at a time, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 20, Jobs: 30, Faults: true, Fleet: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"many at a time, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 20, Jobs: 30, Faults: true, Fleet: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"fleet, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 1200, Jobs: 120, Grown: true, Faults: true, Fleet: true, Length: rulesLength, Rest: rulesRest}, 2},
		{"fleet, teams parted", Plan{Teams: fleetTeam, Nodes: 3, Machines: 1200, Jobs: 120, Grown: true, Faults: true, Fleet: true, Length: rulesLength, Rest: rulesRest}, 2},
		// A step takes so long that inputs come twice, and ten times, as fast as they
		// can be dealt with.
		{"slow, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 8, Jobs: 20, Slow: 30 * ms, Length: rulesLength, Rest: rulesRest}, 4},
		{"slow, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Slow: 30 * ms, Length: rulesLength, Rest: rulesRest}, 4},
		{"ten times too slow, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 8, Jobs: 20, Slow: 300 * ms, Length: rulesLength, Rest: rulesRest}, 4},
		{"ten times too slow, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Slow: 300 * ms, Length: rulesLength, Rest: rulesRest}, 4},
		// concurrent faults.
		{"the gap, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 14, Jobs: 40, Gap: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"the gap, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 14, Jobs: 40, Gap: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"meetings, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 16},
		{"meetings, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 16},
		{"meetings and troubles, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Faults: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"meetings and troubles, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Faults: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"stale, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 14, Jobs: 40, Stale: true, Length: rulesLength, Rest: rulesRest}, 24},
		{"stale, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 14, Jobs: 40, Stale: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"stale, few ends kept", Plan{Teams: oneTeam, Nodes: 3, Machines: 14, Jobs: 40, Stale: true, FinalJobs: 1, Length: rulesLength, Rest: rulesRest}, 24},
		{"stale and troubles, few ends kept", Plan{Teams: fourTeam, Nodes: 3, Machines: 14, Jobs: 40, Stale: true, FinalJobs: 1, Faults: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"a roll while controllers know little, few ends kept", Plan{Teams: fourTeam, Nodes: 3, Machines: 14, Jobs: 40, Stale: true, FinalJobs: 1, Roll: Production, Length: rulesLength, Rest: rulesRest}, 8},
		// Users ask more than the state service takes.
		{"questions, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 14, Jobs: 40, Questions: 50, StateRPS: 60, WriteRPS: 20, Length: rulesLength, Rest: rulesRest}, 4},
		{"questions and troubles, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 14, Jobs: 40, Questions: 50, StateRPS: 60, WriteRPS: 20, Faults: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"questions while controllers know little", Plan{Teams: oneTeam, Nodes: 3, Machines: 14, Jobs: 40, Questions: 50, StateRPS: 60, WriteRPS: 20, Stale: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"churn, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 20, Jobs: 240, Churn: true, Length: rulesLength, Rest: rulesRest}, 2},
		{"churn and meetings, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 20, Jobs: 240, Churn: true, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 3},
		// Pipelines, and a roll from the version in production.
		{"pipelines, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, Length: rulesLength, Rest: rulesRest}, 3},
		{"pipelines, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, Length: rulesLength, Rest: rulesRest}, 3},
		{"pipelines and troubles, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, Faults: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"pipelines and troubles, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, Faults: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"pipelines and meetings, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 10},
		{"pipelines and meetings, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 12, DAGs: 4, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 10},
		{"a roll, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, Roll: Production, Length: rulesLength, Rest: rulesRest}, 4},
		{"a roll and troubles, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, Roll: Production, Faults: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"a roll and troubles, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, Roll: Production, Faults: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"a roll of a grown deployment", Plan{Teams: grownTeam, Nodes: 3, Machines: 300, Jobs: 40, DAGs: 6, Grown: true, Roll: Production, Faults: true, Length: rulesLength, Rest: rulesRest}, 2},
		{"a roll from the last landing, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, Roll: LastLanded, Faults: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"a roll from the last landing, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, Roll: LastLanded, Faults: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"a roll from the last landing and meetings", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 4, Roll: LastLanded, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 4},
		// Groups of teams, whose limits operators change meanwhile.
		{"groups, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 10, Jobs: 25, Groups: groupsOver(oneTeam, 16), Faults: true, Length: rulesLength, Rest: rulesRest}, 12},
		{"groups, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Groups: groupsOver(fourTeam, 20), Faults: true, Length: rulesLength, Rest: rulesRest}, 16},
		{"groups, one team in none", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Groups: groupsOver(fourTeam[:3], 16), Faults: true, Length: rulesLength, Rest: rulesRest}, 4},
		{"groups and meetings, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 25, Groups: groupsOver(oneTeam, 16), ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"groups and meetings, teams parted", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 25, Groups: groupsOver(fourTeam, 20), ConcurrentFaults: true, Faults: true, Length: rulesLength, Rest: rulesRest}, 8},
		{"groups, many at a time", Plan{Teams: fourTeam, Nodes: 3, Machines: 20, Jobs: 30, Groups: groupsOver(fourTeam, 24), Faults: true, Fleet: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"groups, a roll", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 16, Groups: groupsOver(fourTeam, 20), Roll: Production, Faults: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"groups, a roll from the last landing", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 16, Groups: groupsOver(oneTeam, 16), Roll: LastLanded, Faults: true, Length: rulesLength, Rest: rulesRest}, 4},
		{"groups, a roll from the version before and back", Plan{Teams: fourTeam, Nodes: 3, Machines: 12, Jobs: 16, DAGs: 2, Groups: groupsOver(fourTeam, 20), Roll: WithoutGroups, RollBack: true, Faults: true, Length: rulesLength, Rest: rulesRest}, 6},
		{"groups, a roll and back, jobs parted", Plan{Teams: oneTeam, Nodes: 3, Machines: 12, Jobs: 16, Groups: groupsOver(oneTeam, 16), Roll: Production, RollBack: true, ConcurrentFaults: true, Length: rulesLength, Rest: rulesRest}, 4},
		{"ten times too slow, troubles", Plan{Teams: fourTeam, Nodes: 3, Machines: 10, Jobs: 25, Faults: true, Slow: 300 * ms, Length: rulesLength, Rest: rulesRest}, 6},
	}
}
