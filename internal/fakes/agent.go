package fakes

import (
	"net/http"
	"slices"

	"garnethitch/internal/wire"
)

// TaskRunner starts and stops the tasks of an Agent.
type TaskRunner interface {
	// StartTask starts a task that the agent does not have, and returns its status.
	StartTask(command wire.Command) wire.TaskStatus
	// StopTask stops a task of the agent. The task may have exited already.
	StopTask(task *wire.TaskStatus)
}

// Agent is the worker protocol's state on a FixedMachine: the agent's epoch, the number of its
// last heartbeat, the highest fencing token that it has seen, and its tasks. It is not safe for
// concurrent use.
type Agent struct {
	machine FixedMachine
	runner  TaskRunner

	epoch        uint64
	sequence     uint64
	fencingToken uint64
	tasks        []wire.TaskStatus
}

// NewAgent returns an agent without tasks, in its first epoch.
func NewAgent(machine FixedMachine, runner TaskRunner) *Agent {
	return &Agent{machine: machine, runner: runner, epoch: 1}
}

// Epoch returns the agent's epoch.
func (a *Agent) Epoch() uint64 { return a.epoch }

// Tasks returns the agent's tasks, whose statuses may be changed in place until the next
// command is executed.
func (a *Agent) Tasks() []wire.TaskStatus { return a.tasks }

// Task returns the task that a command refers to, or nil if the agent does not have it.
func (a *Agent) Task(command wire.Command) *wire.TaskStatus {
	if i := a.indexOf(command); i >= 0 {
		return &a.tasks[i]
	}
	return nil
}

// BeginEpoch begins a new epoch of the agent, without tasks.
func (a *Agent) BeginEpoch() {
	a.epoch++
	a.tasks = nil
}

// Heartbeat returns the next heartbeat.
func (a *Agent) Heartbeat() wire.Heartbeat {
	a.sequence++
	heartbeat := a.machine.Heartbeat()
	heartbeat.AgentEpoch = a.epoch
	heartbeat.Sequence = a.sequence
	heartbeat.FencingToken = a.fencingToken
	heartbeat.Tasks = slices.Clone(a.tasks)
	return heartbeat
}

// Accepts reports whether a message with the given fencing token and agent epoch is valid: it is
// neither from an earlier owner nor for another epoch of the agent.
func (a *Agent) Accepts(fencingToken, epoch uint64) bool {
	return fencingToken >= a.fencingToken && epoch == a.epoch
}

// HandleDirectCommand executes a direct command if it is valid, and returns the HTTP status of
// the answer.
func (a *Agent) HandleDirectCommand(command wire.DirectCommand) (status int) {
	if !a.Accepts(command.FencingToken, command.AgentEpoch) {
		return http.StatusConflict
	}
	a.Execute(command.FencingToken, command.Commands)
	return http.StatusOK
}

// Execute raises the fencing token and executes commands. Commands are idempotent: a repeated
// one has no effect.
func (a *Agent) Execute(fencingToken uint64, commands []wire.Command) {
	a.fencingToken = max(a.fencingToken, fencingToken)
	for _, command := range commands {
		i := a.indexOf(command)
		switch {
		case command.Op == wire.OpStart && i < 0:
			a.tasks = append(a.tasks, a.runner.StartTask(command))
		case command.Op == wire.OpStop && i >= 0:
			a.runner.StopTask(&a.tasks[i])
		case command.Op == wire.OpForget && i >= 0 && a.tasks[i].State == wire.TaskExited:
			a.tasks = slices.Delete(a.tasks, i, i+1)
		}
	}
}

// indexOf returns the index of the task that a command refers to, or -1 if the agent does not
// have it.
func (a *Agent) indexOf(command wire.Command) int {
	return slices.IndexFunc(a.tasks, func(t wire.TaskStatus) bool {
		return t.Task == command.Task && t.Attempt == command.Attempt
	})
}
