package quota

import "testing"

// holding is a ledger that holds shard 0 of two, whose record says what a test wants.
type holding struct {
	t      *testing.T
	l      *Ledger
	now    Instant
	writes []Write
}

func newHolding(t *testing.T, rec Record, others ...Record) *holding {
	h := &holding{t: t, l: NewLedger(Config{Shards: 2, Timing: DefaultTiming()})}
	h.step(Held{Shard: 0})
	for i, r := range append([]Record{rec}, others...) {
		h.step(Learned{Group: []string{"inner", "outer"}[i], Record: r, ModRevision: 10})
	}
	h.step(Refreshed{Shard: 0})
	return h
}

func (h *holding) step(in Input) {
	h.now.Steady += sec
	for _, e := range h.l.Step(h.now, in) {
		if w, ok := e.(Write); ok {
			h.writes = append(h.writes, w)
		}
	}
}

// claim says what the shard uses and wants of the innermost group, in tasks of one CPU.
func (h *holding) claim(used, waiting int) map[string]Use {
	team := TeamDemand{Groups: h.l.Path("t"), Used: Amount{CPUs: float64(used)}}
	if waiting > 0 {
		team.Waiting = []WaitingTasks{{Size: Amount{CPUs: 1}, Count: waiting, SinceMS: 1}}
	}
	return h.l.Claims(0, true, []TeamDemand{team})
}

func (h *holding) reportUsage(used, waiting int) {
	h.step(Used{Shard: 0, Groups: h.claim(used, waiting)})
}

func row(shard int, allowance, want float64, seen uint64) Row {
	return Row{Shard: shard, Allowance: Amount{CPUs: allowance}, Claim: Claim{Want: Amount{CPUs: want}, SmallestTask: Amount{CPUs: 1}}, Seen: seen}
}

func inForce(cpus float64, rows ...Row) Record {
	limit := CPULimit(cpus)
	return Record{Definition: Definition{Teams: []string{"t"}, Members: []string{"t"}, Limit: limit}, Epoch: 1, Applied: &limit, Rows: rows}
}

// TestUnknownOutcome: what a write of unknown outcome gives up is not granted, and not lost
// for ever either: the record is written again until it is clear.
func TestUnknownOutcome(t *testing.T) {
	h := newHolding(t, inForce(10, row(0, 8, 8, 1), row(1, 2, 2, 1)))
	h.reportUsage(2, 0)
	for range 8 { // it stands unused until it is given up
		h.reportUsage(2, 0)
	}
	if len(h.writes) != 1 {
		t.Fatalf("%d writes give up what stands unused", len(h.writes))
	}
	if got := h.l.Allowed(0, "inner").CPUs; got != 2 {
		t.Errorf("%g CPUs allowed, 2 are left by a write that was sent", got)
	}
	h.step(Wrote{ID: h.writes[0].ID, Outcome: Unknown})
	h.reportUsage(2, 6) // wanted again, and the record still says 8
	if got := h.l.Allowed(0, "inner").CPUs; got != 2 {
		t.Errorf("%g CPUs allowed, 2 are left by a write that may be carried out", got)
	}
	h.reportUsage(2, 6)
	if len(h.writes) != 2 {
		t.Fatalf("%d writes: the unknown one is not settled", len(h.writes))
	}
	h.step(Wrote{ID: h.writes[1].ID, Outcome: Applied, ModRevision: 11})
	if got := h.l.Allowed(0, "inner").CPUs; got != 8 {
		t.Errorf("%g CPUs allowed once it is settled, want 8", got)
	}
	h.step(Learned{Group: "inner", Record: h.writes[0].Record, ModRevision: 9}) // an older one
	if got := h.l.Allowed(0, "inner").CPUs; got != 8 {
		t.Errorf("%g CPUs allowed after an older record came", got)
	}
}

// TestOuterGroupIsAskedLater: an outer group is asked only for tasks that have quota of the
// inner one.
func TestOuterGroupIsAskedLater(t *testing.T) {
	inner := inForce(10, row(0, 0, 0, 1), row(1, 10, 10, 1))
	inner.Parent = "outer"
	outer := inForce(20, row(0, 0, 0, 1), row(1, 10, 10, 1))
	outer.Teams = nil
	h := newHolding(t, inner, outer)
	uses := h.claim(0, 5)
	if in, out := uses["inner"].Want.CPUs, uses["outer"].Want.CPUs; in != 5 || out != 0 {
		t.Errorf("wants %g of the inner group and %g of the outer one", in, out)
	}
	h.step(Used{Shard: 0, Groups: uses})
	inner.Rows = []Row{row(0, 3, 5, 1), row(1, 7, 7, 1)}
	h.step(Learned{Group: "inner", Record: inner, ModRevision: 11})
	if out := h.claim(0, 5)["outer"].Want.CPUs; out != 3 {
		t.Errorf("wants %g of the outer group with quota for 3 of the inner one", out)
	}
}

