package main

import "time"

// waitBound is the bound of the rule: "Once the troubles are over, no job is left waiting for 90 s
// while a machine that fits has room and its team is under its limit."
const waitBound = 90 * time.Second

// lastCheck is when a case gives up watching.
const lastCheck = 115 * time.Second

func quoteJob(id string, cpus float64, run time.Duration) *job {
	return &job{
		id: id, class: "quote-runs", rank: "standard", loads: 1, cpus: cpus, memGB: 2.2, image: "img-01", imageGB: 0.6,
		run: run, spot: true,
	}
}

// watchWaiting polls a job of one task and ends the case: the rule is broken once the job has waited
// for longer than the bound, since the troubles were over, while a machine that fits had room.
func (w *world) watchWaiting(j *job, over time.Time) {
	startsBefore := w.startsOf(j.id)
	waitingSince := over
	nextPoll := time.Now()
	for polls := 0; time.Since(w.began) < lastCheck; time.Sleep(100 * time.Millisecond) {
		if w.isDone(j.id+"/0") || w.startsOf(j.id) > startsBefore || w.isOn(j.id+"/0") {
			w.finish(true, "%s runs or is done %.1f s after the troubles were over", j.id, time.Since(over).Seconds())
		}
		if !w.hasRoom(j) {
			waitingSince = time.Now()
		}
		if waited := time.Since(waitingSince); waited > waitBound {
			w.finish(false, "since the troubles were over %s has waited for %.1f s beside a machine that fits and has room", j.id, waited.Seconds())
		}
		if time.Now().After(nextPoll) {
			w.poll(j.id, w.nodes[polls%len(w.nodes)])
			polls++
			nextPoll = time.Now().Add(5 * time.Second)
		}
	}
	w.finish(true, "%s did not wait for %.0f s beside a machine that fits and has room", j.id, waitBound.Seconds())
}

// hasRoom reports whether a machine that the job may use is up, well and has room for one of its
// tasks.
func (w *world) hasRoom(j *job) bool {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, m := range w.cloud.machines {
		if (!m.spot || j.spot) && m.hasRoom(j) {
			return true
		}
	}
	return false
}

func (w *world) isOn(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.on[name] != ""
}

func (w *world) machineOf(name string) *machine {
	w.mu.Lock()
	on := w.on[name]
	w.mu.Unlock()
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	return w.cloud.byName(on)
}

func (w *world) await(seconds float64, what string, condition func() bool) {
	for !condition() {
		if time.Now().After(w.at(seconds)) {
			w.fail("not in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// avoided: the only machine fails every task that it starts for some seconds. A job of one task
// comes meanwhile.
func avoided(w *world, trouble bool) {
	w.cloud.capacity[place("rubavu", true)] = 4
	w.cloud.mu.Lock()
	m := w.cloud.add("rubavu", false, 0)
	w.cloud.mu.Unlock()
	if trouble {
		m.setSick(true)
	}
	w.startNodes()
	j := quoteJob("job-000412", 1, 20*time.Second)
	if !w.submit(j) {
		w.fail("%s is not accepted", j.id)
	}
	over := w.at(14)
	w.sleepUntil(over)
	if trouble {
		m.setSick(false)
		over = time.Now()
	} else {
		w.await(60, j.id+" is done", func() bool { return w.isDone(j.id + "/0") })
		w.finish(true, "%s is done", j.id)
	}
	w.watchWaiting(j, over)
}

// paddleJob is a job of one task of the size of a paddle-sweep's.
func paddleJob(id string, run time.Duration) *job {
	return &job{
		id: id, class: "paddle-sweep", rank: "best_effort", loads: 1, cpus: 0.25, memGB: 0.9, image: "img-07", imageGB: 0.5,
		run: run, spot: true,
	}
}

// smallTask: three machines hold a task of a quarter of a CPU each; the cloud takes one of them
// back. The other two tasks are soon done.
func smallTask(w *world, trouble bool) {
	for _, zone := range w.zones {
		w.cloud.capacity[place(zone, true)] = 4
		w.cloud.capacity[place(zone, false)] = 2
	}
	w.cloud.mu.Lock()
	for _, zone := range w.zones[:3] {
		w.cloud.add(zone, true, 0)
	}
	w.cloud.mu.Unlock()
	w.startNodes()
	// Each controller has one of these jobs.
	ids := []string{"job-000412", "job-000413", "job-000415"}
	for _, id := range ids {
		if !w.submit(paddleJob(id, 40*time.Second)) {
			w.fail("%s is not accepted", id)
		}
	}
	for _, id := range ids {
		w.await(14, id+" runs", func() bool { return w.isOn(id + "/0") })
	}
	m := w.machineOf(ids[0] + "/0")
	others := []*machine{w.machineOf(ids[1] + "/0"), w.machineOf(ids[2] + "/0")}
	if m == others[0] || m == others[1] {
		w.fail("the jobs share a machine")
	}
	if !trouble {
		w.await(100, ids[0]+" is done", func() bool { return w.isDone(ids[0] + "/0") })
		w.finish(true, "%s is done", ids[0])
	}
	m.takeBack(8 * time.Second)
	w.await(30, m.name+" is gone", m.gone)
	w.watchWaiting(w.jobOf(ids[0]+"/0"), time.Now())
}
