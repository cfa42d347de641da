package fakes

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"garnethitch/internal/wire"
)

// loadWorker is a worker that sends heartbeats when it is asked to, as a load for a controller.
type loadWorker struct {
	machine    FixedMachine
	controller *Connection

	mu                   sync.Mutex
	agentEpoch, sequence uint64
	fencingToken         uint64
	tasks                []wire.TaskStatus
}

func newLoadWorker(machine FixedMachine, controller *Connection) *loadWorker {
	return &loadWorker{machine: machine, controller: controller, agentEpoch: 1}
}

// heartbeat sends a heartbeat, with the end of a task if there is one to end, and carries out
// the commands of the reply.
func (w *loadWorker) heartbeat(endTask bool) error {
	body, err := w.encodeHeartbeat(endTask)
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	msg, err := w.controller.Request("POST", wire.PathHeartbeat, body)
	if err != nil {
		return err
	}
	if msg.Status != http.StatusOK {
		return nil // another controller's machine, or not on record yet
	}
	var reply wire.HeartbeatReply
	if err := wire.Decode(msg.Body, &reply); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.execute(reply.FencingToken, reply.Commands)
	return nil
}

func (w *loadWorker) encodeHeartbeat(endTask bool) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if endTask {
		w.endTask()
	}
	return wire.Encode(w.heartbeatBody())
}

// endTask ends the first task that runs. The lock is held.
func (w *loadWorker) endTask() {
	i := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.State == wire.TaskRunning })
	if i >= 0 {
		w.tasks[i].State, w.tasks[i].ExitReason = wire.TaskExited, wire.ExitDone
	}
}

// heartbeatBody returns the next heartbeat. The lock is held.
func (w *loadWorker) heartbeatBody() wire.Heartbeat {
	w.sequence++
	heartbeat := w.machine.Heartbeat()
	heartbeat.AgentEpoch = w.agentEpoch
	heartbeat.Sequence = w.sequence
	heartbeat.FencingToken = w.fencingToken
	heartbeat.Tasks = w.tasks
	return heartbeat
}

// handleDirectCommand carries a direct command out, unless it is of an old owner or for an
// earlier run of the agent.
func (w *loadWorker) handleDirectCommand(command wire.DirectCommand) (status int, heartbeat wire.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status = http.StatusConflict
	if command.FencingToken >= w.fencingToken && command.AgentEpoch == w.agentEpoch {
		status = http.StatusOK
		w.execute(command.FencingToken, command.Commands)
	}
	heartbeat = w.heartbeatBody()
	heartbeat.Tasks = slices.Clone(heartbeat.Tasks) // it is encoded without the lock
	return status, heartbeat
}

// execute carries commands out. The lock is held.
func (w *loadWorker) execute(fencingToken uint64, commands []wire.Command) {
	w.fencingToken = max(w.fencingToken, fencingToken)
	for _, command := range commands {
		at := slices.IndexFunc(w.tasks, func(t wire.TaskStatus) bool { return t.Task == command.Task && t.Attempt == command.Attempt })
		switch {
		case command.Op == wire.OpStart && at < 0:
			w.tasks = append(w.tasks, wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning})
		case command.Op == wire.OpStop && at >= 0:
			w.tasks[at].State, w.tasks[at].ExitReason = wire.TaskExited, wire.ExitStopped
		case command.Op == wire.OpForget && at >= 0:
			w.tasks = slices.Delete(w.tasks, at, at+1)
		}
	}
}
