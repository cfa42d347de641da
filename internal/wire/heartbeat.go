package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Errors of ParseHeartbeat. ErrTaskName is returned as well.
var (
	// ErrWorkerIdentity says that a heartbeat names no usable machine or agent epoch.
	ErrWorkerIdentity = errors.New("wire: report without a usable machine or session")
	// ErrTaskState says that a task is in a state that the protocol does not know.
	ErrTaskState = errors.New("wire: task state")
)

// maxMachineNameBytes leaves space in a key of the state service for what stands beside the name.
const maxMachineNameBytes = 150 // bytes

// ParseHeartbeat decodes and checks a worker's heartbeat (protocol: "POST /checkin").
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var reader HeartbeatReader
	return reader.Parse(body)
}

// HeartbeatReader parses heartbeats, and remembers each machine's list of tasks: most
// heartbeats list the same as the one before, which need not be decoded again. Equal lists
// in a row are one Tasks slice, which must not be changed. A reader is for one goroutine.
// The zero value remembers nothing; see NewHeartbeatReader.
type HeartbeatReader struct {
	raw rawHeartbeat
	// Lists are kept in two generations: a list that was not needed while the younger one
	// filled is dropped with the older one.
	current, previous  map[string]taskList // by machine
	currentBytes       int
	maxGenerationBytes int // of one generation
}

// taskList is a list of tasks in both forms.
type taskList struct {
	raw   Raw
	tasks []TaskStatus
}

// Memory in bytes that is counted beside texts.
const (
	taskListOverheadBytes   = 128
	taskStatusOverheadBytes = 64
)

// bytes estimates the memory of a list, whose texts are held in both forms.
func (l taskList) bytes() int {
	return taskListOverheadBytes + 2*len(l.raw) + taskStatusOverheadBytes*len(l.tasks)
}

// rawHeartbeat is a Heartbeat whose list of tasks is not decoded.
type rawHeartbeat struct {
	Heartbeat
	Tasks Raw `cbor:"loads"` // hides Heartbeat's
}

// NewHeartbeatReader makes a reader that remembers lists of at most maxBytes.
func NewHeartbeatReader(maxBytes int) *HeartbeatReader {
	return &HeartbeatReader{
		current:            map[string]taskList{},
		previous:           map[string]taskList{},
		maxGenerationBytes: maxBytes / 2,
	}
}

// Parse decodes and checks a heartbeat. The result does not refer to body.
func (hr *HeartbeatReader) Parse(body []byte) (Heartbeat, error) {
	raw := &hr.raw
	*raw = rawHeartbeat{Tasks: raw.Tasks[:0]}
	if err := Decode(body, raw); err != nil {
		return Heartbeat{}, err
	}
	heartbeat := raw.Heartbeat
	if !validMachineName(heartbeat.Machine) || heartbeat.AgentEpoch == 0 {
		return Heartbeat{}, ErrWorkerIdentity
	}
	if heartbeat.NoticeS != nil && !finite(*heartbeat.NoticeS) {
		heartbeat.NoticeS = nil
	}
	if len(raw.Tasks) == 0 {
		return heartbeat, nil
	}
	var err error
	heartbeat.Tasks, err = hr.parseTasks(heartbeat.Machine, raw.Tasks)
	return heartbeat, err
}

func validMachineName(name string) bool {
	return name != "" && len(name) <= maxMachineNameBytes && !strings.ContainsAny(name, " \t\r\n")
}

// parseTasks decodes and checks a machine's list of tasks, unless it is the one before.
func (hr *HeartbeatReader) parseTasks(machine string, raw Raw) ([]TaskStatus, error) {
	last, ok := hr.lookUp(machine)
	if !ok || !bytes.Equal(last.raw, raw) {
		tasks, err := decodeTasks(raw)
		if err != nil {
			return nil, err
		}
		last = taskList{raw: bytes.Clone(raw), tasks: tasks}
	}
	hr.store(machine, last)
	return last.tasks, nil
}

func decodeTasks(raw Raw) (tasks []TaskStatus, err error) {
	if err := Decode(raw, &tasks); err != nil {
		return nil, err
	}
	for i := range tasks {
		if _, _, err := ParseTask(tasks[i].Task); err != nil {
			return nil, err
		}
		switch tasks[i].State {
		case TaskFetching, TaskRunning, TaskSaving, TaskExited:
		default:
			return nil, fmt.Errorf("%w %q", ErrTaskState, tasks[i].State)
		}
	}
	return tasks, nil
}

func (hr *HeartbeatReader) lookUp(machine string) (list taskList, ok bool) {
	if list, ok = hr.current[machine]; ok {
		return list, true
	}
	list, ok = hr.previous[machine]
	return list, ok
}

// store puts a machine's list among the younger ones. A list that would take much of the
// memory by itself is not remembered.
func (hr *HeartbeatReader) store(machine string, list taskList) {
	if list.bytes() > hr.maxGenerationBytes/4 {
		return
	}
	if replaced, ok := hr.current[machine]; ok {
		hr.currentBytes -= replaced.bytes()
	}
	hr.currentBytes += list.bytes()
	if hr.currentBytes > hr.maxGenerationBytes {
		hr.previous = hr.current
		hr.current = map[string]taskList{}
		hr.currentBytes = list.bytes()
	}
	hr.current[machine] = list
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