// TestExcessIsMadeUpFor: where others don't give up their part of a lowered limit, this
// shard gives up more after a while, as far as it is unused.
func TestExcessIsMadeUpFor(t *testing.T) {
	rec := inForce(10, row(0, 10, 10, 1), row(1, 10, 10, 1))
	old := CPULimit(20)
	rec.Applied, rec.Epoch = &old, 2
	h := newHolding(t, rec)
	h.reportUsage(2, 8)
	if n := len(h.writes); n != 1 || h.writes[0].Record.Rows[0].Allowance.CPUs != 5 || h.writes[0].Record.Rows[0].Seen != 2 {
		t.Fatalf("first %d writes, %+v", n, h.writes)
	}
	h.step(Wrote{ID: h.writes[0].ID, Outcome: Applied, ModRevision: 11})
	for range 6 {
		h.reportUsage(2, 8)
	}
	if n := len(h.writes); n != 2 || h.writes[1].Record.Rows[0].Allowance.CPUs != 2 {
		t.Errorf("then %d writes, %+v", n, h.writes[1:])
	}
}

// TestSetConflict: an operator's request that another has come before fails, one whose
// write was carried out with its answer lost is recognised, one that waits too long fails.
func TestSetConflict(t *testing.T) {
	limit, other := CPULimit(5), CPULimit(7)
	for _, tc := range []struct {
		name     string
		override *Limit // in the record that is read after the write was not answered
		epoch    uint64
		later    Micros
		want     SetStatus
	}{
		{"another's came first", &other, 2, 0, SetConflict},
		{"its own, with the answer lost", &limit, 2, 0, SetAnnounced},
		{"nothing can be read for long", nil, 1, 10 * sec, SetBusy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHolding(t, inForce(10, row(0, 5, 5, 1), row(1, 5, 5, 1)))
			var done []SetDone
			step := func(in Input) {
				h.now.Steady += sec
				for _, e := range h.l.Step(h.now, in) {
					switch e := e.(type) {
					case Write:
						h.writes = append(h.writes, e)
					case SetDone:
						done = append(done, e)
					}
				}
			}
			step(Set{Token: 1, Group: "inner", Limit: &limit})
			if len(h.writes) != 1 || !h.writes[0].Record.Override.Equal(limit) {
				t.Fatalf("writes %+v", h.writes)
			}
			h.now.Steady += tc.later
			rec := inForce(10, row(0, 5, 5, 1), row(1, 5, 5, 1))
			rec.Override, rec.Epoch = tc.override, tc.epoch
			if tc.epoch > 1 {
				step(Learned{Group: "inner", Record: rec, ModRevision: 11})
			}
			step(Wrote{ID: h.writes[0].ID, Outcome: Unknown})
			step(Tick{})
			if len(done) != 1 || done[0].Status != tc.want {
				t.Errorf("done %+v, want status %d", done, tc.want)
			}
		})
	}
}

// TestMembersJoin: a group's record says by itself whom it binds, also before the record of
// a group within it is known; and what a team used before it joined is told anew before
// the limit counts as in force.
func TestMembersJoin(t *testing.T) {
	lake := Definition{Name: "lake", Parent: "all", Teams: []string{"b"}}
	defs := withMembers([]Definition{{Name: "all", Teams: []string{"a"}, Limit: CPULimit(4)}, lake})
	l := NewLedger(Config{Shards: 1, Timing: DefaultTiming()})
	rec := inForce(4, row(0, 4, 4, 1))
	rec.Definition = defs[0]
	l.Step(Instant{Steady: sec}, Learned{Group: "all", Record: rec, ModRevision: 3})
	if path := l.Path("b"); len(path) != 1 || path[0] != "all" {
		t.Errorf("with the outer record alone, team b is in %v", path)
	}
	l.Step(Instant{Steady: sec}, Learned{Group: "lake", Record: Record{Definition: defs[1]}, ModRevision: 4})
	if path := l.Path("b"); len(path) != 2 || path[0] != "lake" {
		t.Errorf("team b is in %v", path)
	}
	lake.Teams = []string{"b", "c"}
	var joined *Record
	for _, e := range l.Step(Instant{Steady: 2 * sec}, Announce{Definitions: []Definition{{Name: "all", Teams: []string{"a"}, Limit: CPULimit(4)}, lake}}) {
		if w, ok := e.(Write); ok && w.Group == "all" {
			joined = &w.Record
		}
	}
	if joined == nil || joined.Applied != nil || len(joined.Rows) != 0 || joined.Epoch != 2 {
		t.Errorf("after team c joined: %+v", joined)
	}
}
