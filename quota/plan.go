package quota

import (
	"maps"
	"slices"
)

// shortage holds the resources for which the shards together lack more of their fair shares
// than is free.
type shortage struct{ cpus, gpus bool }

// zeroUnlessShort returns a with zero for each resource that is not short.
func (s shortage) zeroUnlessShort(a Amount) Amount {
	if !s.cpus {
		a.CPUs = 0
	}
	if !s.gpus {
		a.GPUs = 0
	}
	return a
}

// waitingTime tells whether guaranteed claims of a group wait for quota, and since when.
type waitingTime struct {
	waits bool
	since Micros
}

// longerThan reports whether guaranteed claims have waited for at least d.
func (w waitingTime) longerThan(d, now Micros) bool { return w.waits && now >= w.since+d }

// plan updates what this controller's shards may use of a group, and sends a write of the
// shards' rows if any has changed enough.
func (l *Ledger) plan(g *groupState) {
	clear(g.allowed)
	if !g.hasLimit() {
		return
	}
	l.computeFairShares(g)
	next := g.record.clone()
	changed := l.updateRows(g, &next)
	l.updateAllowed(g)
	if len(changed) == 0 || !l.mayWrite(g) || len(g.setRequests) > 0 {
		return
	}
	l.sendRows(g, next, changed)
	for _, shard := range changed {
		g.publishedAt[shard] = l.now.Steady
		g.allowed[shard] = l.effectiveAllowance(g, shard) // a reduction applies once its write is sent
	}
}

// updateRows updates the rows of owned shards in the next record. It returns the shards for
// which the record must be written.
func (l *Ledger) updateRows(g *groupState, next *Record) (changed []int) {
	for _, shard := range slices.Sorted(maps.Keys(l.owned)) {
		usage, known := l.currentUsage(g, shard)
		if !known {
			continue
		}
		l.reclaim(g, shard, usage)
		update := l.updateRow(g, shard, usage, next)
		// While a reduction is in doubt, no shard can use the amount that it gives up. Any
		// newer write resolves the doubt.
		if update || g.reductionInDoubt(shard) {
			changed = append(changed, shard)
		}
	}
	return changed
}

// updateAllowed computes what each owned shard may use.
func (l *Ledger) updateAllowed(g *groupState) {
	for shard, s := range l.owned {
		if s.recordsRead {
			g.allowed[shard] = l.effectiveAllowance(g, shard)
		}
	}
}

// currentUsage returns what an owned shard uses of a group. known is false for a shard that is
// not owned, before its use has been reported, and before all records have been read.
func (l *Ledger) currentUsage(g *groupState, shard int) (usage Usage, known bool) {
	s := l.owned[shard]
	if s == nil || !s.recordsRead {
		return Usage{}, false
	}
	usage, known = s.usage[g.name]
	return usage, known
}

// computeFairShares computes the fair share of each row, the shortage, and since when
// guaranteed claims wait, which they do while they lack more together than is free.
func (l *Ledger) computeFairShares(g *groupState) {
	limit := g.record.Limit.Amount()
	claims := l.currentClaims(g)
	g.fairShares = Divide(limit, claims)
	var lacking, lackingGuaranteed Amount
	for i, row := range g.record.Rows {
		guaranteedShare := g.fairShares[i].Min(claims[i].Guaranteed)
		lacking = lacking.Plus(g.fairShares[i].Minus(row.Allowance))
		lackingGuaranteed = lackingGuaranteed.Plus(guaranteedShare.Minus(row.Allowance))
	}
	free := g.record.Free()
	g.shortage = shortage{
		cpus: lacking.CPUs > free.CPUs+epsilon,
		gpus: lacking.GPUs > free.GPUs+epsilon,
	}
	switch {
	case lackingGuaranteed.Within(free):
		g.guaranteeWait = waitingTime{}
	case !g.guaranteeWait.waits:
		g.guaranteeWait = waitingTime{waits: true, since: l.now.Steady}
	}
}

// currentClaims returns the claim of each row, with Want cut to the limit: the current claim
// of an owned shard, and the recorded one of any other.
func (l *Ledger) currentClaims(g *groupState) []Claim {
	limit := g.record.Limit.Amount()
	claims := make([]Claim, len(g.record.Rows))
	for i, row := range g.record.Rows {
		claims[i] = row.Claim
		if usage, known := l.currentUsage(g, row.Shard); known {
			claims[i] = usage.Claim
		}
		claims[i].Want = claims[i].Want.Min(limit)
	}
	return claims
}

