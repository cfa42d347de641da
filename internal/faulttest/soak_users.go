package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

const (
	// maxUnanswered is how long requests about a job may go unanswered.
	maxUnanswered = 75 * time.Second
	// userRequestTimeout is the timeout of a user's request.
	userRequestTimeout = 2 * time.Second
	// submitPause is how long a user waits before a submission is retried.
	submitPause = 200 * time.Millisecond
	// maxCancelDelay is the longest time that a user waits before it cancels a submitted job.
	maxCancelDelay = 15 * time.Second
	// firstUnknownJob is the number of the first of the unknownJobCount jobs that nobody
	// submits.
	firstUnknownJob = 800_000
	unknownJobCount = 100_000
	// unknownJobsSeedStream, and the streams from firstUserSeedStream on, separate the random
	// numbers of users from others of the same seed. jobNumbersPerUser is how many job numbers
	// each user has.
	unknownJobsSeedStream = 99
	firstUserSeedStream   = 100
	jobNumbersPerUser     = 1000
	// dependentInterval is after how many jobs a user submits one that depends on the last one.
	dependentInterval = 3
)

// soak is a running soak: its cluster and what its users have observed.
type soak struct {
	cluster *Cluster
	plan    SoakPlan

	mu         sync.Mutex // guards the fields below, and the jobs' fields
	jobs       []*soakJob
	answers    int
	violations []string
	// unknownJobRequests counts the requests of requestUnknownJobs, and refused those of them
	// that got neither status 200 nor 404.
	unknownJobRequests, refused int
	// longestUnanswered is the longest time that requests about an accepted job went unanswered.
	longestUnanswered time.Duration
}

// soakJob is a job as seen by its user.
type soakJob struct {
	id              string
	tasks           int
	cancelRequested bool
	finalState      wire.JobState // empty: none was reported
	cancelledAt     time.Time     // when it was first reported as cancelled
	answeredAt      time.Time     // when a request about it was last answered, or it was accepted
	dependsOn       *soakJob      // nil: it depends on no job
}

// mayBeCancelled reports whether the cancellation of the job, or of one that it depends on, was
// requested. The caller holds the lock.
func (j *soakJob) mayBeCancelled() bool {
	return j.cancelRequested || j.dependsOn != nil && j.dependsOn.mayBeCancelled()
}

// requestUnknownJobs requests the status of jobs that nobody submitted from all controllers, at a
// fixed rate that does not depend on the answers.
func (s *soak) requestUnknownJobs(until time.Time) {
	r := rand.New(rand.NewPCG(s.plan.Seed, unknownJobsSeedStream))
	interval := time.Duration(float64(time.Second) / s.plan.UnknownJobRequestRate)
	var wait sync.WaitGroup
	for time.Now().Before(until) {
		id := fmt.Sprintf("job-%06d", firstUnknownJob+r.IntN(unknownJobCount))
		for node := range s.cluster.nodes {
			wait.Go(func() { s.requestUnknownJob(node, id) })
		}
		s.cluster.pause(interval)
	}
	wait.Wait()
}

func (s *soak) requestUnknownJob(node int, id string) {
	status, _ := s.send(node, "GET", wire.JobStatusPath(id), nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknownJobRequests++
	switch status {
	case http.StatusOK:
		s.addViolationLocked("invented: %s, which nobody submitted, is known at node %d", id, node)
	case http.StatusNotFound:
	default:
		s.refused++
	}
}

// runUser is one user, who submits one job after the other until the given time, cancels most of
// them, and now and then requests a job's status from all controllers within milliseconds, twice.
// Some jobs get a dependent as soon as they are accepted.
func (s *soak) runUser(number int, until time.Time) {
	r := rand.New(rand.NewPCG(s.plan.Seed, uint64(firstUserSeedStream+number)))
	newJob := func(n int) *soakJob {
		return &soakJob{id: fmt.Sprintf("job-%06d", number*jobNumbersPerUser+n), tasks: 1 + r.IntN(24)}
	}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		j := newJob(n)
		if !s.submit(j, r, until) {
			continue
		}
		if n%dependentInterval == 0 {
			n++
			dependent := newJob(n)
			dependent.dependsOn = j
			if s.submit(dependent, r, until) {
				own := rand.New(rand.NewPCG(s.plan.Seed, r.Uint64()))
				wait.Go(func() { s.trackJob(dependent, own, until) })
			}
		}
		s.trackJob(j, r, until)
		wait.Wait()
	}
}

