package fakes

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// A failing task runs for minFailureDelay to maxFailureDelay.
	minFailureDelay = 200 * millisecond
	maxFailureDelay = second
	// Fetching an image takes minFetchTime to maxFetchTime.
	minFetchTime = second / 2
	maxFetchTime = 3 * second
)

// Task is one attempt of a task on a machine.
type Task struct {
	Name, Job   string
	Index       int
	Attempt     uint64
	State       wire.TaskState
	StateEndsAt micros.Micros // when it moves to its next state
	// StartToken is the fencing token of the direct command that started it; 0 if a reply did.
	StartToken uint64

	exitReason wire.ExitReason
	saved      bool
}

// OnMachine reports whether the task has its image and has not exited.
func (t *Task) OnMachine() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// Exited reports whether the task has exited.
func (t *Task) Exited() bool { return t.State == wire.TaskExited }

func (t *Task) exit(reason wire.ExitReason) {
	t.State = wire.TaskExited
	t.exitReason = reason
}

// status returns the status of the task that a heartbeat reports.
func (t *Task) status() wire.TaskStatus {
	return wire.TaskStatus{Task: t.Name, Attempt: t.Attempt, State: t.State, ExitReason: t.exitReason, Saved: t.saved}
}

// taskKey identifies an attempt of a task: the task's name, and the attempt in decimal.
type taskKey string

func keyOf(command wire.Command) taskKey {
	return taskKey(command.Task + "@" + strconv.FormatUint(command.Attempt, 10))
}

func (k taskKey) compare(other taskKey) int { return cmp.Compare(k, other) }

// Tasks returns the tasks in a deterministic order.
func (w *Worker) Tasks() (tasks []*Task) {
	keys := slices.SortedFunc(maps.Keys(w.tasks), taskKey.compare)
	for _, key := range keys {
		tasks = append(tasks, w.tasks[key])
	}
	return tasks
}

// isRunning reports whether the machine has an attempt of the task that has not exited.
func (w *Worker) isRunning(name string) bool {
	for _, t := range w.tasks {
		if t.Name == name && !t.Exited() {
			return true
		}
	}
	return false
}

// Fits reports whether the machine has enough free CPUs and memory for one more task of a job.
func (w *Worker) Fits(job *Job) bool {
	machineType, ok := MachineType(w.Type)
	if !ok {
		return false
	}
	cpus, memory := machineType.CPUs, machineType.MemGB
	for _, t := range w.tasks {
		if !t.Exited() {
			other := w.host.Job(t.Job)
			cpus -= other.Submission.CPUs
			memory -= other.Submission.MemGB
		}
	}
	return cpus+RoundingTolerance >= job.Submission.CPUs && memory+RoundingTolerance >= job.Submission.MemGB
}

// advanceTasks moves tasks whose current state has ended to their next state.
func (w *Worker) advanceTasks() {
	for _, t := range w.Tasks() {
		if w.now() < t.StateEndsAt {
			continue
		}
		switch t.State {
		case wire.TaskFetching:
			w.startRunning(t)
			w.changed = true
		case wire.TaskRunning:
			w.complete(t)
			w.changed = true
		case wire.TaskSaving:
			t.exit(wire.ExitStopped)
			t.saved = true
			w.changed = true
		}
	}
}

// startRunning starts a task that has its image, or ends it if it was completed elsewhere in the
// meantime.
func (w *Worker) startRunning(t *Task) {
	job := w.host.Job(t.Job)
	w.images[job.Submission.Image] = true
	if job.Done[t.Index] {
		t.exit(wire.ExitDone)
		return
	}
	t.State = wire.TaskRunning
	t.StateEndsAt = w.now() + job.TaskDurations[t.Index] - job.Progress[t.Index]
	if job.StartedAt == 0 {
		job.StartedAt = w.now()
	}
	w.host.TaskStarted(t)
	if w.failsTasksOf(job) {
		t.StateEndsAt = w.now() + w.config.Random.Between(minFailureDelay, maxFailureDelay)
	}
}

// complete ends a task that has run for its time, as failed if tasks of its job fail here.
func (w *Worker) complete(t *Task) {
	job := w.host.Job(t.Job)
	if w.failsTasksOf(job) {
		t.exit(wire.ExitError)
		return
	}
	t.exit(wire.ExitDone)
	job.Done[t.Index] = true
	job.DoneAt = w.now()
	w.host.TaskCompleted(t)
}

// failsTasksOf reports whether the tasks of a job fail on the machine.
func (w *Worker) failsTasksOf(job *Job) bool { return job.AlwaysFails || w.now() < w.FaultyUntil }

// execute executes commands. A command that does not apply to the state of its task has no effect.
// startToken is the fencing token of the direct command that carried them, or 0.
func (w *Worker) execute(commands []wire.Command, startToken uint64) {
	for _, command := range commands {
		w.host.Trace("%s %s %s attempt %x", w.ID, command.Op, command.Task, command.Attempt)
		t := w.tasks[keyOf(command)]
		switch {
		case command.Op == wire.OpStart && t == nil:
			w.start(command, startToken)
		case command.Op == wire.OpStop && t != nil:
			w.stop(t, command)
		case command.Op == wire.OpForget && t != nil && t.Exited():
			delete(w.tasks, keyOf(command))
			w.host.TaskCleared(t)
			w.host.TaskForgotten(t)
		}
	}
}

// start adds a task. The task first fetches its image unless the machine has it. A task that cannot
// run exits at once.
func (w *Worker) start(command wire.Command, startToken uint64) {
	name, index, err := wire.ParseTaskName(command.Task)
	job := w.host.Job(name)
	t := &Task{Name: command.Task, Job: name, Index: index, Attempt: command.Attempt, State: wire.TaskFetching, StartToken: startToken}
	switch {
	case err != nil || job == nil || !job.hasTask(index):
		t.exit(wire.ExitUnknown)
	case w.isRunning(command.Task):
		t.exit(wire.ExitInUse)
	case !w.Fits(job):
		t.exit(wire.ExitNoCapacity)
	case !w.images[job.Submission.Image]:
		t.StateEndsAt = w.now() + w.config.Random.Between(minFetchTime, maxFetchTime)
	}
	w.tasks[keyOf(command)] = t
	w.changed = true
	w.host.TaskAdded(t)
}

// stop stops a task at once, or lets it save its progress first if the command leaves enough time.
func (w *Worker) stop(t *Task, command wire.Command) {
	if t.Exited() {
		return
	}
	job := w.host.Job(t.Job)
	sub := &job.Submission
	graceful := sub.CheckpointS > 0 && command.GraceS != nil && *command.GraceS >= sub.SaveS
	immediate := command.GraceS != nil && *command.GraceS == 0
	switch {
	case t.State == wire.TaskRunning && graceful:
		job.Progress[t.Index] = max(0, job.TaskDurations[t.Index]-(t.StateEndsAt-w.now()))
		t.State = wire.TaskSaving
		t.StateEndsAt = w.now() + micros.FromSeconds(sub.SaveS)
	case t.State != wire.TaskSaving || immediate:
		t.exit(wire.ExitStopped)
	}
	w.changed = true
}
