package simulation

import (
	"cmp"
	"strconv"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// taskKey names an attempt of a task: the task's name, and the attempt in decimal.
type taskKey string

func keyOf(command wire.Command) taskKey {
	return taskKey(command.Task + "@" + strconv.FormatUint(command.Attempt, 10))
}

func (k taskKey) compare(other taskKey) int { return cmp.Compare(k, other) }

// task is an attempt of a task on a machine.
type task struct {
	name, job  string
	idx        int
	attempt    uint64
	state      string
	exitReason string
	saved      bool
	until      micros.Micros // when it goes on to its next state
}

// onMachine reports whether it has its image and has not exited.
func (t *task) onMachine() bool { return t.state == wire.TaskRunning || t.state == wire.TaskSaving }

func (t *task) exit(reason string) {
	t.state = wire.TaskExited
	t.exitReason = reason
}

// status returns what a heartbeat says of the task.
func (t *task) status() wire.TaskStatus {
	return wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason, Saved: t.saved}
}

// advanceTasks takes tasks whose time has come to their next states.
func (w *Worker) advanceTasks() {
	s := w.sim
	for _, t := range w.sortedTasks() {
		if s.now < t.until {
			continue
		}
		switch t.state {
		case wire.TaskFetching:
			w.begin(t)
			w.changed = true
		case wire.TaskRunning:
			w.complete(t)
			w.changed = true
		case wire.TaskSaving:
			t.exit(wire.ExitStopped)
			t.saved = true
			w.changed = true
		}
		w.checkCancelledTask(t)
	}
}

// begin has a task run that has its image, unless it was done elsewhere meanwhile.
func (w *Worker) begin(t *task) {
	s := w.sim
	u := s.userOf(t.job)
	w.images[u.sub.Image] = true
	if u.done[t.idx] {
		t.exit(wire.ExitDone)
		return
	}
	t.state = wire.TaskRunning
	t.until = s.now + u.runs[t.idx] - u.progress[t.idx]
	if u.startedAt == 0 {
		u.startedAt = s.now
	}
	s.checkStart(w, t)
	if w.failsTasksOf(u) {
		t.until = s.now + s.between(200*ms, sec)
	}
}

// complete ends a task that has run its time.
func (w *Worker) complete(t *task) {
	s := w.sim
	u := s.userOf(t.job)
	if w.failsTasksOf(u) {
		t.exit(wire.ExitError)
		return
	}
	t.exit(wire.ExitDone)
	u.done[t.idx] = true
	u.doneAt = s.now
	s.Finished++
	s.maybeCancelAtEnd(u)
}

// failsTasksOf reports whether the tasks of a job fail on the machine.
func (w *Worker) failsTasksOf(u *user) bool { return u.fails || w.sim.now < w.faultyUntil }

// execute carries commands out.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		w.sim.trace("%s %s %s attempt %x", w.ID, command.Op, command.Task, command.Attempt)
		t := w.tasks[keyOf(command)]
		switch {
		case command.Op == wire.OpStart && t == nil:
			w.start(command)
		case command.Op == wire.OpStop && t != nil:
			w.stop(t, command)
		case command.Op == wire.OpForget && t != nil:
			w.forget(t, command)
		}
	}
}

// start starts a task, which gets its image first, or exits at once if it can't run.
func (w *Worker) start(command wire.Command) {
	s := w.sim
	job, idx, err := wire.ParseTask(command.Task)
	u := s.userOf(job)
	t := &task{name: command.Task, job: job, idx: idx, attempt: command.Attempt, state: wire.TaskFetching}
	switch {
	case err != nil || u == nil || idx >= u.sub.Tasks:
		t.exit(wire.ExitUnknown)
	case w.runsTask(command.Task):
		t.exit(wire.ExitInUse)
	case !w.fits(u):
		t.exit(wire.ExitNoCapacity)
	case !w.images[u.sub.Image]:
		t.until = s.now + s.between(sec/2, 3*sec)
	}
	w.tasks[keyOf(command)] = t
	if u != nil {
		s.addTask(w, t)
	}
	w.changed = true
}

// addTask notes that a worker knows of a task.
func (s *Simulation) addTask(w *Worker, t *task) {
	if s.tasksByJob[t.job] == nil {
		s.tasksByJob[t.job] = map[*task]*Worker{}
	}
	s.tasksByJob[t.job][t] = w
}

// stop stops a task at once, or has it save its progress first if the command leaves time for it.
func (w *Worker) stop(t *task, command wire.Command) {
	if t.state == wire.TaskExited {
		return
	}
	s := w.sim
	u := s.userOf(t.job)
	graceful := u.sub.CheckpointS > 0 && command.GraceS != nil && *command.GraceS >= u.sub.SaveS
	immediate := command.GraceS != nil && *command.GraceS == 0
	switch {
	case t.state == wire.TaskRunning && graceful:
		u.progress[t.idx] = max(0, u.runs[t.idx]-(t.until-s.now))
		t.state = wire.TaskSaving
		t.until = s.now + micros.FromSeconds(u.sub.SaveS)
	case t.state != wire.TaskSaving || immediate:
		t.exit(wire.ExitStopped)
	}
	w.changed = true
}

// forget forgets a task that has exited.
func (w *Worker) forget(t *task, command wire.Command) {
	if t.state != wire.TaskExited {
		return
	}
	delete(w.tasks, keyOf(command))
	delete(w.sim.tasksByJob[t.job], t)
}
