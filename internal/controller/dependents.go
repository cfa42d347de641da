package controller

import (
	"container/heap"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// dependentSet holds the open jobs that wait for one job. It keeps the highest priority and the
// earliest start among them up to date, so that neither has to be looked up in all dependents.
// Adding, removing and updating a dependent takes a time logarithmic in the number of dependents.
type dependentSet struct {
	// jobs is a min-heap by latestStart, and position the index of each job in it. It implements
	// heap.Interface.
	jobs     []*job
	position map[*job]int
	// countByPriority holds the number of dependents of each effective priority.
	countByPriority wire.PriorityTable[int]
	// uncertain is set while this node does not know the state of the job for which the dependents
	// wait, or of a job for which that one waits; see settleDependency.
	uncertain bool
}

// newDependentSet returns an empty set.
func newDependentSet() *dependentSet { return &dependentSet{position: map[*job]int{}} }

// add adds a dependent that the set does not contain.
func (s *dependentSet) add(j *job) {
	s.countByPriority[j.priority]++
	heap.Push(s, j)
}

// remove removes a dependent if the set contains it.
func (s *dependentSet) remove(j *job) {
	i, contained := s.position[j]
	if !contained {
		return
	}
	s.countByPriority[j.priority]--
	heap.Remove(s, i)
}

// update restores the order of the set after the priority or the latest start of a dependent has
// changed.
func (s *dependentSet) update(j *job, formerPriority wire.Priority) {
	s.countByPriority[formerPriority]--
	s.countByPriority[j.priority]++
	heap.Fix(s, s.position[j])
}

// highestPriority returns the highest effective priority of the dependents, or the lowest of all
// priorities if there are none.
func (s *dependentSet) highestPriority() wire.Priority {
	for priority, count := range slices.Backward(s.countByPriority[:]) {
		if count > 0 {
			return wire.Priority(priority)
		}
	}
	return wire.PriorityLow
}

// earliestStart returns the earliest of the dependents' latest starts, or micros.Never.
func (s *dependentSet) earliestStart() micros.Micros {
	if len(s.jobs) == 0 {
		return micros.Never
	}
	return s.jobs[0].latestStart
}

// Len implements sort.Interface.
func (s *dependentSet) Len() int { return len(s.jobs) }

// Less implements sort.Interface.
func (s *dependentSet) Less(i, k int) bool { return s.jobs[i].latestStart < s.jobs[k].latestStart }

// Swap implements sort.Interface.
func (s *dependentSet) Swap(i, k int) {
	s.jobs[i], s.jobs[k] = s.jobs[k], s.jobs[i]
	s.position[s.jobs[i]] = i
	s.position[s.jobs[k]] = k
}

// Push implements heap.Interface. Callers use add.
func (s *dependentSet) Push(x any) {
	j := x.(*job)
	s.position[j] = len(s.jobs)
	s.jobs = append(s.jobs, j)
}

// Pop implements heap.Interface. Callers use remove.
func (s *dependentSet) Pop() any {
	last := len(s.jobs) - 1
	j := s.jobs[last]
	s.jobs = s.jobs[:last]
	delete(s.position, j)
	return j
}
