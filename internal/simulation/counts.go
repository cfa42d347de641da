package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// Counts counts the events of a run.
type Counts struct {
	// Started and Finished count tasks; DependentStarts counts starts of tasks whose jobs depend on
	// other jobs.
	Started, Finished, DependentStarts int
	// Restarts counts crashes of controllers, Frozen how often a controller was frozen.
	Restarts, Frozen int
	// CascadeCancelled counts the jobs of a cascade that are cancelled when it is checked.
	CascadeCancelled int
	// StatusRequests counts the rounds of requests made for Plan.StatusRequestRate, each to all
	// controllers. RefusedRequests counts the answers with status 503 to those about unknown jobs.
	StatusRequests, RefusedRequests int
	// EndedTaskStops counts tasks that were stopped because their jobs had ended and were no longer
	// kept in memory.
	EndedTaskStops int
	// StaleEpisodes counts the episodes in which controllers acted on stale views of jobs.
	StaleEpisodes int
	// DuplicateHeartbeats counts duplicates of heartbeats; Unreachable counts how often a machine
	// was made unreachable.
	DuplicateHeartbeats, Unreachable int
	// CommandCopies counts the late copies of direct commands, RepeatedStarts the attempts of done
	// jobs that they started again.
	CommandCopies, RepeatedStarts int
	// ZoneCuts counts how often a zone was cut off; Died and Hung count machines.
	ZoneCuts, Died, Hung int
	// ScarceFaults counts the faults of Plan.Scarce.
	ScarceFaults int
	// LongestInputWait is the longest time that an input waited in the backlog of a slow
	// controller.
	LongestInputWait micros.Micros
	// ReturnedBusy counts machines that were returned while running tasks, in plans without a fault
	// that explains it.
	ReturnedBusy int
	// LimitsSet counts the limits of groups that operators set or cleared, GroupWrites the writes
	// of group records.
	LimitsSet, GroupWrites int
	// Heartbeats is the cost of the steps that handle a heartbeat, Rounds the cost of the steps that
	// run a scheduling round over whole shards or walk over all machines and jobs.
	Heartbeats, Rounds workSum
	// CommandedBySingle is the number of machines that the single remaining controller commanded,
	// UpWithSingle the number of machines that were up at that time.
	CommandedBySingle, UpWithSingle int
	// Concurrent counts the events of concurrent faults.
	Concurrent ConcurrentCounts
}

// ConcurrentCounts counts the events of concurrent faults.
type ConcurrentCounts struct {
	UnansweredWrites   int // transactions executed at once or late, without an answer
	ReplayedHeartbeats int
	CutHeartbeats      int // machines that could reach no controller
	Cancelled          int // running jobs that were cancelled
	CancelledAtEnd     int // jobs that were cancelled as their last task completed
	RepeatedRequests   int
	InvalidRequests    int
	LongOutages        int
}

// workSum sums the cost of the steps of one kind, measured in visited machines, jobs and attempts.
type workSum struct {
	steps, visited, maxVisited uint64
}

func (w *workSum) add(visited uint64) {
	w.steps++
	w.visited += visited
	w.maxVisited = max(w.maxVisited, visited)
}

// mean returns the average number of items that a step visited.
func (w workSum) mean() float64 { return float64(w.visited) / float64(max(w.steps, 1)) }

// countWork adds the cost of one step of a controller to the sum for its kind of step.
func (s *Simulation) countWork(in controller.Input, work controller.Work) {
	if work.Round {
		s.Rounds.add(work.Visited)
	} else if _, ok := in.(controller.Heartbeat); ok {
		s.Heartbeats.add(work.Visited)
	}
}
