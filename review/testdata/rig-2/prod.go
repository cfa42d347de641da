package main

import (
	"time"
)

func init() {
	makers["prod"] = func(dir, run, record string, seed uint64) *world {
		w := newWorld(magnolia(), clerkTypes(), dir, run, record, seed)
		w.bootTime = func(*machineType) time.Duration { return time.Second }
		return w
	}
	scenarios["prod"] = playProd
}

// playProd submits a short pipeline whose last job has the rank prod (without trouble: high), beside a
// job that was accepted before, and polls both.
func playProd(w *world, trouble bool) []string {
	for range 2 {
		w.cloud.mu.Lock()
		w.cloud.add("clerk-box", "jackson", false, 0)
		w.cloud.mu.Unlock()
	}
	w.start()
	w.awaitReady(20 * time.Second)
	w.awaitOwners(10 * time.Second)
	rank := "high"
	if trouble {
		rank = "prod"
	}
	other := w.newJob(spec{herd: "close-rush", crew: "controllers", rank: "high", loads: 2, cpus: 1, mem: 1.2, runS: 5, sizeGb: 0.5})
	w.submit(other, 20*time.Second)
	first := w.newJob(spec{herd: "feed-pull", crew: "tax-prep", rank: "best_effort", loads: 2, cpus: 1, mem: 1.6, runS: 8, sizeGb: 0.5})
	w.submit(first, 20*time.Second)
	last := w.newJob(spec{herd: "consol-post", crew: "tax-prep", rank: rank, loads: 2, cpus: 1, mem: 1.6, runS: 5, sizeGb: 0.5, dueS: 120, follows: []string{first.id}})
	w.submit(last, 20*time.Second)
	for _, j := range []*job{other, first, last} {
		if !w.pollUntil(j, 3*time.Second, 15*time.Second) {
			w.check.violation("unanswered", "%s is not over, or there is no answer about it", j.id)
		}
	}
	return []string{"crash", "unanswered"}
}
