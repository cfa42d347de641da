package quota

import (
	"maps"
	"slices"

	"garnethitch/internal/micros"
)

// Micros is a length of time, or a point of it, in whole microseconds.
type Micros = micros.Micros

// Instant is a reading of both clocks of a controller.
type Instant struct {
	Steady Micros
	// WallMS is the time of day in milliseconds. It orders claims by age and stands in
	// records for people to read; no limit rests on it.
	WallMS int64
}

// Timing are the intervals of a Ledger. They steer; no limit rests on them.
type Timing struct {
	// Pace is the least time between two writes of a controller to one group.
	Pace Micros
	// Publish is the least time between writes that only tell of another claim.
	Publish Micros
	// Keep is how long an allowance that stands unused is kept.
	Keep Micros
	// Patience is how long after a lowered limit was seen the others are given to bring
	// it into force, before this controller gives up what they have not.
	Patience Micros
	// Reclaim is how long a guaranteed claim waits before tasks are stopped for it.
	Reclaim Micros
}

// DefaultTiming suits a store that answers within some tens of milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Pace:     400 * micros.Millisecond,
		Publish:  micros.Second,
		Keep:     5 * micros.Second,
		Patience: 4 * micros.Second,
		Reclaim:  1500 * micros.Millisecond,
	}
}

// Config is what a Ledger is told at its making.
type Config struct {
	Shards int
	Timing Timing
}

// Ledger is what one controller knows of all groups, and does for the shards that it
// holds. It is not safe for concurrent use.
type Ledger struct {
	cfg    Config
	now    Instant
	groups map[string]*groupState
	held   map[int]*heldShard
	nextID uint64
	writes map[uint64]sentWrite
	out    []Effect
}

// heldShard is a shard whose owner this controller is.
type heldShard struct {
	// fresh: every record was read after the shard was claimed, so that no write of a
	// former owner can change its allowances any more.
	fresh bool
	use   map[string]Use
}

// Use is what a shard's tasks use of a group, and want.
type Use struct {
	// Exact: the use is exact. Otherwise a task may be at an unknown place, and it is
	// the most that could be.
	Exact bool
	Claim
}

// groupState is what is known of one group.
type groupState struct {
	name        string
	rec         Record
	modRevision uint64 // 0: no record
	// epochAt is when the present epoch was first seen.
	epochAt Micros
	sending bool // a write is under way
	next    Micros
	// unreconciled are writes whose outcome is not known; they may be carried out as long as
	// the record is the one that they were conditional on.
	unresolved []sentWrite
	// parts are what the shards of the rows should have; short: some should have more
	// than they do and than is free.
	parts                    []Amount
	shortCPUs, shortGPUs     bool
	guaranteeShortAt         Micros // since when a guaranteed claim lacks; -1: none does
	unusedSince, publishedAt map[int]Micros
	reclaimedAt              Micros
	allowed                  map[int]Amount
	sets                     []*setRequest // wait for their turn
}

// sentWrite is a write that was sent.
type sentWrite struct {
	id          uint64
	group       string
	modRevision uint64
	rec         Record
	kind        writeKind
	set         *setRequest
}

type writeKind int

const (
	writeRows writeKind = iota
	writeAnnouncement
	writeOverride
)

// NewLedger makes a ledger that knows of no group.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, groups: map[string]*groupState{}, held: map[int]*heldShard{}, writes: map[uint64]sentWrite{}}
}

// Input is one of the input types of Step.
type Input any

// Inputs of Step.
type (
	// Tick says that time has passed.
	Tick struct{}
	// Learned is a group's record as a read or a watch has it. Older ones than known are
	// ignored.
	Learned struct {
		Group       string
		Record      Record
		ModRevision uint64
	}
	// Held says that this controller has come to own a shard.
	Held struct{ Shard int }
	// Refreshed says that all records were read since the shard was claimed.
	Refreshed struct{ Shard int }
	// Dropped says that it owns a shard no more.
	Dropped struct{ Shard int }
	// Used says what a shard uses and wants, by group.
	Used struct {
		Shard  int
		Groups map[string]Use
	}
	// Wrote is the outcome of a Write.
	Wrote struct {
		ID          uint64
		Outcome     Outcome
		ModRevision uint64 // with Applied: the record's
	}
	// Announce has the leader bring the records in line with the options.
	Announce struct{ Definitions []Definition }
	// Set sets a group's limit by hand; a nil Limit clears it. SetDone answers.
	Set struct {
		Token uint64
		Group string
		Limit *Limit
	}
)

// Outcome of a write.
type Outcome int

// Outcomes.
const (
	// Unknown: it may have been carried out, or may yet be.
	Unknown Outcome = iota
	// Applied: it was carried out.
	Applied
	// Refused: its conditions were not met.
	Refused
	// NotSent: it can't be carried out.
	NotSent
)

// Effect is one of the effect types of Step.
type Effect any

