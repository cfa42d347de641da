package controller

import "testing"

// TestCommandQueue checks that a machine waits once, in turn, and for as long as it is this node's;
// a full queue keeps it.
func TestCommandQueue(t *testing.T) {
	newMachine := func(id string) *machine { return &machine{id: id, view: &machineView{}} }
	a, b, gone := newMachine("vm-a"), newMachine("vm-b"), newMachine("vm-gone")
	q := commandQueue{maxInFlight: 1}
	for _, m := range []*machine{a, gone, b, a} {
		q.push(m)
	}
	gone.view = nil
	if m := q.next(); m != a {
		t.Fatalf("first %v, want vm-a", m)
	}
	q.inFlight = 1
	if m := q.next(); m != nil {
		t.Fatalf("%v while all requests are in flight", m.id)
	}
	if n := len(q.waiting); n != 1 {
		t.Errorf("%d machines wait, want 1", n)
	}
	q.inFlight = 0
	if m := q.next(); m != b {
		t.Fatalf("second %v, want vm-b", m)
	}
	if m := q.next(); m != nil {
		t.Errorf("%v, it has had its turn", m.id)
	}
	q.push(a)
	if m := q.next(); m != a {
		t.Errorf("%v, want vm-a again", m)
	}
}

// TestCommandQueueProbes checks that probes take a part of the requests in flight, and none when
// all are in flight.
func TestCommandQueueProbes(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		maxInFlight, inFlight int
		want                  int
	}{
		{"a quarter", 40, 0, 10},
		{"at least four", 8, 0, 4},
		{"all in flight", 40, 40, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := commandQueue{maxInFlight: tc.maxInFlight, inFlight: tc.inFlight}
			q.resetProbes()
			got := 0
			for q.takeProbe() {
				got++
			}
			if got != tc.want {
				t.Errorf("%d probes, want %d", got, tc.want)
			}
		})
	}
}
