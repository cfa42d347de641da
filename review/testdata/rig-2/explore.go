package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	for _, site := range []string{"magnolia", "inkingi"} {
		makers["explore-"+site] = func(dir, run, record string, seed uint64) *world {
			s, types := magnolia(), clerkTypes()
			if site == "inkingi" {
				s, types = inkingi(), quadTypes()
			}
			w := newWorld(s, types, dir, run, record, seed)
			w.bootTime = func(*machineType) time.Duration { return 2*time.Second + time.Duration(w.draw(6000))*time.Millisecond }
			for _, t := range types {
				for _, zone := range t.zones {
					w.cloud.capacity[kindKey(t.name, zone, false)] = 4
					w.cloud.capacity[kindKey(t.name, zone, true)] = 6
				}
			}
			return w
		}
		scenarios["explore-"+site] = playExplore
	}
}

var allRules = []string{"crash", "ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "not_done", "went_back", "invented", "too_early", "orphaned", "stuck"}

func (w *world) randomSpec(earlier []*job) spec {
	s := spec{herd: []string{"trial-balance", "close-rush", "archive-roll", "quote-runs", "shaft-checks"}[w.draw(5)],
		crew: w.settings.teams[w.draw(len(w.settings.teams))].name, rank: []string{"standard", "high", "best_effort", "prod"}[w.draw(4)],
		loads: 1 + w.draw(12), cpus: []float64{0.5, 1, 2, 4}[w.draw(4)], mem: 1, runS: 1 + float64(w.draw(12)), image: fmt.Sprintf("img-%02d", w.draw(6)), sizeGb: float64(w.draw(15)) / 10}
	if w.chance(0.1) {
		s.loads = 30 + w.draw(60)
	}
	if w.chance(0.3) {
		s.restS, s.stowS = 3, float64(w.draw(3))
	}
	if w.chance(0.2) {
		s.paddock = w.settings.zones[w.draw(len(w.settings.zones))]
		if len(w.cloud.types) > 1 && w.chance(0.5) {
			s.paddock = "jackson"
		}
	}
	if w.chance(0.2) {
		s.oneZone = true
	}
	if w.chance(0.2) {
		s.apart = true
	}
	if w.chance(0.3) {
		s.noStrays = true
	}
	if w.chance(0.1) {
		s.dueS = 30
	}
	if w.chance(0.05) {
		s.broken = true
	}
	if w.chance(0.25) && len(earlier) > 0 && !w.anyOld() {
		for range 1 + w.draw(3) {
			s.follows = append(s.follows, earlier[len(earlier)-1-w.draw(min(len(earlier), 15))].id)
		}
		if s.rank == "prod" {
			s.rank = "high"
		}
	}
	return s
}

// playExplore runs users and faults at random for the time in EXPLORE, in seconds.
func playExplore(w *world, trouble bool) []string {
	d := 300 * time.Second
	if text := os.Getenv("EXPLORE"); text != "" {
		d, _ = time.ParseDuration(text)
	}
	for i := range 6 {
		w.cloud.mu.Lock()
		t := &w.cloud.types[0]
		w.cloud.add(t.name, t.zones[i%len(t.zones)], i%3 == 0, 0)
		w.cloud.mu.Unlock()
	}
	if old := os.Getenv("OLD_RUN"); old != "" {
		w.oldRun = old
		for _, n := range w.nodes {
			n.old = true
		}
	}
	w.start()
	w.awaitReady(20 * time.Second)
	var mu sync.Mutex
	var accepted []*job
	end := time.Now().Add(d)
	var users sync.WaitGroup
	if trouble {
		go w.randomFaults(end.Add(-40 * time.Second))
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+w.draw(900)) * time.Millisecond)
		mu.Lock()
		earlier := append([]*job{}, accepted...)
		mu.Unlock()
		j := w.newJob(w.randomSpec(earlier))
		users.Add(1)
		go func() {
			defer users.Done()
			status := w.submit(j, 60*time.Second)
			if status != 200 && status != 201 {
				return
			}
			mu.Lock()
			accepted = append(accepted, j)
			mu.Unlock()
			cancelAfter := time.Duration(-1)
			if w.chance(0.25) || j.broken {
				cancelAfter = time.Duration(w.draw(20)) * time.Second
			}
			began := time.Now()
			for !w.over() {
				if cancelAfter >= 0 && time.Since(began) > cancelAfter {
					w.withdraw(j, 90*time.Second)
					cancelAfter = -1
				}
				_, stance := w.poll(j, -1)
				if stance == "done" || stance == "cancelled" {
					break
				}
				time.Sleep(time.Duration(800+w.draw(2500)) * time.Millisecond)
			}
			for range 8 { // the final state must be kept
				time.Sleep(time.Duration(500+w.draw(4000)) * time.Millisecond)
				if w.over() {
					return
				}
				if w.chance(0.2) {
					w.submit(j, 3*time.Second)
				} else {
					w.poll(j, -1)
				}
			}
		}()
	}
	time.Sleep(60 * time.Second)
	mu.Lock()
	open := 0
	for _, j := range accepted {
		j.mu.Lock()
		if j.stance != "done" && j.stance != "cancelled" {
			open++
			w.note("OPEN %s %s done %d of %d paddock %q breeds %v one %v apart %v strays %v cpus %v follows %v broken %v", j.id, j.stance, len(j.done), j.loads, j.paddock, j.breeds, j.oneZone, j.apart, j.strays, j.cpus, j.follows, j.broken)
		}
		j.mu.Unlock()
	}
	fmt.Printf("%d accepted, %d open at the end\n", len(accepted), open)
	mu.Unlock()
	return allRules
}

