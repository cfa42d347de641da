package quota

import (
	"slices"
	"testing"
)

// TestMembersOfNestedGroups checks that a group's record says by itself whom it binds, also before the record
// of a group within it is known; and what a team used before it joined is registered anew before
// the limit counts as in force.
func TestMembersOfNestedGroups(t *testing.T) {
	all := Definition{Name: "all", Teams: []string{"a"}, Limit: CPULimit(4)}
	lake := Definition{Name: "lake", Parent: "all", Teams: []string{"b"}}
	definitions := withMembers([]Definition{all, lake})
	l := NewLedger(Config{Shards: 1, Timing: DefaultTiming()})
	now := Instant{Steady: sec}

	record := recordInForce(4, row(0, 4, 4, 1))
	record.Definition = definitions[0]
	l.Step(now, Learned{Group: "all", Record: record, ModRevision: 3})
	requirePath(t, l, "b", "all")
	l.Step(now, Learned{Group: "lake", Record: Record{Definition: definitions[1]}, ModRevision: 4})
	requirePath(t, l, "b", "lake", "all")

	lake.Teams = []string{"b", "c"}
	now.Steady += sec
	var joined *Record
	for _, e := range l.Step(now, Announce{Definitions: []Definition{all, lake}}) {
		if w, ok := e.(Write); ok && w.Group == "all" {
			joined = &w.Record
		}
	}
	if joined == nil || joined.LastInForce != nil || len(joined.Rows) != 0 || joined.Epoch != 2 {
		t.Errorf("after team c joined: %+v", joined)
	}
}

// requirePath fails the test if a team is in other groups, the innermost first.
func requirePath(t *testing.T, l *Ledger, team string, want ...string) {
	t.Helper()
	if path := l.Path(team); !slices.Equal(path, want) {
		t.Errorf("team %s is in %v, want %v", team, path, want)
	}
}

// synchronousLedger is a ledger whose writes are all carried out at once.
type synchronousLedger struct {
	ledger *Ledger
	now    Instant
	store  map[string]storedRecord
}

func (d *synchronousLedger) step(in Input) {
	d.now.Steady += stepInterval
	pending := d.ledger.Step(d.now, in)
	for len(pending) > 0 {
		w, isWrite := pending[0].(Write)
		pending = pending[1:]
		if !isWrite {
			continue
		}
		modRevision := d.store[w.Group].modRevision + 1
		d.store[w.Group] = storedRecord{w.Record, modRevision}
		pending = append(pending, d.ledger.Step(d.now, WriteResult{ID: w.ID, Outcome: Applied, ModRevision: modRevision})...)
	}
}

// announce announces one group of team t.
func (d *synchronousLedger) announce(group string, cpus float64) {
	definition := Definition{Name: group, Teams: []string{"t"}, Limit: CPULimit(cpus)}
	d.step(Announce{Definitions: []Definition{definition}})
}

// reportUsage reports that team t uses some CPUs of shard 0.
func (d *synchronousLedger) reportUsage(cpus float64) {
	team := TeamDemand{Groups: d.ledger.Path("t"), Used: Amount{CPUs: cpus}}
	d.step(UsageReport{Shard: 0, Groups: d.ledger.Claims(0, true, []TeamDemand{team})})
}

// TestRenamedGroup checks that a group that is renamed is one that is removed and one that is new:
// its limit is in force once every shard has registered what it uses, and the old name binds
// nobody.
func TestRenamedGroup(t *testing.T) {
	l := NewLedger(Config{Shards: 1, Timing: DefaultTiming()})
	d := synchronousLedger{ledger: l, store: map[string]storedRecord{}}
	d.step(ShardAcquired{Shard: 0})
	d.step(RecordsRead{Shard: 0})
	if got := l.Allowed(0, "old"); got != Unlimited {
		t.Errorf("an unknown group allows %v", got)
	}
	d.announce("old", 5)
	d.reportUsage(4)
	d.announce("new", 3)
	d.announce("new", 3)
	requirePath(t, l, "t", "new")
	if got := l.Allowed(0, "old"); got != Unlimited {
		t.Errorf("the old name allows %v", got)
	}
	d.reportUsage(4)
	if st := l.Status(); len(st) != 2 || st[0].State != StateAnnounced || st[0].LastInForce != nil || st[1].State != StateRemoved {
		t.Errorf("while more than the limit is used: %+v", st)
	}
	if got := l.Allowed(0, "new"); got.CPUs > 3 {
		t.Errorf("more than the limit is allowed: %v", got)
	}
	d.reportUsage(2)
	if st := l.Status(); st[0].State != StateInForce {
		t.Errorf("once less is used: %+v", st[0])
	}
}
