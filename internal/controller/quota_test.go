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

// withGroup gives a controller one group of all teams.
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

func (h *harness) quotaAsk(req peer.QuotaRequest) *peer.QuotaResponse {
	a := h.ask(func(r ReplyID) Input { return PeerRequest{Reply: r, Req: peer.Request{Quota: &req}} })
	resp, ok := a.Body.(*peer.Response)
	if !ok || resp.Quota == nil {
		h.t.Fatalf("answered %d %+v", a.Status, a.Body)
	}
	return resp.Quota
}

func (h *harness) group() quota.Record {
	var rec quota.Record
	if kv, ok := h.keys[wire.QuotaKey("all")]; ok {
		if err := wire.Decode(kv.Value, &rec); err != nil {
			h.t.Fatal(err)
		}
	}
	return rec
}

// TestGroupLimitBoundsStarts checks that a group's limit bounds what is started, an operator's
// lower one at once, also where its tasks can't be seen gone; cleared, the options count again.
func TestGroupLimitBoundsStarts(t *testing.T) {
	h := newHarness(t, withGroup(t, 3))
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 10))
	h.run(3 * sec)
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 4, fencingToken))
	started := starts(body.Commands)
	for _, o := range h.directCommands() {
		started = append(started, starts(o.Req.(wire.DirectCommand).Commands)...)
	}
	if len(started) != 3 {
		t.Fatalf("%d tasks started, the group's limit is 3", len(started))
	}
	if rec := h.group(); rec.LastInForce == nil || *rec.LastInForce.CPUs != 3 {
		t.Errorf("in force is %v", rec.LastInForce)
	}
	// Rows are written under the shard's owner key, definitions under the leader's.
	under := map[string]int{}
	for _, txn := range h.done {
		if txn.Changes[0].Put == wire.QuotaKey("all") && len(txn.Conditions) == 2 && txn.Conditions[1].ModRevision != 0 {
			under[txn.Conditions[1].Key]++
		}
	}
	if under[wire.KeyLeader] != 1 || under[ownerKey(0)] == 0 {
		t.Errorf("written under %v", under)
	}
	low := quota.CPULimit(1)
	if resp := h.quotaAsk(peer.QuotaRequest{Set: &peer.SetLimit{WaitingTasks: "all", Limit: low}}); resp.Problem != "" || resp.Epoch != 2 {
		t.Errorf("lowering it says %+v", resp)
	}
	h.run(sec)
	st := h.quotaAsk(peer.QuotaRequest{})
	if g := st.Groups[0]; g.State != quota.StateAnnounced || len(g.Blockers) != 1 || g.Blockers[0].Owner != "n-0" || g.Blockers[0].Reason != quota.StillUsed || g.Source != quota.FromOperator {
		t.Errorf("shown as %+v", g)
	}
	// The job is cancelled, its machine says nothing: what could run there counts.
	h.cancel("job-000001")
	h.submit(jobOf("job-000002", 2))
	h.run(2 * sec)
	if got := h.c.jobs.open["job-000002"].run; len(got.active) != 0 {
		t.Errorf("%d tasks started beside cancelled ones that may run", len(got.active))
	}
	if resp := h.quotaAsk(peer.QuotaRequest{Set: &peer.SetLimit{WaitingTasks: "all", Clear: true}}); resp.Problem != "" {
		t.Error(resp.Problem)
	}
	h.run(3 * sec)
	if rec := h.group(); *rec.Limit.CPUs != 3 || rec.Source != quota.FromOptions {
		t.Errorf("cleared, the limit is %v by %s", rec.Limit, rec.Source)
	}
}

