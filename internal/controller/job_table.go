package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// finalJob describes how a job ended.
type finalJob struct {
	state wire.JobState
	tasks int
	// broadcast is set while the other controllers are being notified of its cancellation.
	broadcast bool
	// recorded is set if the end is known from the job's record, and not only from another
	// controller's message.
	recorded bool
	endMS    int64 // time of day in milliseconds; 0 if not known
}

// answer returns the answer to a status request for the job.
func (f finalJob) answer() peer.JobResponse {
	a := peer.JobResponse{Status: http.StatusOK, State: f.state}
	if f.state == wire.StateDone {
		a.Done = f.tasks
	}
	return a
}

// finalJobs holds the most recently ended jobs, up to a limit.
type finalJobs struct {
	limit int
	byID  map[string]finalJob
	// ring holds the ids in byID. Once it is full, oldest is the index of the next id to evict.
	ring   []string
	oldest int
}

// add adds an ended job that byID does not contain, and evicts the oldest one if the limit is
// reached.
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

// jobTable holds all open jobs and a bounded number of ended ones.
type jobTable struct {
	open             map[string]*job
	finals           finalJobs
	pendingCreations map[string]*jobCreation
	// unusable holds the ids of jobs whose records this node can't use. Such jobs are in neither
	// open nor finals.
	unusable map[string]bool
	// dependents holds the open jobs that wait for a job, by the id of that job.
	dependents map[string]*dependentSet
	// unknownDependencies holds, for each id in dependents whose state is not known, the time from
	// which its record may be read.
	unknownDependencies map[string]micros.Micros
	// priorityUpdates holds the jobs whose effective priority or deadline is to be updated.
	priorityUpdates priorityUpdates
	// readsInFlight is the number of reads of unknown dependencies in flight.
	readsInFlight int
}

// init makes the table empty, with a limit of maxFinals ended jobs.
func (t *jobTable) init(maxFinals int) {
	t.open = map[string]*job{}
	t.finals = finalJobs{limit: maxFinals, byID: map[string]finalJob{}}
	t.pendingCreations = map[string]*jobCreation{}
	t.unusable = map[string]bool{}
	t.dependents = map[string]*dependentSet{}
	t.unknownDependencies = map[string]micros.Micros{}
}

// final returns how a job ended. ok is false if the job has not ended or its end was evicted from
// memory.
func (t *jobTable) final(id string) (f finalJob, ok bool) {
	f, ok = t.finals.byID[id]
	return f, ok
}

// recordedDone reports whether a job's record is known to say that the job is done.
func (t *jobTable) recordedDone(id string) bool {
	f, ended := t.final(id)
	return ended && f.recorded && f.state == wire.StateDone
}

// contains reports whether a job is in the table, open or ended.
func (t *jobTable) contains(id string) bool {
	_, ended := t.final(id)
	return ended || t.open[id] != nil
}

// recordFinal stores how a job ended and reports whether that is new information: the end was not
// known, or it was known only from another controller and is now confirmed by the job's record.
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

// startBroadcast marks an ended job as being broadcast. It returns false if the job is not in
// memory or was marked already.
func (t *jobTable) startBroadcast(id string) bool {
	f, ok := t.final(id)
	if !ok || f.broadcast {
		return false
	}
	f.broadcast = true
	t.finals.byID[id] = f
	return true
}
