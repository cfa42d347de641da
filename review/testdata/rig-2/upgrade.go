package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() {
	makers["upgrade"] = func(dir, run, record string, seed uint64) *world {
		w := newWorld(magnolia(), clerkTypes(), dir, run, record, seed)
		w.bootTime = func(*machineType) time.Duration { return 3 * time.Second }
		w.oldRun = os.Getenv("OLD_RUN")
		return w
	}
	scenarios["upgrade"] = playUpgrade
}

// playUpgrade restarts the controllers one after the other, every 15 s, from the version in
// production to this one. Without trouble they run this one from the beginning, and are restarted in
// the same way. Users submit jobs and poll them all the while.
func playUpgrade(w *world, trouble bool) []string {
	for i := range 4 {
		w.cloud.mu.Lock()
		w.cloud.add("clerk-box", w.settings.zones[i%2], false, 0)
		w.cloud.mu.Unlock()
	}
	for _, n := range w.nodes {
		n.old = trouble
	}
	w.start()
	w.awaitReady(20 * time.Second)
	w.awaitOwners(10 * time.Second)
	var users sync.WaitGroup
	end := time.Now().Add(95 * time.Second)
	for time.Now().Before(end.Add(-90 * time.Second)) {
		time.Sleep(700 * time.Millisecond)
		j := w.newJob(spec{herd: "trial-balance", crew: "controllers", rank: "standard", loads: 3, cpus: 1, mem: 1.2, runS: 12, sizeGb: 0.5})
		users.Add(1)
		go func() {
			defer users.Done()
			w.submit(j, 30*time.Second)
			w.pollUntil(j, 2*time.Second, time.Until(end))
		}()
	}
	watched := w.newJob(spec{herd: "archive-roll", crew: "ap-desk", rank: "best_effort", loads: 1, cpus: 1, mem: 1, runS: 60, sizeGb: 0.5})
	w.submit(watched, 10*time.Second)
	users.Add(1)
	go func() {
		defer users.Done()
		for ; time.Now().Before(end); time.Sleep(2 * time.Second) {
			w.poll(watched, -1)
		}
	}()
	for _, n := range w.nodes {
		n.kill()
		time.Sleep(w.settings.restart)
		n.old = false
		n.start()
		time.Sleep(15*time.Second - w.settings.restart)
	}
	users.Wait()
	silence := w.check.longestSilence()
	w.note("longest time without an answer: %.1f s", silence.Seconds())
	fmt.Printf("longest time in which no user got an answer: %.1f s\n", silence.Seconds())
	return []string{"crash", "forgotten"}
}
