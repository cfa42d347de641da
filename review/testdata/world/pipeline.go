package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

// Bounds of the pipeline case.
const (
	pipelineJobs = 340
	// unansweredBound is the rule's: "a job about which no question is answered for 75 s counts
	// as forgotten, however others fare".
	unansweredBound = 75 * time.Second
	pollInterval    = 5 * time.Second
)

// pipeline: a pipeline of jobs, each of which names all earlier ones. Only the last has a deadline
// (not without the trouble). The first is asked about at all controllers.
func pipeline(w *world, trouble bool) {
	for _, zone := range w.zones {
		w.cloud.capacity[place(zone, true)] = 4
		w.cloud.capacity[place(zone, false)] = 2
	}
	w.cloud.mu.Lock()
	w.cloud.add("rubavu", true, 0)
	w.cloud.mu.Unlock()
	w.startNodes()
	var ids []string
	for i := range pipelineJobs - 1 {
		j := pipelineJob(i, ids)
		if !w.submit(j) {
			w.fail("%s is not accepted", j.id)
		}
		ids = append(ids, j.id)
	}
	last := pipelineJob(pipelineJobs-1, ids)
	if trouble {
		due := 900.0
		last.dueS = &due
	}
	go w.submit(last)
	w.watchAnswers(ids[0])
}

// pipelineJob returns a job of one task. The later a job, the longer it runs: 8 to 200 s.
func pipelineJob(i int, follows []string) *job {
	run := 8 * math.Pow(25, float64(i)/(pipelineJobs-1))
	if i == 0 {
		run = 200 // so that the others wait
	}
	j := quoteJob(fmt.Sprintf("job-%06d", 1000+i), 1, time.Duration(run*float64(time.Second)))
	j.follows = follows
	return j
}

// watchAnswers asks all controllers about a job every 5 s, as users do, each question with the
// 2 s that a user waits. The rule is broken if none is answered for longer than the bound.
func (w *world) watchAnswers(id string) {
	var mu sync.Mutex
	answeredAt := time.Now()
	longest := time.Duration(0)
	for began := time.Now(); time.Since(began) < unansweredBound+2*pollInterval; {
		next := time.Now().Add(pollInterval)
		var wait sync.WaitGroup
		for _, n := range w.nodes {
			wait.Go(func() {
				if status, _ := w.poll(id, n); status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					answeredAt = time.Now()
				}
			})
		}
		wait.Wait()
		longest = max(longest, time.Since(answeredAt))
		if longest > unansweredBound {
			w.finish(false, "no question about %s was answered for %.1f s, by any controller", id, longest.Seconds())
		}
		w.sleepUntil(next)
	}
	w.finish(true, "at most %.1f s without an answer about %s", longest.Seconds(), id)
}
