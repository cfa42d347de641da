package quota

import (
	"maps"
	"slices"

	"garnethitch/internal/micros"
)

// Micros is a span of time, or a point on a steady clock, in whole microseconds.
type Micros = micros.Micros

// Instant is a reading of the two clocks of a controller.
type Instant struct {
	// Steady is the time by a monotonic clock.
	Steady Micros
	// WallMS is the time of day in milliseconds since 1970. It orders claims by age and is
	// stored in records for people to read. No limit depends on it to be kept.
	WallMS int64
}

// Timing holds the intervals of a Ledger. They affect how soon quota moves between shards, not
// whether a limit is kept.
type Timing struct {
	// WriteInterval is the minimum time from the outcome of a write of a group's record to
	// this controller's next write of that record. After a write that was refused or not
	// sent, the minimum is a quarter of WriteInterval.
	WriteInterval Micros
	// PublishInterval is the minimum time from a write of a row to a write that changes only
	// the claim of that row.
	PublishInterval Micros
	// UnusedTimeout is how long part of an allowance may be unused before it is given up.
	UnusedTimeout Micros
	// ExcessTimeout is how long the other owners have, after a lowered limit was first
	// seen, to reduce their allowances. After that this owner gives up the remaining excess
	// from its own allowance, as far as it is unused.
	ExcessTimeout Micros
	// ReclaimDelay is how long a guaranteed claim waits before tasks are stopped for it,
	// and the minimum time between two such stops.
	ReclaimDelay Micros
}

// DefaultTiming returns intervals for a store that answers within some tens of
// milliseconds.
func DefaultTiming() Timing {
	return Timing{
		WriteInterval:   400 * micros.Millisecond,
		PublishInterval: micros.Second,
		UnusedTimeout:   5 * micros.Second,
		ExcessTimeout:   4 * micros.Second,
		ReclaimDelay:    1500 * micros.Millisecond,
	}
}

// Config configures a Ledger.
type Config struct {
	// Shards is the number of shards, which are numbered from 0.
	Shards int
	Timing Timing
}

// Ledger holds what one controller knows of all groups, and decides on the allowances of the
// shards that it owns. It is not safe for concurrent use.
type Ledger struct {
	cfg         Config
	now         Instant
	groups      map[string]*groupState
	owned       map[int]*ownedShard
	lastWriteID uint64
	writes      map[uint64]sentWrite // writes without an outcome yet, by ID
	effects     []Effect             // of the current Step
}

// ownedShard is a shard that this controller owns.
type ownedShard struct {
	// recordsRead is set once every record has been read after the shard was acquired. From
	// then on no write of a former owner can change the shard's allowances.
	recordsRead bool
	usage       map[string]Usage // by group
}

// Usage is what a shard's tasks use and want of a group.
type Usage struct {
	// Exact is set if Claim.Used is exact. Otherwise Used is an upper bound, since some
	// tasks may run on machines that the controller does not know.
	Exact bool
	Claim
}

// groupState is what a Ledger knows of one group.
type groupState struct {
	name        string
	record      Record
	modRevision uint64 // of the record; 0 if there is none
	epochSeenAt Micros // when the record's epoch was first seen

	writeInFlight bool // a write has been sent and has no outcome yet
	nextWriteAt   Micros
	// inDoubt holds the writes that may have been carried out, or may still be: those in
	// flight and those of unknown outcome. A write is no longer in doubt once it has another
	// outcome, or once a record is known that is newer than the one that the write was
	// conditional on.
	inDoubt     []sentWrite
	setRequests []*setRequest // in the order of arrival

	fairShares    []Amount // of each row of the record, by Divide
	shortage      shortage
	guaranteeWait waitingTime
	reclaimedAt   Micros         // when a Reclaim was last emitted
	allowed       map[int]Amount // what each owned shard may use now
	unusedSince   map[int]Micros // when part of a shard's allowance became unused
	publishedAt   map[int]Micros // when a write of a shard's row was last sent
}

// NewLedger returns a ledger that knows no group and owns no shard.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{
		cfg:    cfg,
		groups: map[string]*groupState{},
		owned:  map[int]*ownedShard{},
		writes: map[uint64]sentWrite{},
	}
}

// Step applies one input at an instant and returns the effects, in the order in which the
// caller must carry them out.
func (l *Ledger) Step(now Instant, in Input) []Effect {
	l.now = now
	l.handle(in)
	for _, name := range l.names() {
		g := l.groups[name]
		l.processSetRequests(g)
		l.plan(g)
	}
	effects := l.effects
	l.effects = nil
	return effects
}

// handle applies an input to the state.
func (l *Ledger) handle(in Input) {
	switch v := in.(type) {
	case Learned:
		l.learn(v.Group, v.Record, v.ModRevision)
	case ShardAcquired:
		l.owned[v.Shard] = &ownedShard{usage: map[string]Usage{}}
	case RecordsRead:
		if s := l.owned[v.Shard]; s != nil {
			s.recordsRead = true
		}
	case ShardReleased:
		delete(l.owned, v.Shard)
	case UsageReport:
		if s := l.owned[v.Shard]; s != nil {
			s.usage = v.Groups
		}
	case WriteResult:
		l.handleWriteOutcome(v)
	case Announce:
		l.announce(v.Definitions)
	case SetLimit:
		l.queueSetRequest(v)
	}
}

// emit adds an effect to those of the current Step.
func (l *Ledger) emit(e Effect) { l.effects = append(l.effects, e) }

// names returns the names of all known groups, sorted.
func (l *Ledger) names() []string { return slices.Sorted(maps.Keys(l.groups)) }

// group returns the state of a group, and creates it if there is none.
func (l *Ledger) group(name string) *groupState {
	g := l.groups[name]
	if g == nil {
		g = &groupState{
			name:        name,
			allowed:     map[int]Amount{},
			unusedSince: map[int]Micros{},
			publishedAt: map[int]Micros{},
		}
		l.groups[name] = g
	}
	return g
}

// exists reports whether the group has a record and has not been removed.
func (g *groupState) exists() bool { return g.modRevision != 0 && !g.record.Removed }

// hasLimit reports whether the group exists and its limit bounds any resource.
func (g *groupState) hasLimit() bool { return g.exists() && g.record.Limit.Bounded() }
