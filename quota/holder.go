package quota

import (
	"maps"
	"slices"
)

// What the owner of a shard does with its allowance.

// Allowed is the most that a shard's tasks may use of a group; what they could be using at
// most counts. A group that is not known bounds nothing.
func (l *Ledger) Allowed(shard int, group string) Amount {
	h := l.held[shard]
	if h == nil {
		return Amount{}
	}
	g := l.groups[group]
	switch {
	case !h.fresh:
		return Amount{} // a former owner may have given up more than is known here
	case g == nil || !g.binds():
		return Unlimited
	}
	return g.allowed[shard]
}

// Granted notes a grant of a shard from a group. Each must be noted at once: what the shard
// uses is told now and then, and nothing that was granted since may be given up.
func (l *Ledger) Granted(shard int, group string, size Amount) {
	h := l.held[shard]
	if h == nil {
		return
	}
	use, ok := h.use[group]
	if !ok {
		return // it is told as a whole first
	}
	used := use.Used.Plus(size)
	if g := l.groups[group]; g != nil && g.binds() {
		// Tasks may have ended since; more than the allowance is never in use by grants.
		if i := g.rec.Row(shard); i >= 0 {
			used = used.Min(use.Used.Max(g.rec.Rows[i].Allowance))
		}
	}
	use.Used, use.Want = used, use.Want.Max(used)
	h.use[group] = use
}

// binds tells whether a group is known and bounds anything.
func (g *groupState) binds() bool {
	return g.modRevision != 0 && !g.rec.Removed && g.rec.Limit.Bounded()
}

// plan works out what this controller's shards may use of a group, and writes what has to
// change of its record.
func (l *Ledger) plan(g *groupState) {
	clear(g.allowed)
	if !g.binds() {
		return
	}
	l.divide(g)
	next := g.rec.clone()
	var changed []int
	for _, shard := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[shard]
		use, known := h.use[g.name]
		if !h.fresh || !known {
			continue
		}
		l.reclaim(g, shard, use)
		// Where it is not known whether a write that gives up something was carried out,
		// any newer one settles it: until then both count, and what is given up is lost to
		// everybody.
		if l.planShard(g, shard, use, &next) || g.lowered(shard) {
			changed = append(changed, shard)
		}
	}
	for shard, h := range l.held {
		if h.fresh {
			g.allowed[shard] = l.allowedNow(g, shard)
		}
	}
	if len(changed) == 0 || g.sending || l.now.Steady < g.next || len(g.sets) > 0 {
		return
	}
	l.send(g, next, writeRows, changed, nil)
	for _, shard := range changed {
		g.publishedAt[shard] = l.now.Steady
		if h := l.held[shard]; h != nil {
			g.allowed[shard] = l.allowedNow(g, shard) // less counts from here on
		}
	}
}

// divide works out what each row should have, by the newest claims of this controller's
// own shards and the recorded ones of the others.
func (l *Ledger) divide(g *groupState) {
	claims := make([]Claim, len(g.rec.Rows))
	for i, row := range g.rec.Rows {
		claims[i] = row.Claim
		if h := l.held[row.Shard]; h != nil && h.fresh {
			if use, ok := h.use[g.name]; ok {
				claims[i] = use.Claim
			}
		}
		claims[i].Want = claims[i].Want.Min(g.rec.Limit.Amount())
	}
	g.parts = Divide(g.rec.Limit.Amount(), claims)
	var lack, guaranteeLack Amount
	for i, row := range g.rec.Rows {
		lack = lack.Plus(g.parts[i].Minus(row.Allowance))
		guaranteeLack = guaranteeLack.Plus(g.parts[i].Min(claims[i].Guaranteed).Minus(row.Allowance))
	}
	free := g.rec.Free()
	g.shortCPUs = lack.CPUs > free.CPUs+epsilon
	g.shortGPUs = lack.GPUs > free.GPUs+epsilon
	switch {
	case guaranteeLack.Within(free):
		g.guaranteeShortAt = -1
	case g.guaranteeShortAt < 0:
		g.guaranteeShortAt = l.now.Steady
	}
}

