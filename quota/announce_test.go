package quota

import (
	"slices"
	"testing"
)

// TestMembersOfNestedGroups guards against a limit that misses teams of nested groups or new
// members. A record lists all teams that it binds, so it binds them before the records of the
// groups within it are known. When a team joins, the rows are dropped: they do not include what
// the team used before, so every shard must register its use again before the limit is in force.
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
		t.Errorf("after team c joined: %+v, want a record of epoch 2 without rows and without a limit in force", joined)
	}
}

// requirePath fails the test unless a team is in exactly the given groups, the innermost first.
func requirePath(t *testing.T, l *Ledger, team string, want ...string) {
	t.Helper()
	if path := l.Path(team); !slices.Equal(path, want) {
		t.Errorf("team %s is in %v, want %v", team, path, want)
	}
}

// synchronousLedger is a ledger whose writes are carried out at once.
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

// announce announces options with one group, whose only team is t.
func (d *synchronousLedger) announce(group string, cpus float64) {
	definition := Definition{Name: group, Teams: []string{"t"}, Limit: CPULimit(cpus)}
	d.step(Announce{Definitions: []Definition{definition}})
}

// reportUsage reports that team t uses some CPUs in shard 0.
func (d *synchronousLedger) reportUsage(cpus float64) {
	team := TeamDemand{Groups: d.ledger.Path("t"), Used: Amount{CPUs: cpus}}
	d.step(UsageReport{Shard: 0, Groups: d.ledger.Claims(0, true, []TeamDemand{team})})
}

// TestRenamedGroup guards against a renamed group that keeps its old limit, or whose new limit
// is reported as in force too early. A rename removes one group and adds another. The limit of
// the new group is in force only once every shard has registered its use and the sum of the
// allowances is within the limit. The old group no longer binds any team.
func TestRenamedGroup(t *testing.T) {
	l := NewLedger(Config{Shards: 1, Timing: DefaultTiming()})
	d := synchronousLedger{ledger: l, store: map[string]storedRecord{}}
	d.step(ShardAcquired{Shard: 0})
	d.step(RecordsRead{Shard: 0})
	if got := l.Allowed(0, "old"); got != Unlimited {
		t.Errorf("an unknown group allows %v, want no limit", got)
	}
	d.announce("old", 5)
	d.reportUsage(4)
	d.announce("new", 3)
	d.announce("new", 3)
	requirePath(t, l, "t", "new")
	if got := l.Allowed(0, "old"); got != Unlimited {
		t.Errorf("the old name allows %v, want no limit", got)
	}
	d.reportUsage(4)
	if st := l.Status(); len(st) != 2 || st[0].State != StateAnnounced || st[0].LastInForce != nil || st[1].State != StateRemoved {
		t.Errorf("while more than the limit is used: status %+v, want the new group announced without a limit in force, and the old group removed", st)
	}
	if got := l.Allowed(0, "new"); got.CPUs > 3 {
		t.Errorf("the new group allows %v, want at most 3 CPUs", got)
	}
	d.reportUsage(2)
	if st := l.Status(); st[0].State != StateInForce {
		t.Errorf("once less than the limit is used: status %+v, want it in force", st[0])
	}
}
