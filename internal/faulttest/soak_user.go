package faulttest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

// soak is one under way: its cluster and what its users have seen.
type soak struct {
	cluster *Cluster
	plan    SoakPlan
	mu      sync.Mutex
	jobs    []*soakJob
	answers int
	broken  []string
	// questions and refused count what askAboutOthers asked, and what was not answered.
	questions, refused int
	unanswered         time.Duration // the longest
}

// soakJob is a job as its user knows it.
type soakJob struct {
	id         string
	tasks      int
	asked      bool      // for cancellation
	finalState string    // the final state that was told
	cancelled  time.Time // when "cancelled" was first told
	answered   time.Time // when a question about it was last answered, or it was accepted
}

// maxUnanswered is how long a job may be asked about in vain.
const maxUnanswered = 75 * time.Second

// askAboutOthers asks all controllers about jobs that nobody submitted, at a pace that does
// not wait for answers.
func (s *soak) askAboutOthers(until time.Time) {
	r := rand.New(rand.NewPCG(s.plan.Seed, 99))
	var wait sync.WaitGroup
	for time.Now().Before(until) {
		id := fmt.Sprintf("job-%06d", 800_000+r.IntN(100_000))
		for node := range s.cluster.nodes {
			wait.Add(1)
			go func() {
				defer wait.Done()
				s.askAboutOther(node, id)
			}()
		}
		s.cluster.pause(time.Duration(float64(time.Second) / s.plan.Questions))
	}
	wait.Wait()
}

func (s *soak) askAboutOther(node int, id string) {
	status, _ := s.ask(node, "GET", "/submissions/"+id, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.questions++
	switch status {
	case 200:
		s.brokenLocked("invented: %s at node %d", id, node)
	case 404:
	default:
		s.refused++
	}
}

// noteAnswer notes that a question about a job was answered. The lock is held.
func (s *soak) noteAnswer(j *soakJob, now time.Time) {
	waited := now.Sub(j.answered)
	s.unanswered = max(s.unanswered, waited)
	if waited > maxUnanswered {
		s.brokenLocked("forgotten: no question about %s was answered for %.1f s", j.id, waited.Seconds())
	}
	j.answered = now
}

// user submits one job after the other until the end; it cancels most, asks all nodes within
// milliseconds, and repeats.
func (s *soak) user(number int, until time.Time) {
	r := rand.New(rand.NewPCG(s.plan.Seed, uint64(100+number)))
	for n := 0; time.Now().Before(until); n++ {
		j := &soakJob{id: fmt.Sprintf("job-%06d", number*1000+n), tasks: 1 + r.IntN(24)}
		if !s.submit(j, r, until) {
			continue
		}
		cancelAt := time.Now().Add(time.Duration(r.IntN(15_000)) * time.Millisecond)
		cancels := r.IntN(4) > 0
		for time.Now().Before(until) && !s.over(j) {
			if cancels && time.Now().After(cancelAt) {
				s.setAsked(j)
				s.request(j, r, "POST", "/withdraw")
			} else {
				s.request(j, r, "GET", "")
			}
			if s.over(j) || r.IntN(6) == 0 {
				s.askAll(j)
			}
			s.cluster.pause(time.Duration(300+r.IntN(700)) * time.Millisecond)
		}
	}
}

func (s *soak) over(j *soakJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.finalState != ""
}

func (s *soak) setAsked(j *soakJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.asked = true
}

// submit submits a job until it is taken.
func (s *soak) submit(j *soakJob, r *rand.Rand, until time.Time) bool {
	sub := wire.Submission{ID: j.id, Class: "c", Kind: "sweep", Priority: "standard", Team: s.cluster.teamOf(j.id), Tasks: j.tasks, CPUs: 1, MemGB: 1,
		Image: "i", ImageGB: 1, Spot: true, EstimateS: 20}
	body, err := wire.Encode(sub)
	if err != nil {
		s.breaks("submission: %v", err)
		return false
	}
	for time.Now().Before(until) {
		status, _ := s.ask(r.IntN(len(s.cluster.nodes)), "POST", "/submissions", body)
		switch status {
		case 200, 201:
			s.mu.Lock()
			j.answered = time.Now()
			s.jobs = append(s.jobs, j)
			s.mu.Unlock()
			return true
		case 400, 422:
			s.breaks("a good submission of %s got %d", j.id, status)
			return false
		}
		s.cluster.pause(200 * time.Millisecond)
	}
	return false
}

// ask sends one request to a controller.
func (s *soak) ask(node int, method, path string, body []byte) (int, wire.JobAnswer) {
	msg, err := fakes.RequestOnce(s.cluster.nodes[node].set.ServeOn, 2*time.Second, method, path, body)
	var answer wire.JobAnswer
	if err != nil {
		return 0, answer
	}
	if msg.Status == 200 || msg.Status == 201 {
		if wire.Decode(msg.Body, &answer) != nil {
			return 0, answer
		}
	}
	return msg.Status, answer
}

// request asks one node about a job, or to cancel it.
func (s *soak) request(j *soakJob, r *rand.Rand, method, what string) {
	s.hear(j, r.IntN(len(s.cluster.nodes)), method, what)
}

// askAll asks all nodes at once, twice.
func (s *soak) askAll(j *soakJob) {
	var wait sync.WaitGroup
	for i := range 2 * len(s.cluster.nodes) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * time.Millisecond)
			s.hear(j, i%len(s.cluster.nodes), "GET", "")
		}()
	}
	wait.Wait()
}

// hear holds an answer against what had been told before its request was sent.
func (s *soak) hear(j *soakJob, node int, method, what string) {
	s.mu.Lock()
	before := j.finalState
	s.mu.Unlock()
	status, answer := s.ask(node, method, "/submissions/"+j.id+what, nil)
	if status == 404 {
		s.breaks("forgotten: %s got 404 from node %d", j.id, node)
		return
	}
	if status != 200 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	s.noteAnswer(j, time.Now())
	if before != "" && answer.State != before {
		s.brokenLocked("went_back: %s was %s, node %d calls it %s", j.id, before, node, answer.State)
	}
	switch answer.State {
	case wire.StateCancelled:
		if !j.asked {
			s.brokenLocked("went_back: %s is called cancelled, nobody asked for it", j.id)
		}
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
		}
		j.finalState = answer.State
	case wire.StateDone:
		j.finalState = answer.State
	}
}

func (s *soak) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenLocked(format, args...)
}

func (s *soak) brokenLocked(format string, args ...any) {
	at := time.Since(s.cluster.server.Clock.Began())
	s.broken = append(s.broken, fmt.Sprintf("%.1f s: ", at.Seconds())+fmt.Sprintf(format, args...))
}
