package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"garnethitch/internal/faulttest"
)

// soakCommand runs soaks of real processes.
type soakCommand struct {
	Seeds     int     `default:"50" help:"How many seeds."`
	First     uint64  `default:"1" help:"The first seed."`
	Seed      uint64  `help:"Play this seed alone."`
	Workers   int     `default:"60" help:"Workers, all in this process."`
	Minutes   float64 `default:"1" help:"How long each seed is played."`
	Parallel  int     `default:"2" help:"Seeds played at a time."`
	Nodes     int     `help:"Controllers; 0: 2, 3 and 5 in turn."`
	Questions float64 `help:"Questions a second, at all controllers, about jobs that nobody submitted."`
	StateRPS  float64 `help:"Requests a second that the state service takes by the settings; 0: plenty."`
	WriteRPS  float64 `help:"Writes a second that it takes; 0: plenty."`
	Copies    bool    `help:"Late copies of direct commands that were carried out reach the workers."`
	Only      []int   `help:"Play only the faults of these numbers."`
	Dir       string  `default:"target/soak" help:"For the binary, settings and logs."`
	Binary    string  `type:"existingfile" help:"A controller's program; left out, it is built."`
	Plan      bool    `help:"Print the faults and stop."`
}

// Run runs a soak for each seed, or prints its faults. It returns an error if a soak has a
// violation.
func (s *soakCommand) Run() error {
	seeds := []uint64{s.Seed}
	if s.Seed == 0 {
		seeds = seedsFrom(s.First, s.Seeds)
	}
	if s.Plan {
		s.printFaults(seeds)
		return nil
	}
	if err := s.build(); err != nil {
		return err
	}
	return s.runAll(seeds)
}

// printFaults prints the faults of seeds, with the numbers that Only takes.
func (s *soakCommand) printFaults(seeds []uint64) {
	for _, seed := range seeds {
		for i, fault := range s.plan(seed).Faults() {
			fmt.Printf("seed %d, fault %d: %s\n", seed, i, fault)
		}
	}
}

// runAll runs soaks and prints their figures. It returns an error if a soak has a violation.
func (s *soakCommand) runAll(seeds []uint64) error {
	violations := 0
	cancelled := 0
	tasks := 0
	err := runSeeds(seeds, s.Parallel, s.runSeed, func(seed uint64, r faulttest.SoakResult) {
		fmt.Printf("seed %d, %d controllers: %s\n", seed, s.plan(seed).Nodes, r)
		for _, line := range r.Violations {
			fmt.Printf("seed %d: %s\n", seed, line)
		}
		violations += len(r.Violations)
		cancelled += r.Cancelled
		tasks += r.Tasks
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d seeds of %.1f minutes, %d workers: %d jobs reported as cancelled, %d tasks started, %d violations; logs in %s\n", len(seeds), s.Minutes, s.Workers, cancelled, tasks, violations, s.Dir)
	if violations > 0 {
		return fmt.Errorf("%d violations", violations)
	}
	return nil
}

// plan returns the plan of a seed's soak.
func (s *soakCommand) plan(seed uint64) faulttest.SoakPlan {
	return faulttest.SoakPlan{
		Seed: seed, Nodes: cmp.Or(s.Nodes, nodesFor(seed)), Workers: s.Workers, Length: time.Duration(s.Minutes * float64(time.Minute)),
		UnknownJobRequestRate: s.Questions, StateRPS: s.StateRPS, WriteRPS: s.WriteRPS, LateCopies: s.Copies,
		Binary: s.Binary, Dir: filepath.Join(s.Dir, fmt.Sprintf("seed-%d", seed)), OnlyFaults: s.Only,
	}
}

// runSeed runs the soak of one seed. It first deletes what an earlier run left in the seed's
// directory.
func (s *soakCommand) runSeed(seed uint64) (faulttest.SoakResult, error) {
	p := s.plan(seed)
	if err := os.RemoveAll(p.Dir); err != nil {
		return faulttest.SoakResult{}, err
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return faulttest.SoakResult{}, err
	}
	return faulttest.RunSoak(p)
}

// build builds the controller's program unless Binary names one.
func (s *soakCommand) build() error {
	if s.Binary != "" {
		return nil
	}
	dir, err := filepath.Abs(s.Dir)
	if err != nil {
		return err
	}
	s.Binary = filepath.Join(dir, "garnethitch")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", s.Binary, "./cmd/garnethitch").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}
