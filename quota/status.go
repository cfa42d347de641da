package quota

// GroupStatus is the status of a group, as shown to operators.
type GroupStatus struct {
	Name     string   `json:"name" msgpack:"n"`
	Parent   string   `json:"parent,omitempty" msgpack:"p,omitempty"`
	Teams    []string `json:"teams,omitempty" msgpack:"t,omitempty"`
	Limit    Limit    `json:"limit" msgpack:"l"`
	Override *Limit   `json:"override,omitempty" msgpack:"o,omitempty"`
	// LastInForce is the limit that was last in force, or nil. See Record.LastInForce.
	LastInForce *Limit `json:"in_force,omitempty" msgpack:"f,omitempty"`
	Source      Source `json:"source" msgpack:"y"`
	Epoch       uint64 `json:"epoch" msgpack:"e"`
	State       State  `json:"state" msgpack:"s"`
	Guarantee   Amount `json:"guarantee" msgpack:"u"`
	// Lent is the part of the guarantee that other groups have at present.
	Lent Amount `json:"lent" msgpack:"b"`
	// Free is the part of the limit that is in no allowance, or zero for an unlimited resource.
	Free     Amount        `json:"free" msgpack:"r"`
	Blockers []Blocker     `json:"held_up_by,omitempty" msgpack:"h,omitempty"`
	Shards   []ShardStatus `json:"shares" msgpack:"w,omitempty"`
}

// State is the state of a group's limit.
type State string

// States of a limit.
const (
	StateInForce   State = "in force"
	StateAnnounced State = "announced" // stored in the record, but not in force yet
	StateRemoved   State = "removed"   // the group is no longer in the options
)

// Blocker is a shard that keeps a limit from coming into force.
type Blocker struct {
	Shard  int           `json:"share" msgpack:"s"`
	Owner  string        `json:"owner,omitempty" msgpack:"o,omitempty"`
	Reason BlockerReason `json:"reason" msgpack:"r"`
}

// BlockerReason is why a shard keeps a limit from coming into force, as shown to operators.
type BlockerReason string

// Reasons of a Blocker.
const (
	NotRegistered   BlockerReason = "its use is not known yet"
	NotAcknowledged BlockerReason = "its owner has not seen the limit yet"
	StillUsed       BlockerReason = "its tasks use more than its part"
)

// ShardStatus is the status of one shard of a group. SeenEpoch is the latest epoch that the
// shard's owner has seen. Ledger leaves Owner empty, here and in Blocker.
type ShardStatus struct {
	Shard     int    `json:"share" msgpack:"s"`
	Owner     string `json:"owner,omitempty" msgpack:"o,omitempty"`
	Allowance Amount `json:"allowance" msgpack:"a"`
	Used      Amount `json:"used" msgpack:"x"`
	Want      Amount `json:"want" msgpack:"w"`
	SeenEpoch uint64 `json:"seen_epoch" msgpack:"e"`
}

// Status returns the status of all groups that have a record, sorted by name.
func (l *Ledger) Status() []GroupStatus {
	var out []GroupStatus
	for _, name := range l.names() {
		if g := l.groups[name]; g.modRevision != 0 {
			out = append(out, l.groupStatus(g))
		}
	}
	return out
}

func (l *Ledger) groupStatus(g *groupState) GroupStatus {
	r := &g.record
	st := GroupStatus{
		Name:        g.name,
		Parent:      r.Parent,
		Teams:       r.Teams,
		Limit:       r.Limit,
		Override:    r.Override,
		LastInForce: r.LastInForce,
		Source:      r.Source,
		Epoch:       r.Epoch,
		State:       l.limitState(r),
		Guarantee:   r.Guarantee,
		Lent:        l.lent(r),
		Free:        zeroUnlimited(r.Free()),
	}
	for shard := range l.cfg.Shards {
		i := r.RowIndex(shard)
		if i < 0 {
			st.Blockers = append(st.Blockers, Blocker{Shard: shard, Reason: NotRegistered})
			continue
		}
		st.Shards = append(st.Shards, l.shardStatus(g, r.Rows[i]))
		if st.State != StateAnnounced || !r.Exceeded() {
			continue
		}
		if reason, blocks := g.blockerReason(i); blocks {
			st.Blockers = append(st.Blockers, Blocker{Shard: shard, Reason: reason})
		}
	}
	return st
}

func (l *Ledger) limitState(r *Record) State {
	switch {
	case r.Removed:
		return StateRemoved
	case r.InForce(l.cfg.Shards):
		return StateInForce
	}
	return StateAnnounced
}

// lent returns the part of a group's guarantee that is neither in the group's allowances nor
// free in its parent.
func (l *Ledger) lent(r *Record) Amount {
	parent := l.groups[r.Parent]
	if parent == nil || parent.modRevision == 0 {
		return Amount{}
	}
	return r.Guarantee.Minus(r.TotalAllowance()).Minus(parent.record.Free())
}

// shardStatus returns the status of a row. If this controller owns the shard and its use has
// been reported, the status has the current use, otherwise the recorded one.
func (l *Ledger) shardStatus(g *groupState, row Row) ShardStatus {
	claim := row.Claim
	if s := l.owned[row.Shard]; s != nil {
		if usage, ok := s.usage[g.name]; ok {
			claim = usage.Claim
		}
	}
	return ShardStatus{
		Shard:     row.Shard,
		Allowance: row.Allowance,
		Used:      claim.Used,
		Want:      claim.Want,
		SeenEpoch: row.SeenEpoch,
	}
}

// blockerReason returns why the shard of row i keeps the limit from coming into force. blocks
// is false if the shard does not.
func (g *groupState) blockerReason(i int) (reason BlockerReason, blocks bool) {
	row := g.record.Rows[i]
	switch {
	case row.SeenEpoch < g.record.Epoch:
		return NotAcknowledged, true
	case i < len(g.fairShares) && !row.Allowance.Within(g.fairShares[i]):
		return StillUsed, true
	}
	return "", false
}

// zeroUnlimited returns a with zero for each resource that is unlimited, since JSON cannot
// represent infinity.
func zeroUnlimited(a Amount) Amount {
	if a.CPUs == Unlimited.CPUs {
		a.CPUs = 0
	}
	if a.GPUs == Unlimited.GPUs {
		a.GPUs = 0
	}
	return a
}
