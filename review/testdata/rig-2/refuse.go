package main

import (
	"time"
)

// maxLag is by how much the state of a job may lag.
const maxLag = 3 * time.Second

func init() {
	makers["refuse"] = func(dir, run, record string, seed uint64) *world {
		s := magnolia()
		w := newWorld(s, clerkTypes(), dir, run, record, seed)
		return w
	}
	scenarios["refuse"] = playRefuse
}

// playRefuse polls a job whose tasks run for a minute at all three controllers, once a second, while
// the controllers refuse each other's connections for 20 s (without trouble: they do not).
func playRefuse(w *world, trouble bool) []string {
	for i := range 2 {
		w.cloud.mu.Lock()
		w.cloud.add("clerk-box", w.settings.zones[i], false, 0)
		w.cloud.mu.Unlock()
	}
	w.start()
	w.awaitReady(20 * time.Second)
	w.awaitOwners(10 * time.Second)
	j := w.newJob(spec{herd: "trial-balance", crew: "controllers", rank: "standard", loads: 4, cpus: 1, mem: 1.2, runS: 70, sizeGb: 0.5})
	w.submit(j, 20*time.Second)
	if !w.awaitRunning(j, 4*time.Second, 30*time.Second) {
		cannotRunIn(w, "the job does not run")
	}
	w.pollEach(j, 5*time.Second)
	if trouble {
		w.refusePeers(true)
	}
	w.pollEach(j, 20*time.Second)
	w.refusePeers(false)
	w.pollEach(j, 5*time.Second)
	return []string{"lag", "forgotten", "went_back"}
}

// refusePeers makes the controllers refuse each other's connections, and ends those that are open.
func (w *world) refusePeers(on bool) {
	w.note("controllers refuse each other's connections: %v", on)
	for _, n := range w.nodes {
		for _, l := range n.links {
			l.set(false, on)
		}
	}
}

// awaitRunning waits until a task of a job has been on its machine for some time.
func (w *world) awaitRunning(j *job, since, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.check.runningFor(j) >= since {
			return true
		}
	}
	return false
}

// pollEach polls a job at each controller once a second.
func (w *world) pollEach(j *job, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, n := range w.nodes {
			running := w.check.runningFor(j)
			if status, stance := w.poll(j, n.index); status == 200 && stance == "pending" && running > maxLag {
				w.check.violation("lag", "%s calls %s pending, one of its tasks has run for %.1f s", n.label, j.id, running.Seconds())
			}
		}
	}
}
