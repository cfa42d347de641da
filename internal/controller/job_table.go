package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// finalJob is how a job has ended.
type finalJob struct {
	state wire.JobState
	tasks int
	// broadcast is set while the other controllers are being notified of its cancellation.
	broadcast bool
	// recorded is set if its own record said so, not just another controller.
	recorded bool
	endMS    int64 // by the time of day; 0: not known
}

// answer is the answer to users who ask for the job.
func (f finalJob) answer() peer.JobResponse {
	a := peer.JobResponse{Status: http.StatusOK, State: f.state}
	if f.state == wire.StateDone {
		a.Done = f.tasks
	}
	return a
}

// finalJobs remembers the jobs that ended last, up to a limit.
type finalJobs struct {
	limit int
	byID  map[string]finalJob
	// ring are the ids in byID; once it is full, oldest is the index of the next to
	// forget.
	ring   []string
	oldest int
}

// add remembers a job that is not remembered, in place of the oldest if there are too many.
func (f *finalJobs) add(id string, final finalJob) {
	if len(f.ring) < f.limit {
		f.ring = append(f.ring, id)
	} else {
		delete(f.byID, f.ring[f.oldest])
		f.ring[f.oldest] = id
		f.oldest = (f.oldest + 1) % f.limit
	}
	f.byID[id] = final
}

// jobTable holds the jobs that are not over, and a bounded memory of those that are.
type jobTable struct {
	open             map[string]*job
	finals           finalJobs
	pendingCreations map[string]*jobCreation
	// unusable are jobs whose records this node can't use; they are neither open nor over.
	unusable map[string]bool
	// dependents are the open jobs that wait for a job, by its id, which may not be
	// known yet: then unknown says when to read it.
	dependents          map[string][]*job
	unknownDependencies map[string]micros.Micros
	// readsInFlight counts the reads of unknown jobs.
	readsInFlight int
}

// init prepares an empty table that remembers at most maxFinals jobs that are over.
func (t *jobTable) init(maxFinals int) {
	t.open = map[string]*job{}
	t.finals = finalJobs{limit: maxFinals, byID: map[string]finalJob{}}
	t.pendingCreations = map[string]*jobCreation{}
	t.unusable = map[string]bool{}
	t.dependents = map[string][]*job{}
	t.unknownDependencies = map[string]micros.Micros{}
}

// final returns how a job has ended; ok is false if it has not, or left memory.
func (t *jobTable) final(id string) (f finalJob, ok bool) {
	f, ok = t.finals.byID[id]
	return f, ok
}

// contains reports whether a job is in the table, open or over.
func (t *jobTable) contains(id string) bool {
	_, over := t.final(id)
	return over || t.open[id] != nil
}

// recordFinal takes how a job has ended, and reports whether that is news: its end was not
// known, or only by another controller's word and now by its record.
func (t *jobTable) recordFinal(id string, f finalJob) bool {
	old, ok := t.final(id)
	if !ok {
		t.finals.add(id, f)
		return true
	}
	if old.recorded || !f.recorded {
		return false
	}
	f.broadcast = old.broadcast
	t.finals.byID[id] = f
	return true
}

// startBroadcast marks a job that is over as broadcast, and reports whether it was not.
func (t *jobTable) startBroadcast(id string) bool {
	f, ok := t.final(id)
	if !ok || f.broadcast {
		return false
	}
	f.broadcast = true
	t.finals.byID[id] = f
	return true
}
