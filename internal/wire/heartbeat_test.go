package wire

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// heartbeatOf returns a heartbeat of a machine with one task in each of the states.
func heartbeatOf(machine string, sequence uint64, states ...TaskState) Heartbeat {
	heartbeat := Heartbeat{Machine: machine, AgentEpoch: 1, Sequence: sequence}
	for i, state := range states {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Task: TaskName("job-000001", i), Attempt: 7, State: state})
	}
	return heartbeat
}

func TestParseHeartbeat(t *testing.T) {
	task := func(name, state string) map[string]any {
		return map[string]any{"load": name, "mount": 2, "stance": state}
	}
	for _, tc := range []struct {
		name  string
		field string
		value any
		ok    bool
		err   error // nil: any error
	}{
		{"valid", "", nil, true, nil},
		{"reclaim notice", "warningS", 4.5, true, nil},
		{"no machine", "post", "", false, ErrWorkerIdentity},
		{"machine with a space", "post", "a b", false, ErrWorkerIdentity},
		{"no agent epoch", "tether", 0, false, ErrWorkerIdentity},
		{"negative token", "rein", -1, false, nil},
		{"invalid task name", "loads", []any{task("x", "running")}, false, ErrTaskName},
		{"unknown task state", "loads", []any{task("job-000001/0", "dancing")}, false, ErrTaskState},
		{"one task", "loads", []any{task("job-000001/0", "running")}, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fields := map[string]any{
				"post": "vm-1", "address": "a:1", "breed": "g8", "paddock": "a", "strays": true,
				"tether": 1, "tally": 2, "rein": 3, "loads": []any{},
			}
			if tc.field != "" {
				fields[tc.field] = tc.value
			}
			body, err := Encode(fields)
			if err != nil {
				t.Fatal(err)
			}
			_, err = ParseHeartbeat(body)
			if (err == nil) != tc.ok {
				t.Errorf("unexpected result, error %v", err)
			}
			if tc.err != nil && !errors.Is(err, tc.err) {
				t.Errorf("error %v, want %v", err, tc.err)
			}
		})
	}
}

// TestHeartbeatReader checks that a machine's list is decoded again only when it has changed, that
// it is never confused with another machine's list or an earlier one, and that the cache stays
// within its bound.
func TestHeartbeatReader(t *testing.T) {
	reader := NewHeartbeatReader(8 << 10)
	var last [3]*TaskStatus
	for i, tc := range []struct {
		machine int
		states  []TaskState
		same    bool // the slice is shared with the machine's previous heartbeat
	}{
		{0, []TaskState{TaskRunning, TaskFetching}, false},
		{1, []TaskState{TaskRunning, TaskFetching}, false}, // equal to the list of another machine
		{0, []TaskState{TaskRunning, TaskFetching}, true},
		{0, []TaskState{TaskRunning, TaskRunning}, false},
		{0, []TaskState{TaskRunning, TaskFetching}, false}, // equal to the list before the previous one
		{1, []TaskState{TaskRunning, TaskFetching}, true},
		{0, []TaskState{TaskRunning}, false},
		{0, nil, false},
		{0, []TaskState{TaskRunning}, false},
	} {
		want := heartbeatOf(fmt.Sprint("vm-", tc.machine), uint64(i+1), tc.states...)
		body, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := reader.Parse(body)
		if err != nil {
			t.Fatal(err)
		}
		clear(body) // the connection reuses the buffer: the result must not refer to it
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("heartbeat %d parsed as %v, want %v", i, got, want)
		}
		if len(got.Tasks) == 0 {
			continue
		}
		if same := &got.Tasks[0] == last[tc.machine]; same != tc.same {
			t.Errorf("heartbeat %d: slice shared with the previous heartbeat: %v, want %v", i, same, tc.same)
		}
		last[tc.machine] = &got.Tasks[0]
	}
	// Beyond the bound, the lists that were unused for the longest time are dropped.
	for i := range 500 {
		body, err := Encode(heartbeatOf(fmt.Sprint("vm-", i), 1, TaskRunning, TaskRunning))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := reader.Parse(body); err != nil {
			t.Fatal(err)
		}
		size := 0
		for _, generation := range []map[string]taskList{reader.current, reader.previous} {
			for _, l := range generation {
				size += l.bytes()
			}
		}
		if size > 8<<10 {
			t.Fatalf("%d bytes cached after %d machines", size, i)
		}
	}
}

// TestUnchangedHeartbeatAllocs checks, by the number of allocations, that an unchanged list is not
// decoded again.
func TestUnchangedHeartbeatAllocs(t *testing.T) {
	body, err := Encode(heartbeatOf("vm-1", 1, slices.Repeat([]TaskState{TaskRunning}, 32)...))
	if err != nil {
		t.Fatal(err)
	}
	reader := NewHeartbeatReader(1 << 20)
	if n := testing.AllocsPerRun(100, func() {
		if _, err := reader.Parse(body); err != nil {
			t.Fatal(err)
		}
	}); n > 10 {
		t.Errorf("a heartbeat with 32 unchanged tasks takes %.0f allocations, want at most 10", n)
	}
}
