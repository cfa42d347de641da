package wire

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// heartbeatOf is a heartbeat of a machine with a task in each of the states.
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
		err   error // nil: of the decoder
	}{
		{"as it is", "", nil, true, nil},
		{"a notice", "warningS", 4.5, true, nil},
		{"no machine", "post", "", false, ErrWorkerIdentity},
		{"machine with a space", "post", "a b", false, ErrWorkerIdentity},
		{"no agent epoch", "tether", 0, false, ErrWorkerIdentity},
		{"negative token", "rein", -1, false, nil},
		{"odd task", "loads", []any{task("x", "running")}, false, ErrTaskName},
		{"odd state", "loads", []any{task("job-000001/0", "dancing")}, false, ErrTaskState},
		{"a task", "loads", []any{task("job-000001/0", "running")}, true, nil},
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
				t.Errorf("error %v", err)
			}
			if tc.err != nil && !errors.Is(err, tc.err) {
				t.Errorf("error %v, want %v", err, tc.err)
			}
		})
	}
}

// TestHeartbeatReader checks that a machine's list is decoded anew just when it has changed, and
// never taken for another machine's or an older one, whatever the reader has to forget.
func TestHeartbeatReader(t *testing.T) {
	reader := NewHeartbeatReader(8 << 10)
	var last [3]*TaskStatus
	for i, tc := range []struct {
		machine int
		states  []TaskState
		same    bool // as the one before of this machine
	}{
		{0, []TaskState{TaskRunning, TaskFetching}, false},
		{1, []TaskState{TaskRunning, TaskFetching}, false}, // another machine's
		{0, []TaskState{TaskRunning, TaskFetching}, true},
		{0, []TaskState{TaskRunning, TaskRunning}, false},
		{0, []TaskState{TaskRunning, TaskFetching}, false}, // as before the last
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
		clear(body) // it belongs to the connection: nothing may still point there
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("heartbeat %d reads as %v, want %v", i, got, want)
		}
		if len(got.Tasks) == 0 {
			continue
		}
		if same := &got.Tasks[0] == last[tc.machine]; same != tc.same {
			t.Errorf("heartbeat %d: the same list %v, want %v", i, same, tc.same)
		}
		last[tc.machine] = &got.Tasks[0]
	}
	// Past the bound the longest unused are forgotten.
	for i := range 500 {
		body, err := Encode(heartbeatOf(fmt.Sprint("vm-", i), 1, TaskRunning, TaskRunning))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := reader.Parse(body); err != nil {
			t.Fatal(err)
		}
		size := 0
		for _, half := range []map[string]taskList{reader.current, reader.previous} {
			for _, l := range half {
				size += l.bytes()
			}
		}
		if size > 8<<10 {
			t.Fatalf("%d bytes remembered after %d machines", size, i)
		}
	}
}

// TestUnchangedHeartbeatAllocs checks that a list that says nothing new is not decoded again.
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
		t.Errorf("a heartbeat of 32 tasks as before takes %.0f allocations", n)
	}
}
