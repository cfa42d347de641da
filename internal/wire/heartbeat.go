package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Errors of ParseHeartbeat, which may also wrap ErrTaskName or return a decoding error.
var (
	// ErrWorkerIdentity is returned for a heartbeat without a valid machine name or agent epoch.
	ErrWorkerIdentity = errors.New("wire: heartbeat without a valid machine name or agent epoch")
	// ErrTaskState is returned, wrapped, for a task state that the protocol does not define.
	ErrTaskState = errors.New("wire: unknown task state")
)

// maxMachineNameBytes bounds the length of a machine's name. It is shorter than maxKeyBytes,
// so that a key in the state service can hold the name beside a prefix.
const maxMachineNameBytes = 150

// ParseHeartbeat decodes and validates a worker's heartbeat (protocol: "POST /checkin").
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var reader HeartbeatReader
	return reader.Parse(body)
}

// HeartbeatReader parses heartbeats and caches each machine's list of tasks. Most heartbeats
// repeat the list of the machine's previous one, which is then not decoded again: consecutive
// equal lists share one Tasks slice, which must not be modified. A HeartbeatReader must not be
// used by several goroutines at once. The zero value caches nothing; see NewHeartbeatReader.
type HeartbeatReader struct {
	raw rawHeartbeat
	// The cache consists of two generations. When the current generation is full, it
	// replaces the previous one, so lists that were not used in the meantime are dropped.
	current, previous  map[string]taskList // by machine
	currentBytes       int
	maxGenerationBytes int
}

// taskList is a list of tasks in its encoded and its decoded form.
type taskList struct {
	raw   Raw
	tasks []TaskStatus
}

// Estimated memory in bytes that a list and each of its tasks take beside their strings.
const (
	taskListOverheadBytes   = 128
	taskStatusOverheadBytes = 64
)

// bytes estimates the memory of a list. The strings are held twice, encoded and decoded.
func (l taskList) bytes() int {
	return taskListOverheadBytes + 2*len(l.raw) + taskStatusOverheadBytes*len(l.tasks)
}

// rawHeartbeat is a Heartbeat whose list of tasks is not decoded yet.
type rawHeartbeat struct {
	Heartbeat
	Tasks Raw `cbor:"loads"` // shadows Heartbeat.Tasks
}

// NewHeartbeatReader returns a HeartbeatReader that caches at most maxBytes of lists.
func NewHeartbeatReader(maxBytes int) *HeartbeatReader {
	return &HeartbeatReader{
		current:            map[string]taskList{},
		previous:           map[string]taskList{},
		maxGenerationBytes: maxBytes / 2,
	}
}

// Parse decodes and validates a heartbeat. The result does not refer to body. The errors are
// those of ParseHeartbeat.
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

// parseTasks returns a machine's list of tasks. It decodes and validates the list unless it
// equals the cached one.
func (hr *HeartbeatReader) parseTasks(machine string, raw Raw) ([]TaskStatus, error) {
	last, ok := hr.cached(machine)
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
		if _, _, err := ParseTaskName(tasks[i].Task); err != nil {
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

// cached returns the list that is cached for a machine.
func (hr *HeartbeatReader) cached(machine string) (list taskList, ok bool) {
	if list, ok = hr.current[machine]; ok {
		return list, true
	}
	list, ok = hr.previous[machine]
	return list, ok
}

// store puts a machine's list into the current generation of the cache. A list that would take
// more than a quarter of a generation is not cached.
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