// part is what a shard should have at most while others lack: all that it has, if none do.
func (g *groupState) part(shard int, has Amount) Amount {
	i := g.rec.Row(shard)
	if i < 0 {
		return Amount{}
	}
	over := g.rec.Excess()
	if g.shortCPUs || over.CPUs > epsilon {
		has.CPUs = min(has.CPUs, g.parts[i].CPUs)
	}
	if g.shortGPUs || over.GPUs > epsilon {
		has.GPUs = min(has.GPUs, g.parts[i].GPUs)
	}
	return has
}

// allowedNow is what a shard may use: its allowance, less what any write gives up that was
// sent and may be carried out, and no more than its part where a limit is exceeded or
// others lack theirs.
func (l *Ledger) allowedNow(g *groupState, shard int) Amount {
	i := g.rec.Row(shard)
	if i < 0 {
		return Amount{}
	}
	has := g.rec.Rows[i].Allowance
	for _, w := range g.unresolved {
		if k := w.rec.Row(shard); k >= 0 {
			has = has.Min(w.rec.Rows[k].Allowance)
		}
	}
	has = g.part(shard, has)
	limit := g.rec.Limit
	if limit.CPUs == nil {
		has.CPUs = Unlimited.CPUs
	}
	if limit.GPUs == nil {
		has.GPUs = Unlimited.GPUs
	}
	return has
}

// lowered tells whether a write that may be carried out leaves a shard less than the
// record does.
func (g *groupState) lowered(shard int) bool {
	i := g.rec.Row(shard)
	return i >= 0 && slices.ContainsFunc(g.unresolved, func(w sentWrite) bool {
		k := w.rec.Row(shard)
		return k >= 0 && !g.rec.Rows[i].Allowance.Within(w.rec.Rows[k].Allowance)
	})
}

// planShard brings a shard's row in the next record up to date, and tells whether that is
// worth a write.
func (l *Ledger) planShard(g *groupState, shard int, use Use, next *Record) bool {
	bounded := g.rec.Limit.bounded
	used, claim := bounded(use.Used), use.Claim
	claim.Used, claim.Want, claim.Piece, claim.Guaranteed = used, bounded(claim.Want), bounded(claim.Piece), bounded(claim.Guaranteed)
	i := next.Row(shard)
	if i < 0 {
		if !use.Exact {
			return false
		}
		next.Rows = append(next.Rows, Row{Shard: shard, Allowance: used, Claim: claim, Seen: next.Epoch})
		if !used.Within(g.rec.Free()) {
			next.Applied = nil // it uses what others may have been granted
		}
		return true
	}
	row := &next.Rows[i]
	was := *row
	row.Allowance = l.allowance(g, shard, used, claim, use.Exact, next)
	if !row.Allowance.Within(was.Allowance) && use.Exact && !used.Within(was.Allowance) {
		next.Applied = nil // a controller that knows no groups has granted more
	}
	row.Claim, row.Seen = claim, next.Epoch
	if l.worthWriting(g, shard, was, *row) {
		return true
	}
	*row = was // the write of another shard's row may not touch this one
	return false
}

// allowance is what a shard's allowance should be.
func (l *Ledger) allowance(g *groupState, shard int, used Amount, claim Claim, exact bool, next *Record) Amount {
	has := next.Rows[next.Row(shard)].Allowance
	if exact && !used.Within(has) {
		return has.Max(used)
	}
	used = used.Min(has)
	part := g.part(shard, has)
	if over := next.Excess(); !over.IsZero() {
		give := part
		if l.now.Steady >= g.epochAt+l.cfg.Timing.Patience {
			give = give.Min(has.Minus(over)) // others have not given up theirs
		}
		return give.Max(used)
	}
	if !part.Equal(has) {
		return part.Max(used)
	}
	more := g.parts[g.rec.Row(shard)].Minus(has).Min(next.Free())
	if grown := has.Plus(more); !more.IsZero() && claim.Piece.Within(grown.Minus(used)) {
		return grown
	}
	return l.unused(g, shard, has, used.Max(claim.Want))
}

