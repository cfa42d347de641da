package quota

import "slices"

// Allowed returns the most that a shard's tasks may use of a group. Every task that may be
// running counts against it. Allowed returns zero unless this controller owns the shard and
// has read all records since it acquired the shard. It returns Unlimited for a group that is
// unknown, removed or without a limit.
func (l *Ledger) Allowed(shard int, group string) Amount {
	s := l.owned[shard]
	if s == nil || !s.recordsRead {
		return Amount{} // a former owner may have reduced the allowance in a record not read yet
	}
	g := l.groups[group]
	if g == nil || !g.hasLimit() {
		return Unlimited
	}
	return g.allowed[shard]
}

// ExpectedAllowance returns what a shard may use of a group now, or its fair share where
// that is more: the shard gets it once other shards have reduced their allowances.
func (l *Ledger) ExpectedAllowance(shard int, group string) Amount {
	allowed := l.Allowed(shard, group)
	g := l.groups[group]
	if g == nil || allowed == Unlimited || l.owned[shard] == nil {
		return allowed
	}
	i := g.record.RowIndex(shard)
	if i < 0 || i >= len(g.fairShares) {
		return allowed
	}
	return allowed.Max(g.fairShares[i])
}

// Granted records that a task of the given size was started in a shard and counts in a
// group. It must be called at each start: usage reports come at intervals, and without this
// call the ledger could give up quota that was granted since the last one.
func (l *Ledger) Granted(shard int, group string, size Amount) {
	s := l.owned[shard]
	if s == nil {
		return
	}
	usage, known := s.usage[group]
	if !known {
		return // the next UsageReport includes the task
	}
	used := usage.Used.Plus(size)
	if g := l.groups[group]; g != nil && g.hasLimit() {
		// The sum counts tasks that have ended since the last UsageReport. Grants are
		// checked against the allowance, so they alone never raise the use above it.
		if allowance, ok := g.record.allowance(shard); ok {
			used = used.Min(usage.Used.Max(allowance))
		}
	}
	usage.Used = used
	usage.Want = usage.Want.Max(used)
	s.usage[group] = usage
}

// effectiveAllowance returns what a shard may use: the smallest of its recorded allowance
// and those in writes in doubt, and no more than its fair share of a resource whose limit is
// exceeded or of which other shards lack their fair shares.
func (l *Ledger) effectiveAllowance(g *groupState, shard int) Amount {
	allowed, ok := g.record.allowance(shard)
	if !ok {
		return Amount{}
	}
	for _, w := range g.inDoubt {
		if written, ok := w.record.allowance(shard); ok {
			allowed = allowed.Min(written)
		}
	}
	return g.record.Limit.unlimitedWhereUnbounded(g.cappedAllowance(shard, allowed))
}

// reductionInDoubt reports whether a write in doubt gives a shard a smaller allowance than
// the known record does.
func (g *groupState) reductionInDoubt(shard int) bool {
	allowance, ok := g.record.allowance(shard)
	return ok && slices.ContainsFunc(g.inDoubt, func(w sentWrite) bool {
		written, ok := w.record.allowance(shard)
		return ok && !allowance.Within(written)
	})
}

// cappedAllowance returns the current allowance of a shard, reduced to its fair share of each
// resource of which other shards lack their fair shares or the allowances exceed the limit.
func (g *groupState) cappedAllowance(shard int, current Amount) Amount {
	i := g.record.RowIndex(shard)
	if i < 0 {
		return Amount{}
	}
	excess := g.record.Excess()
	if g.shortage.cpus || excess.CPUs > epsilon {
		current.CPUs = min(current.CPUs, g.fairShares[i].CPUs)
	}
	if g.shortage.gpus || excess.GPUs > epsilon {
		current.GPUs = min(current.GPUs, g.fairShares[i].GPUs)
	}
	return current
}
