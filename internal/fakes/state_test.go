package fakes

import (
	"bytes"
	"fmt"
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
)

func newTestState() (*manualClock, *State) {
	clock := &manualClock{}
	return clock, NewState(clock, StateLimits{ValueBytes: 100, TxnOps: 2})
}

// put returns a transaction that stores the encoding of size bytes under a key.
func put(t *testing.T, key string, size int) wire.Txn {
	t.Helper()
	value, err := wire.Encode(bytes.Repeat([]byte{1}, size))
	if err != nil {
		t.Fatal(err)
	}
	return wire.Txn{Changes: []wire.Change{{Put: key, Value: value}}}
}

func TestStateTransaction(t *testing.T) {
	ifRevision := func(txn wire.Txn, revision uint64) wire.Txn {
		txn.Conditions = []wire.Condition{{Key: "a", ModRevision: revision}}
		return txn
	}
	withLease := func(txn wire.Txn, lease uint64) wire.Txn {
		txn.Changes[0].Lease = lease
		return txn
	}
	three := wire.Txn{Changes: []wire.Change{{Delete: "x"}, {Delete: "y"}, {Delete: "z"}}}
	for _, tc := range []struct {
		name   string
		txn    wire.Txn
		status int
	}{
		{"without condition", put(t, "b", 1), 200},
		{"condition holds", ifRevision(put(t, "a", 1), 1), 200},
		{"key changed since", ifRevision(put(t, "a", 1), 7), 409},
		{"key exists", ifRevision(put(t, "a", 1), 0), 409},
		{"value too large", put(t, "b", 200), 400},
		{"too many changes", three, 400},
		{"unknown lease", withLease(put(t, "b", 1), 9), 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, state := newTestState()
			mustAnswer(t, state, put(t, "a", 1), 200) // at revision 1
			mustAnswer(t, state, tc.txn, tc.status)
			changed := state.Revision() != 1
			if applied := tc.status == 200; changed != applied {
				t.Errorf("changed: %v, want %v", changed, applied)
			}
		})
	}
}

func TestStateLease(t *testing.T) {
	clock, state := newTestState()
	lease := mustAnswer(t, state, wire.NewLease{TTLMS: 1000}, 200).(*wire.Lease).ID
	txn := put(t, "a", 1)
	txn.Changes[0].Lease = lease
	mustAnswer(t, state, txn, 200)
	clock.advance(900 * millisecond)
	mustAnswer(t, state, statestore.RenewLease{Lease: lease}, 200)
	clock.advance(900 * millisecond)
	mustAnswer(t, state, statestore.GetKey{Key: "a"}, 200)

	state.SetOutage(clock.Now() + 5*second)
	clock.advance(4 * second)
	mustAnswer(t, state, statestore.GetKey{Key: "a"}, 503)
	clock.advance(1900 * millisecond) // the lease lasts its full time after the outage
	mustAnswer(t, state, statestore.GetKey{Key: "a"}, 200)

	clock.advance(200 * millisecond)
	mustAnswer(t, state, statestore.GetKey{Key: "a"}, 404)
	mustAnswer(t, state, statestore.RenewLease{Lease: lease}, 404)
}

func TestStateWatch(t *testing.T) {
	clock, state := newTestState()
	mustAnswer(t, state, put(t, "a/1", 1), 200)
	past := mustAnswer(t, state, statestore.WatchKeys{Prefix: "a/", WaitMS: 1000}, 200).(*wire.Events)
	if len(past.Events) != 1 || past.Events[0].Put != "a/1" {
		t.Errorf("events %+v, want the put of a/1", past.Events)
	}

	waiting := send(state, statestore.WatchKeys{Prefix: "a/", Since: 1, WaitMS: 1000})
	mustAnswer(t, state, put(t, "b/1", 1), 200)
	if waiting() != nil {
		t.Fatal("a watch is answered with an event of another prefix")
	}
	mustAnswer(t, state, wire.Txn{Changes: []wire.Change{{Delete: "a/1"}}}, 200)
	answer := waiting()
	if answer == nil {
		t.Fatal("a watch is not answered")
	}
	if events := answer.Body.(*wire.Events).Events; len(events) != 1 || events[0].Delete != "a/1" {
		t.Errorf("events %+v, want the deletion of a/1", events)
	}

	idle := send(state, statestore.WatchKeys{Prefix: "a/", Since: state.Revision(), WaitMS: 1000})
	clock.advance(second)
	answer = idle()
	if answer == nil || len(answer.Body.(*wire.Events).Events) != 0 {
		t.Errorf("after its wait time a watch is answered with %+v, want no events", answer)
	}
}

func TestStatePages(t *testing.T) {
	_, state := newTestState()
	const keys = 2*maxPageItems + 1
	for i := range keys {
		mustAnswer(t, state, put(t, fmt.Sprintf("a/%02d", i), 1), 200)
	}
	mustAnswer(t, state, put(t, "b/1", 1), 200)
	after, got, pages := "", 0, 0
	for more := true; more; pages++ {
		page := mustAnswer(t, state, statestore.ListKeys{Prefix: "a/", After: after, Limit: 100}, 200).(*wire.KeyList)
		got += len(page.Items)
		after = page.Items[len(page.Items)-1].Key
		more = page.More
	}
	if got != keys || pages != 3 {
		t.Errorf("%d keys on %d pages, want %d on 3", got, pages, keys)
	}
}

func TestStateWriteLimit(t *testing.T) {
	clock, state := newTestState()
	limits := state.Limits()
	limits.WritesPerSecond = 2
	state.SetLimits(limits)
	mustAnswer(t, state, put(t, "a", 1), 200)
	mustAnswer(t, state, put(t, "a", 1), 200)
	mustAnswer(t, state, put(t, "a", 1), 429)
	clock.advance(500 * millisecond)
	mustAnswer(t, state, put(t, "a", 1), 200)
	mustAnswer(t, state, put(t, "a", 1), 429)
}
