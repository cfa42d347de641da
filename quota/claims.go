package quota

import "slices"

// TeamDemand is what a team's running tasks use in a shard, and which of its tasks wait.
type TeamDemand struct {
	// Groups are the groups that the team is in, the innermost first. See Ledger.Path.
	Groups []string
	Used   Amount
	// Guarantee is the guarantee of the team itself, not of a group that it is in.
	Guarantee Amount
	Waiting   []WaitingTasks
}

// want returns what the team's running tasks use and its waiting tasks would use.
func (d TeamDemand) want() Amount {
	want := d.Used
	for _, w := range d.Waiting {
		want = want.Plus(w.Size.Times(w.Count))
	}
	return want
}

// WaitingTasks are tasks of one size that could start if there were quota.
type WaitingTasks struct {
	Size  Amount
	Count int
	// SinceMS is since when the tasks have waited without any of them being started: a time of
	// day in milliseconds since 1970.
	SinceMS int64
}

// Path returns the groups that a team is in according to the records, the innermost first.
func (l *Ledger) Path(team string) []string {
	var path []string
	for _, name := range l.names() {
		g := l.groups[name]
		if g.exists() && slices.Contains(g.record.Members, team) {
			path = append(path, name)
		}
	}
	slices.SortStableFunc(path, l.compareNesting)
	return path
}

// compareNesting orders a group before its parent. Of two other groups, the one with fewer
// members comes first.
func (l *Ledger) compareNesting(a, b string) int {
	recordA := &l.groups[a].record
	recordB := &l.groups[b].record
	switch {
	case recordA.Parent == b:
		return -1
	case recordB.Parent == a:
		return 1
	}
	return len(recordA.Members) - len(recordB.Members)
}

// Claims returns what a shard uses and wants of each group, for a UsageReport. exact is set
// if TeamDemand.Used is exact. The claim on an outer group includes only those waiting tasks
// for which the shard has quota of the inner groups. Otherwise one owner could hold quota of
// the inner group and another quota of the outer group, each waiting for the other forever.
func (l *Ledger) Claims(shard int, exact bool, teams []TeamDemand) map[string]Usage {
	b := claimBuilder{
		ledger:    l,
		shard:     shard,
		usages:    map[string]*Usage{},
		available: map[string]Amount{},
	}
	b.addUsed(teams, exact)
	for _, team := range teams {
		b.addWaiting(team)
	}
	b.addGuaranteed(teams)
	out := map[string]Usage{}
	for group, usage := range b.usages {
		out[group] = *usage
	}
	return out
}

// claimBuilder computes the claims of one shard.
type claimBuilder struct {
	ledger    *Ledger
	shard     int
	usages    map[string]*Usage
	available map[string]Amount // what the shard may grant beyond what it uses and wants
}

// usage returns the usage of a group, and adds it if there is none.
func (b *claimBuilder) usage(group string) *Usage {
	u := b.usages[group]
	if u == nil {
		u = &Usage{}
		b.usages[group] = u
	}
	return u
}

// addUsed adds what the running tasks of the teams use.
func (b *claimBuilder) addUsed(teams []TeamDemand, exact bool) {
	for _, team := range teams {
		for _, group := range team.Groups {
			u := b.usage(group)
			u.Used = u.Used.Plus(team.Used)
			u.Exact = exact
		}
	}
	for group, u := range b.usages {
		u.Want = u.Used
		b.available[group] = b.ledger.Allowed(b.shard, group).Minus(u.Used)
	}
}

// addWaiting adds a team's waiting tasks, from the innermost group outwards.
func (b *claimBuilder) addWaiting(team TeamDemand) {
	for _, tasks := range team.Waiting {
		count := tasks.Count
		for _, group := range team.Groups {
			b.usage(group).addWaiting(tasks, count)
			count = min(count, tasks.Size.CountFitting(b.available[group]))
			if count <= 0 {
				break
			}
			b.available[group] = b.available[group].Minus(tasks.Size.Times(count))
		}
	}
}

// addWaiting adds count of the waiting tasks to a claim.
func (c *Claim) addWaiting(tasks WaitingTasks, count int) {
	c.Want = c.Want.Plus(tasks.Size.Times(count))
	c.SmallestTask = smallerTask(c.SmallestTask, tasks.Size)
	if c.WaitingSinceMS == 0 || tasks.SinceMS < c.WaitingSinceMS {
		c.WaitingSinceMS = tasks.SinceMS
	}
}

// smallerTask returns the smaller of two task sizes, compared by CPUs, then by GPUs. If a is
// zero, there is only one size, and smallerTask returns b.
func smallerTask(a, b Amount) Amount {
	if a.IsZero() || b.CPUs < a.CPUs || b.CPUs == a.CPUs && b.GPUs < a.GPUs {
		return b
	}
	return a
}

// addGuaranteed computes how much of each claim is guaranteed: by the guarantees of teams, or
// by the shard's shares of the guarantees of the groups within the claim's group.
func (b *claimBuilder) addGuaranteed(teams []TeamDemand) {
	b.addTeamGuarantees(teams)
	b.addGroupGuarantees(teams)
	for _, u := range b.usages {
		u.Guaranteed = u.Guaranteed.Min(u.Want)
	}
}

// addTeamGuarantees adds each team's guarantee to its innermost group.
func (b *claimBuilder) addTeamGuarantees(teams []TeamDemand) {
	for _, team := range teams {
		if len(team.Groups) == 0 {
			continue
		}
		u := b.usage(team.Groups[0])
		u.Guaranteed = u.Guaranteed.Plus(team.want().Min(team.Guarantee))
	}
}

// addGroupGuarantees adds what is guaranteed in each group to its parent, once for each
// group. Inner groups come first, since the parent's amount depends on theirs.
func (b *claimBuilder) addGroupGuarantees(teams []TeamDemand) {
	done := map[string]bool{}
	for depth := range longestPath(teams) {
		for _, team := range teams {
			if depth+1 >= len(team.Groups) || done[team.Groups[depth]] {
				continue
			}
			name := team.Groups[depth]
			done[name] = true
			inner := b.usage(name)
			outer := b.usage(team.Groups[depth+1])
			share := b.ledger.guaranteeShare(name, b.shard, inner.Claim)
			guaranteed := inner.Want.Min(share.Max(inner.Guaranteed))
			outer.Guaranteed = outer.Guaranteed.Plus(guaranteed)
		}
	}
}

// longestPath returns the number of groups that the most deeply nested team is in.
func longestPath(teams []TeamDemand) (longest int) {
	for _, team := range teams {
		longest = max(longest, len(team.Groups))
	}
	return longest
}

// guaranteeShare returns a shard's share of a group's guarantee. The guarantee is divided by
// what the shards want, without regard to task sizes.
func (l *Ledger) guaranteeShare(group string, shard int, own Claim) Amount {
	g := l.groups[group]
	if g == nil || g.record.Guarantee.IsZero() {
		return Amount{}
	}
	claims := make([]Claim, 0, len(g.record.Rows)+1)
	for _, row := range g.record.Rows {
		claims = append(claims, Claim{Want: row.Claim.Want})
	}
	i := g.record.RowIndex(shard)
	if i < 0 {
		i = len(claims)
		claims = append(claims, Claim{})
	}
	claims[i] = Claim{Want: own.Want}
	return Divide(g.record.Guarantee, claims)[i]
}
