package faulttest

import (
	"fmt"
	"sync"
	"time"

	"garnethitch/internal/wire"
)

const (
	// copiesPerCommand is how many copies of each direct command that a worker has carried out
	// arrive, in clusters with late copies.
	copiesPerCommand = 3
	// minCopyDelay, maxEarlyCopyDelay and maxCopyDelay bound how long after a direct command its
	// copies arrive. Half of them arrive within maxEarlyCopyDelay.
	minCopyDelay      = 50 * time.Millisecond
	maxEarlyCopyDelay = 8 * time.Second
	maxCopyDelay      = 90 * time.Second
)

// repeatedStart is the start of an attempt that its worker had before and has forgotten. Only a late
// copy of a direct command causes it.
type repeatedStart struct {
	task, machine string
	at            time.Time
	// completed is how many tasks of the job were completed at that time.
	completed int
}

// lateCopies records the copies of direct commands in a cluster and what they have started, and which
// tasks are completed. It is safe for concurrent use.
type lateCopies struct {
	mu             sync.Mutex
	executed       int // copies that a worker did not refuse
	starts         []repeatedStart
	completedTasks map[string]bool
	completedByJob map[string]int
}

func newLateCopies() *lateCopies {
	return &lateCopies{completedTasks: map[string]bool{}, completedByJob: map[string]int{}}
}

// complete records that a task is completed. Its result is kept.
func (l *lateCopies) complete(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.completedTasks[task] {
		l.completedTasks[task] = true
		l.completedByJob[jobOf(task)]++
	}
}

// completed reports whether a task is completed.
func (l *lateCopies) completed(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completedTasks[task]
}

// addStart records the start of an attempt that its worker had before.
func (l *lateCopies) addStart(task, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, repeatedStart{task: task, machine: machine, at: time.Now(), completed: l.completedByJob[jobOf(task)]})
}

// addExecuted counts a copy that a worker has not refused.
func (l *lateCopies) addExecuted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executed++
}

// counts returns how many copies were executed, and how many attempts they have started again.
func (l *lateCopies) counts() (executed, repeatedStarts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executed, len(l.starts)
}

// check describes the repeated starts of tasks whose job was not wholly completed. tasks returns the
// number of tasks of a job.
func (l *lateCopies) check(tasks func(job string) int) (violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, start := range l.starts {
		if want := tasks(jobOf(start.task)); start.completed < want {
			violations = append(violations, fmt.Sprintf("repeated: a late copy started %s on %s again while %d of %d tasks of its job were completed", start.task, start.machine, start.completed, want))
		}
	}
	return violations
}

// copyLater delivers copies of a direct command that the machine has carried out, if the cluster has
// late copies. Their answers are lost.
func (m *machine) copyLater(command wire.DirectCommand) {
	c := m.cluster
	if !c.plan.LateCopies || len(command.Commands) == 0 {
		return
	}
	for range copiesPerCommand {
		longest := maxCopyDelay
		if c.chance(0.5) {
			longest = maxEarlyCopyDelay
		}
		delay := minCopyDelay + time.Duration(c.draw(int((longest-minCopyDelay).Milliseconds())))*time.Millisecond
		time.AfterFunc(delay, func() { m.executeCopy(command) })
	}
}

// executeCopy executes a late copy of a direct command, unless the worker refuses it or it does not
// arrive.
func (m *machine) executeCopy(command wire.DirectCommand) {
	if m.cluster.ctx.Err() != nil || !m.awaitReachable() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	if m.agent.Accepts(command.FencingToken, command.AgentEpoch) {
		m.cluster.lateCopies.addExecuted()
		m.agent.Execute(command.FencingToken, command.Commands)
	}
}
