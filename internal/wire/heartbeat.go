package wire

import (
	"bytes"
	"fmt"
	"math"
	"strings"
)

// ParseHeartbeat decodes and checks a worker's heartbeat.
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var r HeartbeatReader
	return r.Parse(body)
}

// HeartbeatReader parses reports, and remembers each machine's list of tasks: most
// reports list the same as the one before, which then need not be decoded again.
// Equal lists in a row shard one Tasks slice, so nobody may change it. A reader
// is for one goroutine. The zero value remembers nothing; see NewHeartbeatReader.
type HeartbeatReader struct {
	raw rawHeartbeat
	// Lists are kept in two halves: what was not asked for while the younger one
	// filled is dropped with the older one.
	young, old map[string]taskList
	size, most int // bytes, of the younger one
}

// taskList is a list of tasks in both forms.
type taskList struct {
	raw   Raw
	tasks []TaskStatus
}

// taskBytes is what a TaskStatus takes beside its texts.
const taskBytes = 64

// bytes is about what a list takes.
func (l taskList) bytes() int { return 128 + 2*len(l.raw) + taskBytes*len(l.tasks) }

// rawHeartbeat is a Report whose list of tasks is not decoded.
type rawHeartbeat struct {
	Heartbeat
	Tasks Raw `cbor:"loads"` // in the place of Report's own
}

// NewHeartbeatReader makes a reader that remembers lists of at most so many bytes.
func NewHeartbeatReader(most int) *HeartbeatReader {
	return &HeartbeatReader{young: map[string]taskList{}, old: map[string]taskList{}, most: most / 2}
}

// Parse decodes and checks a heartbeat.
func (rr *HeartbeatReader) Parse(body []byte) (Heartbeat, error) {
	raw := &rr.raw
	*raw = rawHeartbeat{Tasks: raw.Tasks[:0]}
	if err := Decode(body, raw); err != nil {
		return Heartbeat{}, err
	}
	r := raw.Heartbeat
	if r.Machine == "" || len(r.Machine) > 150 || strings.ContainsAny(r.Machine, " \t\r\n") || r.AgentEpoch == 0 {
		return r, fmt.Errorf("wire: report without a usable machine or session")
	}
	if r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || math.IsInf(*r.NoticeS, 0)) {
		r.NoticeS = nil
	}
	if len(raw.Tasks) == 0 {
		return r, nil
	}
	last, ok := rr.young[r.Machine]
	if !ok {
		last, ok = rr.old[r.Machine]
	}
	if ok && bytes.Equal(last.raw, raw.Tasks) {
		r.Tasks = last.tasks
		rr.keep(r.Machine, last)
		return r, nil
	}
	if err := Decode(raw.Tasks, &r.Tasks); err != nil {
		return r, err
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if _, _, err := ParseTask(t.Task); err != nil {
			return r, err
		}
		switch t.State {
		case TaskFetching, TaskRunning, TaskSaving, TaskExited:
		default:
			return r, fmt.Errorf("wire: task state %q", t.State)
		}
	}
	rr.keep(r.Machine, taskList{raw: bytes.Clone(raw.Tasks), tasks: r.Tasks})
	return r, nil
}

// keep remembers a machine's list, as long as there is room.
func (rr *HeartbeatReader) keep(machine string, l taskList) {
	if l.bytes() > rr.most/4 {
		return
	}
	if was, ok := rr.young[machine]; ok {
		rr.size -= was.bytes()
	}
	if rr.size += l.bytes(); rr.size > rr.most {
		rr.old, rr.young, rr.size = rr.young, map[string]taskList{}, l.bytes()
	}
	rr.young[machine] = l
}
