package quota

import "testing"

// stepInterval is how much time passes before each input of a test.
const stepInterval = sec

// The groups of a harness. The parent of inner may be outer.
const (
	innerGroup = "inner"
	outerGroup = "outer"
)

// harness is a ledger that owns shard 0 of two shards, and records its writes and its answers
// to operators' requests.
type harness struct {
	ledger *Ledger
	now    Instant
	writes []Write
	done   []SetDone
}

// newHarness returns a harness whose ledger has read the record of the inner group and, if
// given, of the outer group.
func newHarness(inner Record, outer ...Record) *harness {
	h := &harness{ledger: NewLedger(Config{Shards: 2, Timing: DefaultTiming()})}
	h.step(ShardAcquired{Shard: 0})
	h.learn(innerGroup, inner, 10)
	for _, record := range outer {
		h.learn(outerGroup, record, 10)
	}
	h.step(RecordsRead{Shard: 0})
	return h
}

func (h *harness) step(in Input) {
	h.now.Steady += stepInterval
	for _, e := range h.ledger.Step(h.now, in) {
		switch e := e.(type) {
		case Write:
			h.writes = append(h.writes, e)
		case SetDone:
			h.done = append(h.done, e)
		}
	}
}

func (h *harness) learn(group string, record Record, modRevision uint64) {
	h.step(Learned{Group: group, Record: record, ModRevision: modRevision})
}

// claims returns what the shard claims if a team uses some CPUs of the inner group and has
// some tasks of one CPU each waiting.
func (h *harness) claims(used, waiting int) map[string]Usage {
	team := TeamDemand{Groups: h.ledger.Path("t"), Used: Amount{CPUs: float64(used)}}
	if waiting > 0 {
		team.Waiting = []WaitingTasks{{Size: Amount{CPUs: 1}, Count: waiting, SinceMS: 1}}
	}
	return h.ledger.Claims(0, true, []TeamDemand{team})
}

func (h *harness) reportUsage(used, waiting int) {
	h.step(UsageReport{Shard: 0, Groups: h.claims(used, waiting)})
}

// requireAllowed fails the test unless the shard may use exactly the given CPUs of the inner
// group.
func (h *harness) requireAllowed(t *testing.T, when string, cpus float64) {
	t.Helper()
	if got := h.ledger.Allowed(0, innerGroup).CPUs; got != cpus {
		t.Errorf("%s: %g CPUs allowed, want %g", when, got, cpus)
	}
}

// requireWrites stops the test unless exactly count writes have been sent.
func (h *harness) requireWrites(t *testing.T, when string, count int) {
	t.Helper()
	if len(h.writes) != count {
		t.Fatalf("%s: %d writes, want %d: %+v", when, len(h.writes), count, h.writes)
	}
}

// row returns the row of a shard whose tasks use one CPU each.
func row(shard int, allowance, want float64, seen uint64) Row {
	return Row{
		Shard:     shard,
		Allowance: Amount{CPUs: allowance},
		Claim:     Claim{Want: Amount{CPUs: want}, SmallestTask: Amount{CPUs: 1}},
		SeenEpoch: seen,
	}
}

// recordInForce returns the record of a group whose only team is t and whose limit is in force.
func recordInForce(cpus float64, rows ...Row) Record {
	limit := CPULimit(cpus)
	return Record{
		Definition:  Definition{Teams: []string{"t"}, Members: []string{"t"}, Limit: limit},
		Epoch:       1,
		LastInForce: &limit,
		Rows:        rows,
	}
}
