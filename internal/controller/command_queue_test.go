package controller

import "testing"

// TestCommandQueue checks that a machine waits only once and in FIFO order, that the queue drops a
// machine whose shard this node does not own any more, and that a machine keeps waiting while the
// bound on requests in flight is reached.
func TestCommandQueue(t *testing.T) {
	newMachine := func(id string) *machine { return &machine{id: id, view: &machineView{}} }
	a, b, gone := newMachine("vm-a"), newMachine("vm-b"), newMachine("vm-gone")
	q := commandQueue{maxInFlight: 1}
	for _, m := range []*machine{a, gone, b, a} {
		q.push(m)
	}
	gone.view = nil
	if m := q.next(); m != a {
		t.Fatalf("first machine %v, want vm-a", m)
	}
	q.inFlight = 1
	if m := q.next(); m != nil {
		t.Fatalf("next returned %v although the requests in flight are at their bound", m.id)
	}
	if n := len(q.waiting); n != 1 {
		t.Errorf("%d machines wait, want 1", n)
	}
	q.inFlight = 0
	if m := q.next(); m != b {
		t.Fatalf("second machine %v, want vm-b", m)
	}
	if m := q.next(); m != nil {
		t.Errorf("next returned %v again, want no machine", m.id)
	}
	q.push(a)
	if m := q.next(); m != a {
		t.Errorf("after another push: %v, want vm-a", m)
	}
}

// TestCommandQueueProbes checks that only a part of the requests in flight may be probes, and that
// no probe begins when the requests in flight are at their bound.
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
