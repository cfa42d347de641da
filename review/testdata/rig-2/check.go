package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// onMachine is a task that is on a machine: it has its image and has not left.
type onMachine struct {
	m     *machine
	t     *task
	job   *job
	since time.Time
}

// checker checks the rules of the protocol page on what workers run and users are told.
type checker struct {
	w  *world
	mu sync.Mutex
	on []onMachine
	// accepted holds the last useful answer of each accepted job.
	lastAnswer map[string]time.Time
	pollFails  map[string]time.Time
	found      []string
	byRule     map[string]int
	starts     int
	answers    []time.Time // when users were told the state of a job
}

func newChecker(w *world) *checker {
	return &checker{w: w, lastAnswer: map[string]time.Time{}, pollFails: map[string]time.Time{}, byRule: map[string]int{}}
}

// violation records that a rule was broken.
func (c *checker) violation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violationLocked(rule, format, args...)
}

func (c *checker) violationLocked(rule, format string, args ...any) {
	text := fmt.Sprintf("%s: %s", rule, fmt.Sprintf(format, args...))
	c.found = append(c.found, fmt.Sprintf("%8.3f %s", c.w.at(), text))
	c.byRule[rule]++
	c.w.note("BROKEN %s", text)
}

func (c *checker) broken(rules ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rule := range rules {
		if c.byRule[rule] > 0 {
			return true
		}
	}
	return false
}

// started checks a task that has just got its image. The caller holds the machine's lock.
func (c *checker) started(m *machine, t *task, j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.w.note("%s starts %s mount %d", m, t.name, t.attempt)
	c.checkStart(m, t, j)
	c.on = append(c.on, onMachine{m, t, j, time.Now()})
	c.checkQuota(j.crew)
}

// startedDone checks the start of a task whose result exists already: it exits at once.
func (c *checker) startedDone(m *machine, t *task, j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.note("%s starts %s mount %d, already done", m, t.name, t.attempt)
	c.checkStart(m, t, j)
}

func (c *checker) checkStart(m *machine, t *task, j *job) {
	inZone, elsewhere := 0, false
	for _, other := range c.on {
		if other.t.name == t.name && other.m != m {
			c.violationLocked("ran_twice", "%s starts on %s while it is on %s", t.name, m.id, other.m.id)
		}
		if other.job == j && other.t.name != t.name {
			if other.m.zone == m.zone {
				inZone++
			} else {
				elsewhere = true
			}
		}
	}
	wrong := m.spot && !j.strays || j.breeds != nil && !slices.Contains(j.breeds, m.breed.name) || j.paddock != "" && j.paddock != m.zone
	wrong = wrong || j.oneZone && elsewhere || j.apart && inZone+1 > (j.loads+1)/2
	if wrong {
		c.violationLocked("wrong_place", "%s starts on %s", t.name, m)
	}
	j.mu.Lock()
	toldAt := j.toldAt
	j.mu.Unlock()
	if !toldAt.IsZero() && time.Since(toldAt) > c.w.settings.cancel {
		c.violationLocked("ran_cancelled", "%s starts on %s %.1f s after its user was told", t.name, m.id, time.Since(toldAt).Seconds())
	}
	for _, id := range j.follows {
		if needed, _ := c.w.jobOf(id + "/0"); needed != nil && !needed.allDone() {
			c.violationLocked("too_early", "%s starts before %s is done", t.name, id)
		}
	}
}

func (c *checker) checkQuota(crew string) {
	for _, t := range c.w.settings.teams {
		if t.name != crew || t.cpusMax == 0 {
			continue
		}
		used := 0.0
		for _, o := range c.on {
			if o.job.crew == crew {
				used += o.job.cpus
			}
		}
		if used > t.cpusMax+1e-6 {
			c.violationLocked("quota", "%s uses %.1f of %.1f CPUs", crew, used, t.cpusMax)
		}
	}
}

