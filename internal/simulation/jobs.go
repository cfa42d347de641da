package simulation

import (
	"fmt"

	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// firstJob is the number in the ID of the first job, jobStep the difference between the numbers
	// of consecutive jobs.
	firstJob = 100000
	jobStep  = 37
	// Ranges of numbers of jobs that no user submits: those that users poll, those of the requests
	// for Plan.StatusRequestRate, and those of invalid submissions.
	firstUnknownPolled  = 900000
	unknownPolledCount  = 1000
	firstUnknownRequest = 800000
	unknownRequestCount = 100_000
	firstUnknownInvalid = 700000
	unknownInvalidCount = 1000
)

func jobID(number int) string { return fmt.Sprintf("job-%06d", number) }

// drawUnknownJob draws the ID of a job that no user submits from count numbers beginning with
// first.
func (s *Simulation) drawUnknownJob(first, count int) string {
	return jobID(first + s.rng.IntN(count))
}

// newUser returns a user with a random job; i is the number of users before it.
func newUser(s *Simulation, i int) *user {
	u := &user{sim: s, Job: fakes.Job{Submission: s.drawSubmission(i), Done: map[int]bool{}}}
	u.willCancel = s.rng.IntN(6) == 0
	if s.rng.IntN(12) == 0 {
		u.AlwaysFails = true
		u.willCancel = true
	}
	if s.plan.Churn {
		u.adaptToChurn(i)
	}
	if s.plan.Scarce {
		u.adaptToScarcity()
	}
	shortest, longest := u.drawTaskDurations()
	for range u.Submission.Tasks {
		u.TaskDurations = append(u.TaskDurations, s.between(shortest, longest))
	}
	u.Progress = make([]micros.Micros, u.Submission.Tasks)
	return u
}

// drawSubmission draws the submission of the job with index i.
func (s *Simulation) drawSubmission(i int) wire.Submission {
	r := s.rng
	sub := wire.Submission{
		ID: jobID(firstJob + i*jobStep), Class: "plain", Team: s.plan.Teams[r.IntN(len(s.plan.Teams))].Name,
		Kind: "sweep", Priority: "standard", Tasks: 1 + r.IntN(10), CPUs: float64(1 + r.IntN(2)), MemGB: 2,
		Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGB: 1, Spot: true, EstimateS: 6,
	}
	switch r.IntN(6) {
	case 0:
		sub.Class = "rush"
		sub.Priority = urgentPriority(i)
		sub.Tasks = 1 + r.IntN(3)
	case 1:
		sub.Priority = "best_effort"
		sub.CheckpointS = 3
		sub.SaveS = 1
		sub.CPUs = 4
	case 2:
		sub.SameZone = true
	case 3:
		sub.Spread = true
	case 4:
		sub.Spot = false
		sub.Types = []string{"small"}
	}
	if s.plan.Large {
		sub.Tasks = s.drawLargeTasks(sub.Class)
	}
	return sub
}

// urgentPriority returns the priority of the urgent job with index i: one of the two highest, in
// turn.
func urgentPriority(i int) string {
	words := wire.PriorityWords()
	return words[len(words)-1-i%2]
}

// drawLargeTasks draws the number of tasks of a job of a large plan.
func (s *Simulation) drawLargeTasks(class string) int {
	tasks := 1 + s.rng.IntN(40)
	if s.rng.IntN(3) == 0 {
		tasks = 100 + s.rng.IntN(300)
	}
	if class == "rush" {
		tasks = 1 + s.rng.IntN(30)
	}
	return tasks
}

// adaptToChurn changes the job for Plan.Churn: it has one small task, and every fourth job is
// cancelled.
func (u *user) adaptToChurn(i int) {
	u.Submission.Tasks = 1
	u.Submission.CPUs = 1
	u.Submission.SameZone = false
	u.Submission.Spread = false
	u.AlwaysFails = false
	u.willCancel = i%4 == 0
}

// drawTaskDurations returns the range of the durations of the job's tasks. For long durations it
// reduces the number of tasks and adapts the job's other fields.
func (u *user) drawTaskDurations() (shortest, longest micros.Micros) {
	s := u.sim
	shortest, longest = 2*sec, 12*sec
	if s.plan.Scarce {
		return shortest, longestScarceTask
	}
	if u.willCancel {
		longest = micros.Minute // shorter jobs would end before the deadline of their cancellation
	}
	if s.plan.hasLongTasks() && !s.plan.Churn && s.rng.IntN(3) == 0 {
		longest = 50 * sec // few tasks that end far apart, so that there are running jobs to cancel
		u.Submission.Tasks = min(u.Submission.Tasks, 3)
	}
	if s.plan.ReconnectionWaves {
		longest = micros.Minute // keeps the whole fleet busy all the time
		u.Submission.EstimateS = longest.Seconds() / 2
	}
	if s.plan.LongOutage && s.rng.IntN(2) == 0 {
		// A task that is wrongly left running must still run at the deadline of its cancellation,
		// so that the checks see it.
		shortest = s.cfg.CancelWithin + 15*sec
		longest = s.cfg.CancelWithin + 40*sec
		u.AlwaysFails = false
		u.willCancel = false
		u.Submission.Tasks = min(u.Submission.Tasks, 2)
		u.Submission.CPUs = 1
		u.Submission.EstimateS = s.cfg.CancelWithin.Seconds()
	}
	return shortest, longest
}
