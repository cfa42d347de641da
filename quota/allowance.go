package quota

import "slices"

// Allowed returns the most that a shard's tasks may use of a group; everything that they
// could be using counts. A group that is not known bounds nothing.
func (l *Ledger) Allowed(shard int, group string) Amount {
	s := l.owned[shard]
	if s == nil || !s.recordsRead {
		return Amount{} // a former owner may have given up more than is known here
	}
	g := l.groups[group]
	if g == nil || !g.hasLimit() {
		return Unlimited
	}
	return g.allowed[shard]
}

// ExpectedAllowance returns what a shard may use of a group, or should have once other shards have given
// it up, whichever is more.
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

// Granted records that a task of a shard was started that uses size of a group. It must be
// called for each start at once, since Used comes at intervals and nothing that has been
// granted since may be given up.
func (l *Ledger) Granted(shard int, group string, size Amount) {
	s := l.owned[shard]
	if s == nil {
		return
	}
	usage, known := s.usage[group]
	if !known {
		return // the next Used includes it
	}
	used := usage.Used.Plus(size)
	if g := l.groups[group]; g != nil && g.hasLimit() {
		// Tasks may have ended since the last Used, but grants alone never use more than
		// the allowance.
		if allowance, ok := g.record.allowance(shard); ok {
			used = used.Min(usage.Used.Max(allowance))
		}
	}
	usage.Used = used
	usage.Want = usage.Want.Max(used)
	s.usage[group] = usage
}

// effectiveAllowance returns what a shard may use: its allowance, less what any write in doubt
// gives up, and no more than its part where a limit is exceeded or others lack theirs.
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

// reductionInDoubt reports whether a write in doubt leaves a shard less than the record
// does.
func (g *groupState) reductionInDoubt(shard int) bool {
	allowance, ok := g.record.allowance(shard)
	return ok && slices.ContainsFunc(g.inDoubt, func(w sentWrite) bool {
		written, ok := w.record.allowance(shard)
		return ok && !allowance.Within(written)
	})
}

// cappedAllowance returns how much of what it has a shard should keep: no more than its cappedAllowance of each
// resource of which others lack theirs or more than the limit is allowed.
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