// updateRow updates a shard's row in the next record, and reports whether the row has changed
// enough for a write.
func (l *Ledger) updateRow(g *groupState, shard int, usage Usage, next *Record) bool {
	claim := usage.Claim.zeroWhereUnbounded(g.record.Limit)
	i := next.RowIndex(shard)
	if i < 0 {
		if !usage.Exact {
			return false
		}
		g.register(shard, claim, next)
		return true
	}
	row := &next.Rows[i]
	before := *row
	row.Allowance = l.targetAllowance(g, shard, claim, usage.Exact, next)
	exceeded := usage.Exact && !claim.Used.Within(before.Allowance)
	if exceeded && !row.Allowance.Within(before.Allowance) {
		next.LastInForce = nil // a controller of a release without groups has granted more
	}
	row.Claim = claim
	row.SeenEpoch = next.Epoch
	if l.worthWriting(g, before, *row) {
		return true
	}
	*row = before // a write for another shard must leave this row as it is
	return false
}

// register adds a row to the next record for a shard that has none.
func (g *groupState) register(shard int, claim Claim, next *Record) {
	next.Rows = append(next.Rows, Row{Shard: shard, Allowance: claim.Used, Claim: claim, SeenEpoch: next.Epoch})
	if !claim.Used.Within(g.record.Free()) {
		next.LastInForce = nil // it uses quota that may be in the allowances of other shards
	}
}

// targetAllowance returns what a shard's allowance should become. It is never less than what
// is in use. It grows only by what is free in the next record, unless the shard already uses
// more than its allowance.
func (l *Ledger) targetAllowance(g *groupState, shard int, claim Claim, exact bool, next *Record) Amount {
	i := g.record.RowIndex(shard)
	current := next.Rows[next.RowIndex(shard)].Allowance
	if exact && !claim.Used.Within(current) {
		return current.Max(claim.Used)
	}
	used := claim.Used.Min(current)
	capped := g.cappedAllowance(shard, current)
	if excess := next.Excess(); !excess.IsZero() {
		if l.now.Steady >= g.epochSeenAt+l.cfg.Timing.ExcessTimeout {
			capped = capped.Min(current.Minus(excess)) // other owners have not reduced theirs in time
		}
		return capped.Max(used)
	}
	if !capped.Equal(current) {
		return capped.Max(used)
	}
	growth := g.fairShares[i].Minus(current).Min(next.Free())
	grown := current.Plus(growth)
	if !growth.IsZero() && claim.SmallestTask.Within(grown.Minus(used)) {
		return grown
	}
	return l.withoutUnused(g, shard, current, used.Max(claim.Want))
}

// withoutUnused returns a shard's current allowance, reduced to what the shard needs once
// part of the allowance has been unused for Timing.UnusedTimeout.
func (l *Ledger) withoutUnused(g *groupState, shard int, current, needed Amount) Amount {
	if current.Minus(needed).IsZero() {
		delete(g.unusedSince, shard)
		return current
	}
	since, ok := g.unusedSince[shard]
	if !ok {
		g.unusedSince[shard] = l.now.Steady
		return current
	}
	if l.now.Steady < since+l.cfg.Timing.UnusedTimeout {
		return current
	}
	return current.Min(needed)
}

// reclaim asks for tasks of a shard to be stopped if a guaranteed claim has waited for
// Timing.ReclaimDelay and the shard uses more of a short resource than both its fair share
// and what is guaranteed to it. It asks at most once per group in each Timing.ReclaimDelay.
func (l *Ledger) reclaim(g *groupState, shard int, usage Usage) {
	i := g.record.RowIndex(shard)
	delay := l.cfg.Timing.ReclaimDelay
	if i < 0 || !g.guaranteeWait.longerThan(delay, l.now.Steady) || l.now.Steady < g.reclaimedAt+delay {
		return
	}
	excess := usage.Used.Minus(g.fairShares[i].Max(usage.Guaranteed))
	excess = g.shortage.zeroUnlessShort(g.record.Limit.zeroWhereUnbounded(excess))
	if excess.IsZero() {
		return
	}
	g.reclaimedAt = l.now.Steady
	l.emit(Reclaim{Shard: shard, Group: g.name, Excess: excess})
}
