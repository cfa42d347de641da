package main

import "fmt"

// seedsFrom returns count seeds, beginning with first.
func seedsFrom(first uint64, count int) (seeds []uint64) {
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// nodesFor returns how many controllers a seed is played with by default.
func nodesFor(seed uint64) int { return []int{3, 2, 5}[seed%3] }

// runSeeds plays seeds, at most parallel at a time, and calls each with every result as soon as
// there is one. It returns the first error.
func runSeeds[T any](seeds []uint64, parallel int, play func(seed uint64) (T, error), each func(seed uint64, result T)) error {
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
				result, err := play(seed)
				done <- outcome{seed, result, err}
			}
		}()
	}
	for range seeds {
		o := <-done
		if o.err != nil {
			return fmt.Errorf("seed %d: %w", o.seed, o.err)
		}
		each(o.seed, o.result)
	}
	return nil
}
