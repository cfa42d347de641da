package fakes

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"garnethitch/internal/wire"
)

// loadWorker is a worker that sends heartbeats on request, to put load on a controller.
type loadWorker struct {
	controller *Connection

	mu    sync.Mutex // guards the agent
	agent *Agent
}

func newLoadWorker(machine FixedMachine, controller *Connection) *loadWorker {
	return &loadWorker{controller: controller, agent: NewAgent(machine, loadTaskRunner{})}
}

// sendHeartbeat sends a heartbeat and executes the commands of the reply. If endTask is set, it
// first ends a running task, if there is one.
func (w *loadWorker) sendHeartbeat(endTask bool) error {
	body, err := w.encodeHeartbeat(endTask)
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	msg, err := w.controller.Request("POST", wire.PathHeartbeat, body)
	if err != nil {
		return err
	}
	if msg.Status != http.StatusOK {
		return nil // the controller does not own the machine, or has no record of it yet
	}
	var reply wire.HeartbeatReply
	if err := wire.Decode(msg.Body, &reply); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agent.Execute(reply.FencingToken, reply.Commands)
	return nil
}

func (w *loadWorker) encodeHeartbeat(endTask bool) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if endTask {
		w.endTask()
	}
	return wire.Encode(w.agent.Heartbeat())
}

// endTask ends the first running task, if there is one. The caller holds the lock.
func (w *loadWorker) endTask() {
	tasks := w.agent.Tasks()
	i := slices.IndexFunc(tasks, func(t wire.TaskStatus) bool { return t.State == wire.TaskRunning })
	if i >= 0 {
		tasks[i].State = wire.TaskExited
		tasks[i].ExitReason = wire.ExitDone
	}
}

// handleDirectCommand executes a direct command, unless it is from an earlier owner or for
// another epoch of the agent. The answer to it is a heartbeat.
func (w *loadWorker) handleDirectCommand(command wire.DirectCommand) (status int, heartbeat wire.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status = w.agent.HandleDirectCommand(command)
	return status, w.agent.Heartbeat()
}

// loadTaskRunner is the TaskRunner of a loadWorker: tasks run until they are ended or stopped.
type loadTaskRunner struct{}

// StartTask implements TaskRunner.
func (loadTaskRunner) StartTask(command wire.Command) wire.TaskStatus {
	return wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning}
}

// StopTask implements TaskRunner.
func (loadTaskRunner) StopTask(task *wire.TaskStatus) {
	task.State = wire.TaskExited
	task.ExitReason = wire.ExitStopped
}
