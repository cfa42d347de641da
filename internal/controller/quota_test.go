package controller

import (
	"reflect"
	"strings"
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// withGroup returns a function that adds a group of all teams with the given limit of CPUs to a
// configuration, and enables tracing.
func withGroup(t *testing.T, cpus float64) func(*Config) {
	return func(c *Config) {
		var teams []string
		for _, team := range c.Teams {
			teams = append(teams, team.Name)
		}
		tree, err := quota.NewTree(quota.Options{Groups: []quota.GroupOptions{{Name: "all", Teams: teams, Limit: quota.CPULimit(cpus)}}}, teams)
		if err != nil {
			t.Fatal(err)
		}
		c.Quota, c.Trace = tree, true
	}
}

// quotaRequest sends an operator's request and returns the response.
func (h *harness) quotaRequest(req peer.QuotaRequest) *peer.QuotaResponse {
	a := h.request(func(r ReplyID) Input { return PeerRequest{Reply: r, Req: peer.Request{Quota: &req}} })
	resp, ok := a.Body.(*peer.Response)
	if !ok || resp.Quota == nil {
		h.t.Fatalf("answer: status %d, body %+v, want a quota response", a.Status, a.Body)
	}
	return resp.Quota
}

// groupRecord returns the stored record of the group, or a zero record if there is none.
func (h *harness) groupRecord() quota.Record {
	var rec quota.Record
	if kv, ok := h.keys[wire.QuotaKey("all")]; ok {
		if err := wire.Decode(kv.Value, &rec); err != nil {
			h.t.Fatal(err)
		}
	}
	return rec
}

// TestGroupLimitBoundsStarts checks that a group's limit bounds how many tasks start. A lower limit
// set by an operator takes effect at once, also while cancelled tasks may still run on a machine
// that sends no heartbeats. When the operator clears it, the limit of the options applies again.
func TestGroupLimitBoundsStarts(t *testing.T) {
	h := newHarness(t, withGroup(t, 3))
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 10))
	h.run(3 * sec)
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 4, fencingToken))
	started := startCommands(body.Commands)
	for _, o := range h.directStarts() {
		started = append(started, startCommands(o.Req.(wire.DirectCommand).Commands)...)
	}
	if len(started) != 3 {
		t.Fatalf("%d tasks started, want 3, the group's limit", len(started))
	}
	if rec := h.groupRecord(); rec.LastInForce == nil || *rec.LastInForce.CPUs != 3 {
		t.Errorf("limit in force: %v, want 3 CPUs", rec.LastInForce)
	}
	// Writes of rows are conditional on the shard's owner key, those of definitions on the leader's.
	writesByKey := map[string]int{}
	for _, txn := range h.appliedTxns {
		if txn.Changes[0].Put == wire.QuotaKey("all") && len(txn.Conditions) == 2 && txn.Conditions[1].ModRevision != 0 {
			writesByKey[txn.Conditions[1].Key]++
		}
	}
	if writesByKey[wire.KeyLeader] != 1 || writesByKey[ownerKey(0)] == 0 {
		t.Errorf("writes by the key that they are conditional on: %v", writesByKey)
	}
	low := quota.CPULimit(1)
	if resp := h.quotaRequest(peer.QuotaRequest{Set: &peer.SetLimit{Group: "all", Limit: low}}); resp.Problem != "" || resp.Epoch != 2 {
		t.Errorf("response to the lower limit: %+v", resp)
	}
	h.run(sec)
	st := h.quotaRequest(peer.QuotaRequest{})
	if g := st.Groups[0]; g.State != quota.StateAnnounced || len(g.Blockers) != 1 || g.Blockers[0].Owner != "n-0" || g.Blockers[0].Reason != quota.StillUsed || g.Source != quota.FromOperator {
		t.Errorf("status of the group: %+v", g)
	}
	// The job is cancelled, but its machine sends no heartbeat: tasks that may run there still count.
	h.cancel("job-000001")
	h.submit(newSubmission("job-000002", 2))
	h.run(2 * sec)
	if got := h.c.jobs.open["job-000002"].run; len(got.active) != 0 {
		t.Errorf("%d tasks started while cancelled ones may still run, want none", len(got.active))
	}
	if resp := h.quotaRequest(peer.QuotaRequest{Set: &peer.SetLimit{Group: "all", Clear: true}}); resp.Problem != "" {
		t.Error(resp.Problem)
	}
	h.run(3 * sec)
	if rec := h.groupRecord(); *rec.Limit.CPUs != 3 || rec.Source != quota.FromOptions {
		t.Errorf("after clearing, the limit is %v from %s, want 3 CPUs from the options", rec.Limit, rec.Source)
	}
}

