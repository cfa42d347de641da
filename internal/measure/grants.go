package main

import (
	"fmt"
	"time"

	"garnethitch/internal/faulttest"
)

// grantsCommand tests concurrent grants with many seeds.
type grantsCommand struct {
	Seed     uint64 `default:"1" help:"The first seed."`
	Seeds    int    `default:"50" help:"How many seeds."`
	Grants   int    `default:"2000" help:"Grants of each seed."`
	Parallel int    `default:"4" help:"Seeds played at a time."`
	Calm     bool   `help:"No faults, and limits that stay."`
}

// Run runs the seeds and prints their figures. It returns an error if a limit is exceeded.
func (g *grantsCommand) Run() error {
	run := func(seed uint64) (faulttest.GrantsResult, error) {
		return faulttest.RunGrants(faulttest.GrantsPlan{Seed: seed, Nodes: nodesFor(seed), MinGrants: g.Grants, Timeout: 3 * time.Minute, Faults: !g.Calm})
	}
	var sum faulttest.GrantsResult
	var rates, delays []float64
	err := runSeeds(seedsFrom(g.Seed, g.Seeds), g.Parallel, run, func(seed uint64, r faulttest.GrantsResult) {
		fmt.Printf("seed %d: %s\n", seed, r)
		for _, line := range r.Overshoots {
			fmt.Printf("seed %d: overshoot: %s\n", seed, line)
		}
		sum.Grants += r.Grants
		sum.Writes += r.Writes
		sum.LimitsSet += r.LimitsSet
		sum.Restarts += r.Restarts
		sum.Cuts += r.Cuts
		sum.Duration += r.Duration
		sum.Overshoots = append(sum.Overshoots, r.Overshoots...)
		rates = append(rates, float64(r.Grants)/r.Duration.Seconds())
		for _, d := range r.EnforcementDelays {
			delays = append(delays, d.Seconds())
		}
	})
	if err != nil {
		return err
	}
	fmt.Printf("all: %s\n", sum)
	fmt.Printf("grants a second, by seed: %s\n", summarize(rates))
	fmt.Printf("writes per thousand grants: %.1f\n", 1000*float64(sum.Writes)/float64(max(sum.Grants, 1)))
	fmt.Printf("seconds from announced to in force: %s\n", summarize(delays))
	if len(sum.Overshoots) > 0 {
		return fmt.Errorf("%d overshoots, the first: %s", len(sum.Overshoots), sum.Overshoots[0])
	}
	return nil
}
