package main

import (
	"fmt"

	"garnethitch/internal/digest"
	"garnethitch/internal/simulation"
)

// digestCommand runs the simulation's rule plans and prints a hash of all messages of each run.
type digestCommand struct {
	Seeds    int    `help:"How many seeds of each plan; 0: two, and one of plans with hundreds of machines."`
	Plan     string `help:"Only plans whose names contain this."`
	Parallel int    `default:"4" help:"How many runs at a time."`
}

// Run runs the plans and prints one line per run, in a deterministic order.
func (d *digestCommand) Run() error {
	runs := digest.Runs(simulation.RulePlans(), d.Plan, d.Seeds)
	if len(runs) == 0 {
		return fmt.Errorf("no plan's name contains %q", d.Plan)
	}
	digests, err := digest.ComputeAll(runs, d.Parallel)
	if err != nil {
		return err
	}
	fmt.Println(digest.Header)
	for _, result := range digests {
		fmt.Println(result)
	}
	return nil
}
