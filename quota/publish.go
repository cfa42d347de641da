package quota

// claimSteps is the number of steps into which a group's limit of CPUs is divided; claims
// that differ by less than one step are not distinguished.
const claimSteps = 20

// worthWriting reports whether a row has changed enough for a write: its allowance, the
// epoch that its owner has seen, or, at intervals of Timing.PublishInterval, a claim that
// would change how the limit is divided.
func (l *Ledger) worthWriting(g *groupState, before, after Row) bool {
	if !after.Allowance.Equal(before.Allowance) || after.SeenEpoch != before.SeenEpoch {
		return true
	}
	if l.now.Steady < g.publishedAt[after.Shard]+l.cfg.Timing.PublishInterval {
		return false
	}
	return claimAffectsDivision(g.record.Limit.Amount(), before, after)
}

// claimAffectsDivision reports whether a row's claim has changed enough to change how the limit is
// divided. The claim of a shard that has what it wants changes nothing.
func claimAffectsDivision(limit Amount, before, after Row) bool {
	lacks := !after.Claim.Want.Min(limit).Within(after.Allowance)
	lacked := !before.Claim.Want.Min(limit).Within(before.Allowance)
	if lacks != lacked {
		return true
	}
	if !lacks {
		return false
	}
	idle := after.Claim.Used.IsZero()
	wasIdle := before.Claim.Used.IsZero()
	return differByStep(limit, after.Claim.Want, before.Claim.Want) ||
		!after.Claim.SmallestTask.Equal(before.Claim.SmallestTask) ||
		differByStep(limit, after.Claim.Guaranteed, before.Claim.Guaranteed) ||
		idle != wasIdle ||
		idle && after.Claim.WaitingSinceMS != before.Claim.WaitingSinceMS
}

// differByStep reports whether two amounts, cut to a limit, differ by more than one step of
// its CPUs, or at all in GPUs. Of CPUs that are not bounded no difference counts.
func differByStep(limit, a, b Amount) bool {
	a = a.Min(limit)
	b = b.Min(limit)
	difference := a.Minus(b).Plus(b.Minus(a))
	step := max(limit.CPUs/claimSteps, epsilon)
	return difference.CPUs > step || difference.GPUs > epsilon
}