// unused gives up what has stood unused for a while.
func (l *Ledger) unused(g *groupState, shard int, has, needed Amount) Amount {
	if has.Minus(needed).IsZero() {
		delete(g.unusedSince, shard)
		return has
	}
	since, ok := g.unusedSince[shard]
	if !ok {
		g.unusedSince[shard] = l.now.Steady
		return has
	}
	if l.now.Steady < since+l.cfg.Timing.Keep {
		return has
	}
	return has.Min(needed)
}

// worthWriting tells whether a row has changed enough: its allowance, the epoch that its
// owner has seen, or, now and then, a claim that would change how the limit is divided.
func (l *Ledger) worthWriting(g *groupState, shard int, was, row Row) bool {
	if !row.Allowance.Equal(was.Allowance) || row.Seen != was.Seen {
		return true
	}
	if l.now.Steady < g.publishedAt[shard]+l.cfg.Timing.Publish {
		return false
	}
	limit := g.rec.Limit.Amount()
	a, b := row.Claim, was.Claim
	differ := func(a, b Amount) bool {
		a, b = a.Min(limit), b.Min(limit)
		apart := a.Minus(b).Plus(b.Minus(a))
		least := limit.CPUs / claimSteps
		if limit.CPUs > Unlimited.CPUs/2 {
			least = 0
		}
		return apart.CPUs > max(least, epsilon) || apart.GPUs > epsilon
	}
	lacks := !a.Want.Min(limit).Within(row.Allowance)
	lacked := !b.Want.Min(limit).Within(row.Allowance)
	switch {
	case lacks != lacked:
		return true
	case !lacks:
		return false // it has what it wants
	}
	return differ(a.Want, b.Want) || !a.Piece.Equal(b.Piece) || differ(a.Guaranteed, b.Guaranteed) ||
		a.Used.Within(Amount{}) != b.Used.Within(Amount{}) || a.SinceMS != b.SinceMS && a.Used.Within(Amount{})
}

// claimSteps is in how many steps of its limit a group's claims are told apart.
const claimSteps = 20

// reclaim asks for tasks to be stopped where a shard uses more than it should have and a
// guaranteed claim has waited for long enough.
func (l *Ledger) reclaim(g *groupState, shard int, use Use) {
	i := g.rec.Row(shard)
	if i < 0 || g.guaranteeShortAt < 0 || l.now.Steady < g.guaranteeShortAt+l.cfg.Timing.Reclaim || l.now.Steady < g.reclaimedAt+l.cfg.Timing.Reclaim {
		return
	}
	over := g.rec.Limit.bounded(use.Used.Minus(g.parts[i].Max(use.Guaranteed)))
	if !g.shortCPUs {
		over.CPUs = 0
	}
	if !g.shortGPUs {
		over.GPUs = 0
	}
	if over.IsZero() {
		return
	}
	g.reclaimedAt = l.now.Steady
	l.out = append(l.out, Reclaim{Shard: shard, Group: g.name, Over: over})
}

// noteChanges tells what a write that was carried out has changed.
func (l *Ledger) noteChanges(g *groupState, w sentWrite) {
	if w.kind != writeRows {
		l.out = append(l.out, Changed{Kind: Announced, Group: g.name, Epoch: w.rec.Epoch, Limit: w.rec.Limit, Source: w.rec.Source})
		return
	}
	if w.modRevision != g.modRevision {
		return // what it changed is not known any more
	}
	for _, row := range w.rec.Rows {
		var was Row
		if i := g.rec.Row(row.Shard); i >= 0 {
			was = g.rec.Rows[i]
		}
		kind := Asked
		switch {
		case row.Allowance.Equal(was.Allowance):
			if l.held[row.Shard] == nil || row.Claim == was.Claim {
				continue
			}
		case row.Allowance.Within(was.Allowance):
			kind = Shrunk
		default:
			kind = Grown
		}
		l.out = append(l.out, Changed{Kind: kind, Group: g.name, Shard: row.Shard, From: was.Allowance, To: row.Allowance, Epoch: w.rec.Epoch, Limit: w.rec.Limit, Source: w.rec.Source})
	}
}