// TestQuotaRequests checks that an invalid request is answered with the reason and changes nothing,
// and that without the option nothing is watched or sent until another controller reports that it
// handles quotas.
func TestQuotaRequests(t *testing.T) {
	h := newHarness(t, withGroup(t, 3))
	h.run(3 * sec)
	before := h.groupRecord()
	negative := -1.0
	for _, tc := range []struct {
		name, want string
		set        peer.SetLimit
	}{
		{"an unknown group", "no such group", peer.SetLimit{Group: "none", Limit: quota.CPULimit(1)}},
		{"a negative limit", "limit.cpus = -1", peer.SetLimit{Group: "all", Limit: quota.Limit{CPUs: &negative}}},
	} {
		if resp := h.quotaRequest(peer.QuotaRequest{Set: &tc.set}); !strings.Contains(resp.Problem, tc.want) {
			t.Errorf("%s: answer %q does not contain the reason", tc.name, resp.Problem)
		}
	}
	h.run(sec)
	if !reflect.DeepEqual(h.groupRecord(), before) {
		t.Errorf("the record has changed to %+v from %+v", h.groupRecord(), before)
	}
	// Without the option no groups are shown, and nothing is sent or written.
	withoutOption := newHarness(t, withPeer)
	if resp := withoutOption.quotaRequest(peer.QuotaRequest{}); !strings.Contains(resp.Problem, "no groups") {
		t.Errorf("without the option, the answer is %q", resp.Problem)
	}
	for _, w := range withoutOption.watches {
		if w.Req.(statestore.WatchKeys).Prefix == wire.PrefixQuota {
			t.Error("without the option, the records of groups are watched")
		}
	}
	for _, st := range withoutOption.statusesSent {
		if st.EnforcesQuota || st.Traces != nil {
			t.Errorf("without the option, quota fields are sent to other controllers: %+v", st)
		}
	}
	// Once another controller reports that it handles quotas, this one handles them too.
	withoutOption.request(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: true, EnforcesQuota: true}}}}
	})
	withoutOption.run(sec)
	if resp := withoutOption.quotaRequest(peer.QuotaRequest{}); resp.Problem != "" {
		t.Errorf("after another controller reported quota handling, the answer is %q", resp.Problem)
	}
}

// TestQuotaTrace checks that quota that this controller gives up belongs to the trace begun by
// another controller that asked for it. The context of the trace comes with a status message.
func TestQuotaTrace(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		withPeer(c)
		withGroup(t, 3)(c)
	})
	trace, span := [16]byte{1, 2}, [8]byte{3}
	h.request(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: true, EnforcesQuota: true},
			Traces: []peer.TraceContext{{Group: "all", Shard: 1, TraceID: trace[:], SpanID: span[:], BeganUS: 1}, {Group: "all", Shard: 2, TraceID: []byte("short")}}}}}
	})
	h.c.effects = nil
	h.c.quota.traceQuota(quota.Changed{Kind: quota.Shrunk, Group: "all", Shard: 0, From: quota.Amount{CPUs: 2}, To: quota.Amount{CPUs: 1}})
	if s, ok := h.c.effects[0].(Span); !ok || s.Trace != trace || s.Parent != span || s.Name != "quota.shrinking" {
		t.Errorf("span of the reduction: %+v", h.c.effects)
	}
	h.c.quota.traceQuota(quota.Changed{Kind: quota.ClaimChanged, Group: "all", Shard: 0})
	asked := h.c.effects[1].(Span)
	if contexts := h.c.quota.openTraces(); len(contexts) != 1 || [16]byte(contexts[0].TraceID) != asked.Trace || [8]byte(contexts[0].SpanID) != asked.ID {
		t.Errorf("trace contexts sent to others: %+v, want that of %+v", contexts, asked)
	}
}

