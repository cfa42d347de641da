package quota

import "slices"

// TeamDemand is what a team's tasks use of a shard, and what waits.
type TeamDemand struct {
	// Groups are the groups that the team is in, the innermost first; see Path.
	Groups []string
	Used   Amount
	// Guarantee is the team's own.
	Guarantee Amount
	Waiting   []WaitingTasks
}

// WaitingTasks are tasks of a size that could start if there were quota.
type WaitingTasks struct {
	Size    Amount
	Count   int
	SinceMS int64 // since when they wait with none started, by the time of day
}

// Path gives the groups that a team is in, by the records, the innermost first.
func (l *Ledger) Path(team string) []string {
	var path []string
	for _, name := range l.names() {
		g := l.groups[name]
		if g.modRevision != 0 && !g.rec.Removed && slices.Contains(g.rec.Members, team) {
			path = append(path, name)
		}
	}
	slices.SortStableFunc(path, func(a, b string) int {
		x, y := &l.groups[a].rec, &l.groups[b].rec
		switch {
		case x.Parent == b:
			return -1
		case y.Parent == a:
			return 1
		}
		return len(x.Members) - len(y.Members)
	})
	return path
}

// Claims works out what a shard claims of each group. An outer group is asked only for
// tasks for which the shard has quota of the inner ones: two owners that each hold what
// the other waits for would wait for ever.
func (l *Ledger) Claims(shard int, exact bool, teams []TeamDemand) map[string]Use {
	c := claimBuilder{ledger: l, shard: shard, uses: map[string]*Use{}, room: map[string]Amount{}}
	for _, t := range teams {
		for _, g := range t.Groups {
			u := c.use(g)
			u.Used = u.Used.Plus(t.Used)
			u.Exact = exact
		}
	}
	for g, u := range c.uses {
		u.Want = u.Used
		c.room[g] = l.Allowed(shard, g).Minus(u.Used)
	}
	for _, t := range teams {
		c.addWaiting(t)
	}
	c.addGuarantees(teams)
	out := map[string]Use{}
	for g, u := range c.uses {
		out[g] = *u
	}
	return out
}

// claimBuilder gathers the claims of one shard.
type claimBuilder struct {
	ledger *Ledger
	shard  int
	uses   map[string]*Use
	room   map[string]Amount // what the shard may grant yet
}

func (c *claimBuilder) use(group string) *Use {
	u := c.uses[group]
	if u == nil {
		u = &Use{}
		c.uses[group] = u
	}
	return u
}

// addWaiting adds a team's waiting tasks, from the innermost group outwards.
func (c *claimBuilder) addWaiting(t TeamDemand) {
	for _, w := range t.Waiting {
		count := w.Count
		for _, g := range t.Groups {
			u := c.use(g)
			u.Want = u.Want.Plus(w.Size.Times(count))
			u.Piece = smallerPiece(u.Piece, w.Size)
			if u.SinceMS == 0 || w.SinceMS < u.SinceMS {
				u.SinceMS = w.SinceMS
			}
			count = min(count, w.Size.Fits(c.room[g]))
			if count <= 0 {
				break
			}
			c.room[g] = c.room[g].Minus(w.Size.Times(count))
		}
	}
}

// smallerPiece is the smaller of two sizes of tasks; none is an empty amount.
func smallerPiece(a, b Amount) Amount {
	if a.IsZero() || b.CPUs < a.CPUs || b.CPUs == a.CPUs && b.GPUs < a.GPUs {
		return b
	}
	return a
}

// addGuarantees says which part of each claim is guaranteed: within a team's own
// guarantee, or within that of a group in this one, as it is parted among the shards.
func (c *claimBuilder) addGuarantees(teams []TeamDemand) {
	for _, t := range teams {
		if len(t.Groups) == 0 {
			continue
		}
		u := c.use(t.Groups[0])
		want := t.Used
		for _, w := range t.Waiting {
			want = want.Plus(w.Size.Times(w.Count))
		}
		u.Guaranteed = u.Guaranteed.Plus(want.Min(t.Guarantee))
	}
	// Inner groups come first in every path.
	done := map[string]bool{}
	for depth := range c.deepest(teams) {
		for _, t := range teams {
			if depth+1 >= len(t.Groups) || done[t.Groups[depth]] {
				continue
			}
			inner, outer := c.use(t.Groups[depth]), c.use(t.Groups[depth+1])
			done[t.Groups[depth]] = true
			part := c.ledger.guaranteePart(t.Groups[depth], c.shard, inner.Claim)
			outer.Guaranteed = outer.Guaranteed.Plus(inner.Want.Min(part.Max(inner.Guaranteed)))
		}
	}
	for _, u := range c.uses {
		u.Guaranteed = u.Guaranteed.Min(u.Want)
	}
}

func (c *claimBuilder) deepest(teams []TeamDemand) (most int) {
	for _, t := range teams {
		most = max(most, len(t.Groups))
	}
	return most
}

// guaranteePart is a shard's part of a group's guarantee, parted by what the shards claim.
func (l *Ledger) guaranteePart(name string, shard int, own Claim) Amount {
	g := l.groups[name]
	if g == nil || g.rec.Guarantee.IsZero() {
		return Amount{}
	}
	at, claims := -1, make([]Claim, 0, len(g.rec.Rows)+1)
	for i, row := range g.rec.Rows {
		claims = append(claims, row.Claim)
		if row.Shard == shard {
			at, claims[i] = i, own
		}
	}
	if at < 0 {
		at, claims = len(claims), append(claims, own)
	}
	for i := range claims { // a guarantee is parted before pieces matter
		claims[i] = Claim{Want: claims[i].Want}
	}
	return Divide(g.rec.Guarantee, claims)[at]
}