// randomFaults makes faults that the pages name, one or two at a time.
func (w *world) randomFaults(end time.Time) {
	time.Sleep(10 * time.Second)
	for time.Now().Before(end) {
		n := w.nodes[w.draw(len(w.nodes))]
		if w.chance(0.6) {
			n = w.busiest()
		}
		d := time.Duration(3000+w.draw(25000)) * time.Millisecond
		kinds := []string{"crash", "crash", "crash-all", "roll", "freeze", "cut", "refused", "lose", "outage", "slow", "peers", "workers", "hang", "sick", "die", "taken", "mcut", "cloud"}
		kind := kinds[w.draw(len(kinds))]
		if only := os.Getenv("FAULTS"); only != "" {
			list := strings.Split(only, ",")
			kind = list[w.draw(len(list))]
		}
		w.note("FAULT %s %s %v", kind, n.label, d)
		after := func(f func()) { time.AfterFunc(d, f) }
		some := func(share float64, f func(m *machine)) {
			w.cloud.mu.Lock()
			machines := append([]*machine{}, w.cloud.machines...)
			w.cloud.mu.Unlock()
			for _, m := range machines {
				if w.chance(share) {
					m.mu.Lock()
					dead := m.dead
					m.mu.Unlock()
					if !dead {
						f(m)
					}
				}
			}
		}
		switch kind {
		case "crash":
			n.kill()
			time.AfterFunc(time.Duration(w.draw(6000))*time.Millisecond, n.start)
		case "upgrade":
			n.old = false
			n.kill()
			time.AfterFunc(time.Duration(w.draw(6000))*time.Millisecond, n.start)
		case "crash-all":
			for _, n := range w.nodes {
				n.kill()
				time.AfterFunc(time.Duration(w.draw(6000))*time.Millisecond, n.start)
			}
		case "roll":
			for _, n := range w.nodes {
				n.kill()
				time.Sleep(time.Duration(w.draw(3000)) * time.Millisecond)
				n.start()
				time.Sleep(5 * time.Second)
			}
		case "freeze":
			n.signal(syscall.SIGSTOP)
			after(func() { n.signal(syscall.SIGCONT) })
		case "cut":
			w.cutNode(n, true)
			after(func() { w.cutNode(n, false) })
		case "refused":
			w.state.setFault(n.index, stateFault{refused: true})
			after(func() { w.state.setFault(n.index, stateFault{}) })
		case "lose":
			w.state.setFault(n.index, stateFault{loseAnswers: true})
			after(func() { w.state.setFault(n.index, stateFault{}) })
		case "outage":
			w.state.setOutage(true)
			after(func() { w.state.setOutage(false) })
		case "slow":
			w.state.setDelay(time.Duration(80+w.draw(300)) * time.Millisecond)
			after(func() { w.state.setDelay(0) })
		case "peers":
			for _, n := range w.nodes {
				for _, l := range n.links {
					l.set(false, true)
				}
			}
			after(func() {
				for _, n := range w.nodes {
					for _, l := range n.links {
						l.set(false, false)
					}
				}
			})
		case "workers":
			n.cutFromWorkers.Store(true)
			after(func() { n.cutFromWorkers.Store(false) })
		case "hang":
			until := time.Now().Add(d)
			some(0.4, func(m *machine) { m.mu.Lock(); m.hungUntil = until; m.mu.Unlock() })
		case "sick":
			some(0.2, func(m *machine) {
				m.mu.Lock()
				m.sick = true
				m.mu.Unlock()
				after(func() { m.mu.Lock(); m.sick = false; m.mu.Unlock() })
			})
		case "die":
			some(0.2, func(m *machine) { m.remove("died") })
		case "taken":
			some(0.5, func(m *machine) {
				if !m.spot {
					return
				}
				m.mu.Lock()
				m.noticeAt = time.Now().Add(8 * time.Second)
				m.changed = true
				m.mu.Unlock()
				time.AfterFunc(8*time.Second, func() { m.remove("taken") })
			})
		case "mcut":
			some(0.4, func(m *machine) {
				m.mu.Lock()
				m.cut = true
				m.mu.Unlock()
				after(func() { m.mu.Lock(); m.cut = false; m.mu.Unlock() })
			})
		case "late-state":
			w.state.setFault(n.index, stateFault{late: time.Duration(2000+w.draw(20_000)) * time.Millisecond})
			after(func() { w.state.setFault(n.index, stateFault{}) })
		case "late-orders":
			late := time.Duration(2000+w.draw(20_000)) * time.Millisecond
			some(0.5, func(m *machine) {
				m.mu.Lock()
				m.lateOrders = late
				m.mu.Unlock()
				after(func() { m.mu.Lock(); m.lateOrders = 0; m.mu.Unlock() })
			})
		case "late-reports":
			late := time.Duration(5000+w.draw(30_000)) * time.Millisecond
			some(0.5, func(m *machine) {
				m.mu.Lock()
				m.lateReports = late
				m.mu.Unlock()
				after(func() { m.mu.Lock(); m.lateReports = 0; m.mu.Unlock() })
			})
		case "copies":
			some(0.5, func(m *machine) {
				m.mu.Lock()
				m.copies = true
				m.mu.Unlock()
				after(func() { m.mu.Lock(); m.copies = false; m.mu.Unlock() })
			})
		case "late-cloud":
			w.cloud.mu.Lock()
			w.cloud.late = time.Duration(2000+w.draw(20_000)) * time.Millisecond
			w.cloud.mu.Unlock()
			after(func() { w.cloud.mu.Lock(); w.cloud.late = 0; w.cloud.mu.Unlock() })
		case "cloud":
			w.cloud.mu.Lock()
			w.cloud.outage = true
			w.cloud.mu.Unlock()
			after(func() { w.cloud.mu.Lock(); w.cloud.outage = false; w.cloud.mu.Unlock() })
		}
		time.Sleep(time.Duration(2000+w.draw(15000)) * time.Millisecond)
	}
}

// anyOld reports whether a controller still runs the version in production.
func (w *world) anyOld() bool {
	for _, n := range w.nodes {
		if n.old {
			return true
		}
	}
	return false
}