// TestOlderVersionsReadStatusWithGroups checks that an older version can read the fields that it
// knows from a status message with quota fields.
func TestOlderVersionsReadStatusWithGroups(t *testing.T) {
	st := &peer.Status{ControllerState: peer.ControllerState{UptimeUS: 5, StateReachable: true, Claims: []peer.ShardClaim{{Shard: 1, OwnerEpoch: 7}}, EnforcesQuota: true}, ReturnedMachines: []string{"vm-1"},
		Traces: []peer.TraceContext{{Group: "all", TraceID: make([]byte, 16), SpanID: make([]byte, 8)}}}
	sent, err := peer.Encode(peer.Request{From: "n-1", Status: st})
	if err != nil {
		t.Fatal(err)
	}
	type about struct {
		UptimeUS int64             `msgpack:"u"`
		StateOK  bool              `msgpack:"k"`
		Owns     []peer.ShardClaim `msgpack:"o,omitempty"`
	}
	type status struct {
		about `msgpack:",inline"`
		Gone  []string `msgpack:"g,omitempty"`
	}
	var got struct {
		From   string  `msgpack:"f"`
		Status *status `msgpack:"s,omitempty"`
	}
	if err := peer.Decode(sent, &got); err != nil || got.Status == nil || got.Status.UptimeUS != 5 || len(got.Status.Owns) != 1 || len(got.Status.Gone) != 1 {
		t.Errorf("an older version reads %+v, error %v", got.Status, err)
	}
}

// BenchmarkQuota compares the cost of a heartbeat with groups and spans, with groups, and with
// neither. Without groups, quota handling must add nothing.
func BenchmarkQuota(b *testing.B) {
	for _, tc := range []struct {
		name          string
		groups, trace bool
	}{{"off", false, false}, {"groups", true, false}, {"groups and spans", true, true}} {
		b.Run(tc.name, func(b *testing.B) {
			h := newLargeHarness(b, 700, 100, 1000)
			if tc.groups {
				tree, err := quota.NewTree(quota.Options{Groups: []quota.GroupOptions{{Name: "all", Teams: []string{"t", "u"}, Limit: quota.CPULimit(1e6)}}}, []string{"t", "u"})
				if err != nil {
					b.Fatal(err)
				}
				h.c.quota.tree, h.c.cfg.Trace = tree, tc.trace
				h.c.enableQuota()
				h.run(5 * sec)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.finishOneTask(i % 700)
			}
		})
	}
}

// FuzzQuotaRecord checks that a controller keeps answering whatever is stored under a group's key.
func FuzzQuotaRecord(f *testing.F) {
	limit := quota.CPULimit(3)
	for _, rec := range []quota.Record{{}, {Epoch: 3, Definition: quota.Definition{Parent: "all", Teams: []string{"t"}, Members: []string{"t"}, Limit: limit}, Rows: []quota.Row{{Shard: 9}, {Shard: -1}}}} {
		value, err := wire.Encode(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		h := newHarness(t, withGroup(t, 3))
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Put: wire.QuotaKey("all"), Value: value}}})
		h.run(600 * ms)
		h.quotaRequest(peer.QuotaRequest{})
		if h.jobStatus("job-000001").Status != 404 {
			t.Error("a user's request for an unknown job was not answered with status 404")
		}
	})
}