// ended records that a task has left its machine. The caller holds the machine's lock.
func (c *checker) ended(m *machine, t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.note("%s leaves %s mount %d", m.id, t.name, t.attempt)
	c.on = slices.DeleteFunc(c.on, func(o onMachine) bool { return o.m == m && o.t == t })
}

// told handles an answer with a job's state to its user.
func (c *checker) told(j *job, a answer, n *node) {
	stance := stanceOf(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, time.Now())
	delete(c.pollFails, j.id)
	all := j.allDone()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted = true
	if (j.stance == "done" || j.stance == "cancelled") && stance != j.stance {
		c.violationLocked("went_back", "%s was %s and is called %s by %s", j.id, j.stance, stance, n.label)
		return
	}
	if stance == "done" && !all {
		c.violationLocked("not_done", "%s is called done by %s, %d of %d tasks are", j.id, n.label, len(j.done), j.loads)
	}
	if stance == "cancelled" {
		if j.toldAt.IsZero() {
			j.toldAt = time.Now()
		}
		if j.askedAt.IsZero() && !c.mayBeCancelled(j) {
			c.violationLocked("went_back", "%s is called cancelled by %s, its user did not ask for that", j.id, n.label)
		}
	}
	j.stance = stance
}

// mayBeCancelled reports whether a job that it needs was withdrawn.
func (c *checker) mayBeCancelled(j *job) bool {
	for _, id := range j.follows {
		needed, _ := c.w.jobOf(id + "/0")
		if needed != nil && needed != j {
			needed.mu.Lock()
			asked := !needed.askedAt.IsZero()
			needed.mu.Unlock()
			if asked || c.mayBeCancelled(needed) {
				return true
			}
		}
	}
	return false
}

func (c *checker) polled(j *job, a answer, n *node) {
	j.mu.Lock()
	accepted := j.accepted
	j.mu.Unlock()
	switch {
	case a.status == http.StatusOK:
		c.told(j, a, n)
	case a.status == http.StatusNotFound && accepted:
		c.violation("forgotten", "%s was accepted and gets 404 from %s", j.id, n.label)
	case accepted:
		c.mu.Lock()
		since, failing := c.pollFails[j.id]
		if !failing {
			c.pollFails[j.id] = time.Now()
		} else if time.Since(since) > 90*time.Second {
			c.violationLocked("forgotten", "polls for %s have failed for %.0f s", j.id, time.Since(since).Seconds())
			c.pollFails[j.id] = time.Now()
		}
		c.mu.Unlock()
	}
}

// refused handles a final refusal of a submission.
func (c *checker) refused(j *job, status int) {
	j.mu.Lock()
	accepted := j.accepted
	j.mu.Unlock()
	if accepted {
		c.violation("forgotten", "%s was accepted, its repeated submission gets %d", j.id, status)
	}
}

// sweep checks what must hold at every moment.
func (c *checker) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	reported := map[string]bool{}
	for _, o := range c.on {
		o.job.mu.Lock()
		toldAt := o.job.toldAt
		o.job.mu.Unlock()
		if !toldAt.IsZero() && time.Since(toldAt) > c.w.settings.cancel && !reported[o.job.id] {
			reported[o.job.id] = true
			c.violationLocked("ran_cancelled", "%s is on %s %.1f s after its user was told", o.t.name, o.m.id, time.Since(toldAt).Seconds())
		}
	}
}

// longestSilence returns the longest time between two answers.
func (c *checker) longestSilence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for i := 1; i < len(c.answers); i++ {
		longest = max(longest, c.answers[i].Sub(c.answers[i-1]))
	}
	return longest
}

// runningFor returns for how long the task of a job that has been on its machine for the longest time
// has been there.
func (c *checker) runningFor(j *job) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for _, o := range c.on {
		if o.job == j {
			longest = max(longest, time.Since(o.since))
		}
	}
	return longest
}
