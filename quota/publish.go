package quota

// claimSteps is the number of steps into which a group's CPU limit is divided. While a shard
// lacks quota, a change by at most one step in the CPUs that its claim wants or has guaranteed
// does not cause a write.
const claimSteps = 20

// worthWriting reports whether a row has changed enough for a write: its allowance or the
// epoch that its owner has seen has changed, or the claim has changed in a way that affects
// how the limit is divided. A changed claim alone causes a write only once
// Timing.PublishInterval has passed since a write of the row was last sent.
func (l *Ledger) worthWriting(g *groupState, before, after Row) bool {
	if !after.Allowance.Equal(before.Allowance) || after.SeenEpoch != before.SeenEpoch {
		return true
	}
	if l.now.Steady < g.publishedAt[after.Shard]+l.cfg.Timing.PublishInterval {
		return false
	}
	return claimAffectsDivision(g.record.Limit.Amount(), before, after)
}

// claimAffectsDivision reports whether a row's claim has changed enough to affect how the
// limit is divided. While a shard has all that it wants, changes of its claim do not.
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
// its CPUs, or at all in GPUs. If the limit does not bound CPUs, differences in CPUs are
// ignored.
func differByStep(limit, a, b Amount) bool {
	a = a.Min(limit)
	b = b.Min(limit)
	difference := a.Minus(b).Plus(b.Minus(a))
	step := max(limit.CPUs/claimSteps, epsilon)
	return difference.CPUs > step || difference.GPUs > epsilon
}
