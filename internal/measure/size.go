package main

import (
	"fmt"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/simulation"
)

// sizeCommand runs the simulation at production size, which takes too long for the tests.
type sizeCommand struct {
	Seeds     int           `default:"4" help:"How many seeds."`
	First     uint64        `default:"1" help:"The first seed."`
	Machines  int           `default:"4000" help:"Machines, all up at the start."`
	StateRPS  float64       `default:"60" help:"Requests a second that the state service takes."`
	WriteRPS  float64       `default:"20" help:"Writes a second that it takes."`
	Slow      micros.Micros `default:"0" help:"How long a step takes for a while on one controller and then on all, in microseconds."`
	Questions float64       `help:"Questions of users a second, each at all controllers, beside what they ask about their own jobs."`
	Faults    bool          `help:"Faults of single parts, too."`
	Fleet     bool          `help:"Faults that hit many machines or all controllers at a time, too."`
}

// Run runs the simulation for each seed. It returns an error if a rule is violated.
func (s *sizeCommand) Run() error {
	violations := 0
	for _, seed := range seedsFrom(s.First, s.Seeds) {
		sim := simulation.New(s.plan(seed))
		sim.Run()
		s.print(seed, sim)
		violations += len(sim.Violations)
	}
	if violations > 0 {
		return fmt.Errorf("%d violations", violations)
	}
	return nil
}

// plan returns the plan of a seed's run.
func (s *sizeCommand) plan(seed uint64) simulation.Plan {
	return simulation.Plan{
		Seed: seed, Nodes: 3, Machines: s.Machines, InitialMachines: s.Machines, Jobs: s.Machines / 8, Large: true, StaleJobs: true,
		Faults: s.Faults, FleetFaults: s.Fleet, SlowStep: s.Slow, StateRPS: s.StateRPS, WriteRPS: s.WriteRPS, StatusRequestRate: s.Questions,
		Teams: []controller.Team{{Name: "solo"}}, ActiveTime: 90 * micros.Second, RecoveryTime: 300 * micros.Second,
	}
}

// print prints the figures and the violations of a run.
func (s *sizeCommand) print(seed uint64, sim *simulation.Simulation) {
	fmt.Printf("seed %d: %d tasks started, %d restarts, %d episodes of stale knowledge, %d violations\n", seed, sim.Started, sim.Restarts, sim.StaleEpisodes, len(sim.Violations))
	if s.Questions > 0 {
		fmt.Printf("seed %d: %d status requests at all controllers, %d answers refused\n", seed, sim.StatusRequests, sim.RefusedRequests)
	}
	for _, m := range sim.StateRequests() {
		fmt.Printf("seed %d: requests to the state service, class %s: %d sent, %d expired unsent, %d rejected, longest wait %d ms\n", seed, m.Class, m.Sent, m.Expired, m.Rejected, m.LongestWait.Millis())
	}
	for _, line := range sim.Violations {
		fmt.Printf("seed %d: %s\n", seed, line)
	}
}