// TestQuotaRequests checks that a request that can't be met is answered so, and changes nothing.
func TestQuotaRequests(t *testing.T) {
	h := newHarness(t, withGroup(t, 3))
	h.run(3 * sec)
	before := h.group()
	negative := -1.0
	for _, tc := range []struct {
		name, want string
		set        peer.SetLimit
	}{
		{"an unknown group", "no such group", peer.SetLimit{WaitingTasks: "none", Limit: quota.CPULimit(1)}},
		{"a negative limit", "limit.cpus = -1", peer.SetLimit{WaitingTasks: "all", Limit: quota.Limit{CPUs: &negative}}},
	} {
		if resp := h.quotaAsk(peer.QuotaRequest{Set: &tc.set}); !strings.Contains(resp.Problem, tc.want) {
			t.Errorf("%s: %q", tc.name, resp.Problem)
		}
	}
	h.run(sec)
	if !reflect.DeepEqual(h.group(), before) {
		t.Errorf("the record is %+v, was %+v", h.group(), before)
	}
	// Without the option there is nothing to show, nothing is sent and nothing written.
	off := newHarness(t, withPeer)
	if resp := off.quotaAsk(peer.QuotaRequest{}); !strings.Contains(resp.Problem, "no groups") {
		t.Errorf("without the option: %q", resp.Problem)
	}
	for _, w := range off.watches {
		if w.Req.(statestore.WatchKeys).Prefix == wire.PrefixQuota {
			t.Error("without the option, groups are watched")
		}
	}
	for _, st := range off.statusesSent {
		if st.Quota || st.Traces != nil {
			t.Errorf("without the option, others are sent %+v", st)
		}
	}
	// Another controller shows that it keeps groups: this one follows.
	off.ask(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateOK: true, Quota: true}}}}
	})
	off.run(sec)
	if resp := off.quotaAsk(peer.QuotaRequest{}); resp.Problem != "" {
		t.Errorf("beside one that keeps groups: %q", resp.Problem)
	}
}

// TestQuotaTrace checks that what one controller gives up for another's asking belongs to the trace
// that the other began, whose context came with a status message.
func TestQuotaTrace(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		withPeer(c)
		withGroup(t, 3)(c)
	})
	trace, span := [16]byte{1, 2}, [8]byte{3}
	h.ask(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateOK: true, Quota: true},
			Traces: []peer.TraceContext{{WaitingTasks: "all", Shard: 1, Trace: trace[:], Span: span[:], BeganUS: 1}, {WaitingTasks: "all", Shard: 2, Trace: []byte("short")}}}}}
	})
	h.c.effects = nil
	h.c.quota.traceQuota(quota.Changed{Kind: quota.Shrunk, Group: "all", Shard: 0, From: quota.Amount{CPUs: 2}, To: quota.Amount{CPUs: 1}})
	if s, ok := h.c.effects[0].(Span); !ok || s.Trace != trace || s.Parent != span || s.Name != "quota.shrinking" {
		t.Errorf("%+v", h.c.effects)
	}
	h.c.quota.traceQuota(quota.Changed{Kind: quota.ClaimChanged, Group: "all", Shard: 0})
	asked := h.c.effects[1].(Span)
	if contexts := h.c.quota.openTraces(); len(contexts) != 1 || [16]byte(contexts[0].Trace) != asked.Trace || [8]byte(contexts[0].Span) != asked.ID {
		t.Errorf("others are sent %+v of %+v", contexts, asked)
	}
}

// TestOlderVersionsReadStatusWithGroups checks that an older version reads the fields of a message
// that it knows.
func TestOlderVersionsReadStatusWithGroups(t *testing.T) {
	st := &peer.Status{ControllerState: peer.ControllerState{UptimeUS: 5, StateOK: true, Claims: []peer.ShardClaim{{Shard: 1, OwnerEpoch: 7}}, Quota: true}, ReturnedMachines: []string{"vm-1"},
		Traces: []peer.TraceContext{{WaitingTasks: "all", Trace: make([]byte, 16), Span: make([]byte, 8)}}}
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
		t.Errorf("read as %+v, %v", got.Status, err)
	}
}

// BenchmarkQuota compares a heartbeat's way with groups and spans, with groups, and without
// either: without, nothing may be added.
func BenchmarkQuota(b *testing.B) {
	for _, tc := range []struct {
		name          string
		groups, trace bool
	}{{"off", false, false}, {"groups", true, false}, {"groups and spans", true, true}} {
		b.Run(tc.name, func(b *testing.B) {
			h := bigHarness(b, 700, 100, 1000)
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
				h.turn(i % 700)
			}
		})
	}
}

// FuzzQuotaRecord checks that a controller survives whatever stands under a group's key.
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
		h.txn(wire.Txn{Changes: []wire.Change{{Put: wire.QuotaKey("all"), Value: value}}})
		h.run(600 * ms)
		h.quotaAsk(peer.QuotaRequest{})
		if h.jobStatus("job-000001").Status != 404 {
			t.Error("no answer to a user")
		}
	})
}
