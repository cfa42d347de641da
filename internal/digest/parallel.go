package digest

import (
	"errors"
	"sync"
)

// ComputeAll computes the digests of runs, at most parallel of them at a time, and returns them in
// the order of the runs. The error joins those of all runs that failed.
func ComputeAll(runs []Run, parallel int) ([]Digest, error) {
	digests := make([]Digest, len(runs))
	failures := make([]error, len(runs))
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range max(parallel, 1) {
		workers.Go(func() {
			for i := range indexes {
				digests[i], failures[i] = Compute(runs[i])
			}
		})
	}
	for i := range runs {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	return digests, errors.Join(failures...)
}
