package main

import "fmt"

// seedsFrom returns count seeds, beginning with first.
func seedsFrom(first uint64, count int) (seeds []uint64) {
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// nodesFor returns the default number of controllers for a seed.
func nodesFor(seed uint64) int { return []int{3, 2, 5}[seed%3] }

// runSeeds calls run for each seed, with at most parallel calls at a time, and calls handle with
// each result as soon as there is one. It returns the first error.
func runSeeds[T any](seeds []uint64, parallel int, run func(seed uint64) (T, error), handle func(seed uint64, result T)) error {
	type outcome struct {
		seed   uint64
		result T
		err    error
	}
	todo, done := make(chan uint64, len(seeds)), make(chan outcome, len(seeds))
	for _, seed := range seeds {
		todo <- seed
	}
	close(todo)
	for range max(parallel, 1) {
		go func() {
			for seed := range todo {
				result, err := run(seed)
				done <- outcome{seed, result, err}
			}
		}()
	}
	for range seeds {
		o := <-done
		if o.err != nil {
			return fmt.Errorf("seed %d: %w", o.seed, o.err)
		}
		handle(o.seed, o.result)
	}
	return nil
}
