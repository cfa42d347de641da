package quota

// GroupStatus is what operators are shown of a group.
type GroupStatus struct {
	Name     string   `json:"name" msgpack:"n"`
	Parent   string   `json:"parent,omitempty" msgpack:"p,omitempty"`
	Teams    []string `json:"teams,omitempty" msgpack:"t,omitempty"`
	Limit    Limit    `json:"limit" msgpack:"l"`
	Override *Limit   `json:"override,omitempty" msgpack:"o,omitempty"`
	// Applied is the limit in force; nil: none is.
	Applied   *Limit `json:"in_force,omitempty" msgpack:"f,omitempty"`
	Source    Source `json:"source" msgpack:"y"`
	Epoch     uint64 `json:"epoch" msgpack:"e"`
	State     State  `json:"state" msgpack:"s"`
	Guarantee Amount `json:"guarantee" msgpack:"u"`
	// Lent is the part of the guarantee that others have at present.
	Lent   Amount        `json:"lent" msgpack:"b"`
	Free   Amount        `json:"free" msgpack:"r"`
	HeldUp []HeldUp      `json:"held_up_by,omitempty" msgpack:"h,omitempty"`
	Shards []ShardStatus `json:"shares" msgpack:"w,omitempty"`
}

// State says whether a group's limit holds.
type State string

// States of a limit.
const (
	StateInForce   State = "in force"
	StateAnnounced State = "announced"
	StateRemoved   State = "removed"
)

// HeldUp says why a limit is not in force yet.
type HeldUp struct {
	Shard  int          `json:"share" msgpack:"s"`
	Owner  string       `json:"owner,omitempty" msgpack:"o,omitempty"`
	Reason HeldUpReason `json:"reason" msgpack:"r"`
}

// HeldUpReason is one reason of HeldUp.
type HeldUpReason string

// Reasons why a limit is not in force yet.
const (
	NotRegistered   HeldUpReason = "its use is not known yet"
	NotAcknowledged HeldUpReason = "its owner has not seen the limit yet"
	StillUsed       HeldUpReason = "its tasks use more than its part"
)

// ShardStatus is a shard's part of a group.
type ShardStatus struct {
	Shard     int    `json:"share" msgpack:"s"`
	Owner     string `json:"owner,omitempty" msgpack:"o,omitempty"`
	Allowance Amount `json:"allowance" msgpack:"a"`
	Used      Amount `json:"used" msgpack:"x"`
	Want      Amount `json:"want" msgpack:"w"`
	Seen      uint64 `json:"seen_epoch" msgpack:"e"`
}

// Status tells how all groups stand.
func (l *Ledger) Status() []GroupStatus {
	var out []GroupStatus
	for _, name := range l.names() {
		if g := l.groups[name]; g.modRevision != 0 {
			out = append(out, l.status(g))
		}
	}
	return out
}

func (l *Ledger) status(g *groupState) GroupStatus {
	r := &g.rec
	st := GroupStatus{Name: g.name, Parent: r.Parent, Teams: r.Teams, Limit: r.Limit, Override: r.Override, Applied: r.Applied, Source: r.Source,
		Epoch: r.Epoch, State: StateAnnounced, Guarantee: r.Guarantee, Free: finiteOnly(r.Free())}
	switch {
	case r.Removed:
		st.State = StateRemoved
	case r.InForce(l.cfg.Shards):
		st.State = StateInForce
	}
	for shard := range l.cfg.Shards {
		i := r.Row(shard)
		if i < 0 {
			st.HeldUp = append(st.HeldUp, HeldUp{Shard: shard, Reason: NotRegistered})
			continue
		}
		row := r.Rows[i]
		used, want := row.Claim.Used, row.Claim.Want
		if h := l.held[shard]; h != nil {
			if use, ok := h.use[g.name]; ok {
				used, want = use.Used, use.Want
			}
		}
		st.Shards = append(st.Shards, ShardStatus{Shard: shard, Allowance: row.Allowance, Used: used, Want: want, Seen: row.Seen})
		if st.State != StateAnnounced || !r.Exceeded() {
			continue
		}
		switch {
		case row.Seen < r.Epoch:
			st.HeldUp = append(st.HeldUp, HeldUp{Shard: shard, Reason: NotAcknowledged})
		case i < len(g.parts) && !row.Allowance.Within(g.parts[i]):
			st.HeldUp = append(st.HeldUp, HeldUp{Shard: shard, Reason: StillUsed})
		}
	}
	if parent := l.groups[r.Parent]; parent != nil && parent.modRevision != 0 {
		st.Lent = r.Guarantee.Minus(r.Allowed()).Minus(parent.rec.Free())
	}
	return st
}

// finiteOnly leaves out what is not bounded: neither JSON nor people have use for it.
func finiteOnly(a Amount) Amount {
	if a.CPUs == Unlimited.CPUs {
		a.CPUs = 0
	}
	if a.GPUs == Unlimited.GPUs {
		a.GPUs = 0
	}
	return a
}

// Part is what a shard may use of a group, or should have once others have given it up.
func (l *Ledger) Part(shard int, group string) Amount {
	allowed := l.Allowed(shard, group)
	if g := l.groups[group]; g != nil && allowed != Unlimited && l.held[shard] != nil {
		if i := g.rec.Row(shard); i >= 0 && i < len(g.parts) {
			return allowed.Max(g.parts[i])
		}
	}
	return allowed
}