// Effects of Step.
type (
	// Write asks for a conditional write of a group's record. Its outcome must come back
	// exactly once, as Wrote.
	Write struct {
		ID    uint64
		Group string
		// Mark is the record's that must stand; 0: there must be none.
		ModRevision uint64
		// Shards must be owned by this controller, and Leader led, when the write is
		// carried out.
		Shards []int
		Leader bool
		Record Record
	}
	// Read asks for a group's record anew.
	Read struct{ Group string }
	// Reclaim asks for tasks of a shard to be stopped that use more of a group than it
	// should have, beside a guarantee that waits.
	Reclaim struct {
		Shard int
		Group string
		Over  Amount
	}
	// Changed tells what has come about, for logs and traces.
	Changed struct {
		Kind     ChangeKind
		Group    string
		Shard    int // of Grown and Shrunk
		From, To Amount
		Epoch    uint64
		Limit    Limit
		Source   Source
	}
	// SetDone answers a Set.
	SetDone struct {
		Token  uint64
		Status SetStatus
		Epoch  uint64
	}
)

// ChangeKind says what has come about.
type ChangeKind string

// Kinds of changes.
const (
	Asked     ChangeKind = "asking"
	Grown     ChangeKind = "growing"
	Shrunk    ChangeKind = "shrinking"
	Announced ChangeKind = "announcing"
	InForce   ChangeKind = "in force"
)

// SetStatus is the outcome of a Set.
type SetStatus int

// Outcomes of a Set.
const (
	// SetAnnounced: the limit stands in the record.
	SetAnnounced SetStatus = iota
	// SetNoGroup: there is no such group.
	SetNoGroup
	// SetConflict: the limit was changed meanwhile, by the schedule or another operator.
	SetConflict
	// SetBusy: it was not carried out; the store can't be reached, or others write all
	// the time.
	SetBusy
)

// Step takes one input at an instant and returns what follows from it.
func (l *Ledger) Step(now Instant, in Input) []Effect {
	l.now = now
	switch v := in.(type) {
	case Learned:
		l.learn(v.Group, v.Record, v.ModRevision)
	case Held:
		l.held[v.Shard] = &heldShard{use: map[string]Use{}}
	case Refreshed:
		if h := l.held[v.Shard]; h != nil {
			h.fresh = true
		}
	case Dropped:
		delete(l.held, v.Shard)
	case Used:
		if h := l.held[v.Shard]; h != nil {
			h.use = v.Groups
		}
	case Wrote:
		l.wrote(v)
	case Announce:
		l.announce(v.Definitions)
	case Set:
		l.set(v)
	}
	for _, name := range l.names() {
		g := l.groups[name]
		l.sendSet(g)
		l.plan(g)
	}
	out := l.out
	l.out = nil
	return out
}

func (l *Ledger) names() []string { return slices.Sorted(maps.Keys(l.groups)) }

func (l *Ledger) group(name string) *groupState {
	g := l.groups[name]
	if g == nil {
		g = &groupState{name: name, guaranteeShortAt: -1, unusedSince: map[int]Micros{}, publishedAt: map[int]Micros{}, allowed: map[int]Amount{}}
		l.groups[name] = g
	}
	return g
}

// learn takes a record. A write that was conditional on an older one is carried out or
// void by now.
func (l *Ledger) learn(name string, rec Record, modRevision uint64) {
	g := l.group(name)
	if modRevision <= g.modRevision {
		return
	}
	rec.Name = name
	was := g.rec
	if g.modRevision == 0 || rec.Epoch != was.Epoch {
		g.epochAt = l.now.Steady
	}
	g.rec, g.modRevision = rec, modRevision
	g.unresolved = slices.DeleteFunc(g.unresolved, func(w sentWrite) bool { return w.modRevision < modRevision })
	if rec.Applied != nil && (was.Applied == nil || !rec.Applied.Equal(*was.Applied)) {
		l.out = append(l.out, Changed{Kind: InForce, Group: name, Epoch: rec.Epoch, Limit: rec.Limit, Source: rec.Source})
	}
}

// send sends a write of a group's record.
func (l *Ledger) send(g *groupState, rec Record, kind writeKind, shards []int, set *setRequest) {
	l.nextID++
	rec.settle(l.cfg.Shards)
	w := sentWrite{id: l.nextID, group: g.name, modRevision: g.modRevision, rec: rec, kind: kind, set: set}
	l.writes[w.id] = w
	g.unresolved = append(g.unresolved, w)
	g.sending = true
	l.out = append(l.out, Write{ID: w.id, Group: g.name, ModRevision: g.modRevision, Shards: shards, Leader: kind == writeAnnouncement, Record: rec})
}

// wrote takes the outcome of a write.
func (l *Ledger) wrote(v Wrote) {
	w, ok := l.writes[v.ID]
	if !ok {
		return
	}
	delete(l.writes, v.ID)
	g := l.group(w.group)
	g.sending = false
	g.next = l.now.Steady + l.cfg.Timing.Pace
	switch v.Outcome {
	case Applied:
		g.forget(w.id)
		l.noteChanges(g, w)
		l.learn(w.group, w.rec, v.ModRevision) // unless a newer one has come first
	case Refused, NotSent:
		g.forget(w.id)
		g.next = l.now.Steady + l.cfg.Timing.Pace/4
	case Unknown:
	}
	if v.Outcome == Refused || v.Outcome == Unknown {
		l.out = append(l.out, Read{Group: w.group})
	}
	if w.set != nil {
		l.setOutcome(g, w.set, v.Outcome)
	}
}

func (g *groupState) forget(id uint64) {
	g.unresolved = slices.DeleteFunc(g.unresolved, func(w sentWrite) bool { return w.id == id })
}
