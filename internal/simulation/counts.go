package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// Counts are what has happened in a run.
type Counts struct {
	// Started and Finished count tasks, DependentStarts those of jobs that depend on others.
	Started, Finished, DependentStarts int
	// Restarts counts ends of controllers, Frozen those that were frozen for a while.
	Restarts, Frozen int
	// CascadeCancelled counts the jobs of a cascade that are cancelled at its end.
	CascadeCancelled int
	// StatusRequests counts those that a plan's StatusRequestRate asks for, RefusedRequests the
	// answers that could not be given.
	StatusRequests, RefusedRequests int
	// EndedTaskStops counts tasks that were stopped since their jobs had ended and left memory.
	EndedTaskStops int
	// StaleEpisodes counts the times in which controllers acted on stale views of jobs.
	StaleEpisodes int
	// DuplicateHeartbeats counts late copies, Unreachable machines that could not be reached.
	DuplicateHeartbeats, Unreachable int
	// ZoneCuts counts zones that were cut off; Died and Hung count machines.
	ZoneCuts, Died, Hung int
	// LongestInputWait is the longest that an input waited for a slow controller.
	LongestInputWait micros.Micros
	// ReturnedBusy counts machines that were returned with work on them although nothing was
	// wrong.
	ReturnedBusy int
	// LimitsSet counts limits of groups that operators have set, GroupWrites writes of
	// groups' records.
	LimitsSet, GroupWrites int
	// Heartbeats and Rounds are what a heartbeat, and a round in which a controller visits
	// whole shards, cost.
	Heartbeats, Rounds workSum
	// CommandedBySingle counts the machines that one controller commanded while it was the
	// only one, UpWithSingle those that were up then.
	CommandedBySingle, UpWithSingle int
	// Concurrent counts the events of concurrent faults.
	Concurrent ConcurrentCounts
}

// ConcurrentCounts count the events of concurrent faults.
type ConcurrentCounts struct {
	UnansweredWrites   int // carried out late, or without an answer
	ReplayedHeartbeats int
	CutHeartbeats      int // machines that reach no controller
	Cancelled          int // jobs that run
	CancelledAtEnd     int // jobs whose last task ended at that moment
	RepeatedRequests   int
	InvalidRequests    int
	LongOutages        int
}

// workSum adds up what steps of one kind cost.
type workSum struct {
	steps, visited, maxVisited uint64
}

func (w *workSum) add(visited uint64) {
	w.steps++
	w.visited += visited
	w.maxVisited = max(w.maxVisited, visited)
}

// mean returns how much one step visited.
func (w workSum) mean() float64 { return float64(w.visited) / float64(max(w.steps, 1)) }

// countWork adds what one input made a controller visit.
func (s *Simulation) countWork(in controller.Input, work controller.Work) {
	if work.Round {
		s.Rounds.add(work.Visited)
	} else if _, ok := in.(controller.Heartbeat); ok {
		s.Heartbeats.add(work.Visited)
	}
}
