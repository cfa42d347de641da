package wire

import (
	"bytes"
	"fmt"
	"testing"
)

func heartbeatOf(machine string, seq uint64, states ...string) Heartbeat {
	r := Heartbeat{Machine: machine, AgentEpoch: 1, Sequence: seq}
	for i, s := range states {
		r.Tasks = append(r.Tasks, TaskStatus{Task: TaskName("job-000001", i), Attempt: 7, State: s})
	}
	return r
}

// A machine's list is decoded anew just when it has changed, and never taken for
// another machine's or an older one, whatever the reader has to forget.
func TestHeartbeatReader(t *testing.T) {
	rr := NewHeartbeatReader(8 << 10)
	var last [3]*TaskStatus
	for i, tc := range []struct {
		machine int
		states  []string
		same    bool // as the one before of this machine
	}{
		{0, []string{TaskRunning, TaskFetching}, false},
		{1, []string{TaskRunning, TaskFetching}, false}, // another machine's
		{0, []string{TaskRunning, TaskFetching}, true},
		{0, []string{TaskRunning, TaskRunning}, false},
		{0, []string{TaskRunning, TaskFetching}, false}, // as before the last
		{1, []string{TaskRunning, TaskFetching}, true},
		{0, []string{TaskRunning}, false},
		{0, nil, false},
		{0, []string{TaskRunning}, false},
	} {
		want := heartbeatOf(fmt.Sprint("vm-", tc.machine), uint64(i+1), tc.states...)
		body, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := rr.Parse(body)
		if err != nil {
			t.Fatal(err)
		}
		clear(body) // it belongs to the connection: nothing may still point there
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("report %d reads as %v, want %v", i, got, want)
		}
		if len(got.Tasks) == 0 {
			continue
		}
		if same := &got.Tasks[0] == last[tc.machine]; same != tc.same {
			t.Errorf("report %d: the same list %v, want %v", i, same, tc.same)
		}
		last[tc.machine] = &got.Tasks[0]
	}
	// Past the bound the longest unused are forgotten.
	for i := range 500 {
		body, err := Encode(heartbeatOf(fmt.Sprint("vm-", i), 1, TaskRunning, TaskRunning))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := rr.Parse(body); err != nil {
			t.Fatal(err)
		}
		size := 0
		for _, half := range []map[string]taskList{rr.young, rr.old} {
			for _, l := range half {
				size += l.bytes()
			}
		}
		if size > 8<<10 {
			t.Fatalf("%d bytes remembered after %d machines", size, i)
		}
	}
}

// TestUnchangedHeartbeatAllocs: a list that says nothing new is not decoded again.
func TestUnchangedHeartbeatAllocs(t *testing.T) {
	states := bytes.Split(bytes.Repeat([]byte(TaskRunning+" "), 32), []byte(" "))[:32]
	rep := heartbeatOf("vm-1", 1)
	for i := range states {
		rep.Tasks = append(rep.Tasks, TaskStatus{Task: TaskName("job-000001", i), Attempt: 7, State: TaskRunning})
	}
	body, err := Encode(rep)
	if err != nil {
		t.Fatal(err)
	}
	rr := NewHeartbeatReader(1 << 20)
	if n := testing.AllocsPerRun(100, func() {
		if _, err := rr.Parse(body); err != nil {
			t.Fatal(err)
		}
	}); n > 10 {
		t.Errorf("a report of 32 tasks as before takes %.0f allocations", n)
	}
}