// trackJob requests the status of a job until the job has ended, and may cancel it.
func (s *soak) trackJob(j *soakJob, r *rand.Rand, until time.Time) {
	cancelAt := time.Now().Add(time.Duration(r.IntN(int(maxCancelDelay.Milliseconds()))) * time.Millisecond)
	cancels := r.IntN(4) > 0
	for time.Now().Before(until) && !s.hasEnded(j) {
		node := r.IntN(len(s.cluster.nodes))
		if cancels && time.Now().After(cancelAt) {
			s.setCancelRequested(j)
			s.request(j, node, "POST", wire.CancelJobPath(j.id))
		} else {
			s.request(j, node, "GET", wire.JobStatusPath(j.id))
		}
		if s.hasEnded(j) || r.IntN(6) == 0 {
			s.requestFromAll(j)
		}
		s.cluster.pause(time.Duration(300+r.IntN(700)) * time.Millisecond)
	}
}

func (s *soak) hasEnded(j *soakJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.finalState != ""
}

func (s *soak) setCancelRequested(j *soakJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.cancelRequested = true
}

// submit submits a job, with retries, and reports whether it was accepted.
func (s *soak) submit(j *soakJob, r *rand.Rand, until time.Time) bool {
	submission := s.cluster.submission(j.id, j.tasks, 20)
	if j.dependsOn != nil {
		submission.DependsOn = []string{j.dependsOn.id}
	}
	body, err := fakes.Encode(submission)
	if err != nil {
		s.addViolation("submission: %v", err)
		return false
	}
	for time.Now().Before(until) {
		status, _ := s.send(r.IntN(len(s.cluster.nodes)), "POST", wire.PathSubmissions, body)
		switch status {
		case http.StatusOK, http.StatusCreated:
			s.addJob(j)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			s.addViolation("a valid submission of %s got status %d", j.id, status)
			return false
		}
		s.cluster.pause(submitPause)
	}
	return false
}

func (s *soak) addJob(j *soakJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.answeredAt = time.Now()
	s.jobs = append(s.jobs, j)
}

// send sends one request to a controller. Status 0 means no answer, or one that cannot be decoded.
func (s *soak) send(node int, method, path string, body []byte) (status int, answer wire.JobAnswer) {
	msg, err := fakes.RequestOnce(s.cluster.nodes[node].settings.ServeOn, userRequestTimeout, method, path, body)
	if err != nil {
		return 0, answer
	}
	if msg.Status == http.StatusOK || msg.Status == http.StatusCreated {
		if wire.Decode(msg.Body, &answer) != nil {
			return 0, answer
		}
	}
	return msg.Status, answer
}

// requestFromAll requests a job's status from all controllers twice, within milliseconds.
func (s *soak) requestFromAll(j *soakJob) {
	var wait sync.WaitGroup
	for i := range 2 * len(s.cluster.nodes) {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			s.request(j, i%len(s.cluster.nodes), "GET", wire.JobStatusPath(j.id))
		})
	}
	wait.Wait()
}

// request sends a controller a request for a job's status, or to cancel the job, and checks the
// answer. The answer has to agree only with what was reported before the request was sent.
func (s *soak) request(j *soakJob, node int, method, path string) {
	before := s.finalState(j)
	status, answer := s.send(node, method, path, nil)
	switch status {
	case http.StatusNotFound:
		s.addViolation("forgotten: %s got status 404 from node %d", j.id, node)
	case http.StatusOK:
		s.checkAnswer(j, node, before, answer.State)
	}
}

func (s *soak) finalState(j *soakJob) wire.JobState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.finalState
}

// checkAnswer checks a job's state in an answer against the final state that was reported before.
func (s *soak) checkAnswer(j *soakJob, node int, before, state wire.JobState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	s.checkAnswerGap(j, time.Now())
	if before != "" && state != before {
		s.addViolationLocked("went_back: %s was %s, node %d reports %s", j.id, before, node, state)
	}
	switch state {
	case wire.StateCancelled:
		if !j.mayBeCancelled() {
			s.addViolationLocked("went_back: %s is reported as cancelled, but nobody requested that", j.id)
		}
		if j.cancelledAt.IsZero() {
			j.cancelledAt = time.Now()
		}
		j.finalState = state
	case wire.StateDone:
		j.finalState = state
	}
}

// checkAnswerGap checks how long requests about a job went unanswered. The caller holds the lock.
func (s *soak) checkAnswerGap(j *soakJob, now time.Time) {
	waited := now.Sub(j.answeredAt)
	s.longestUnanswered = max(s.longestUnanswered, waited)
	if waited > maxUnanswered {
		s.addViolationLocked("forgotten: no request about %s was answered for %.1f s", j.id, waited.Seconds())
	}
	j.answeredAt = now
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addViolationLocked(format, args...)
}

func (s *soak) addViolationLocked(format string, args ...any) {
	at := time.Since(s.cluster.server.Clock.Began())
	s.violations = append(s.violations, fmt.Sprintf("%.1f s: ", at.Seconds())+fmt.Sprintf(format, args...))
}
