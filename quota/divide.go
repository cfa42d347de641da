package quota

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what a shard uses and wants of a group.
type Claim struct {
	// Used is the most that the shard's tasks may be using.
	Used Amount `cbor:"x"`
	// Want is the sum of Used and what the waiting tasks would use.
	Want Amount `cbor:"w"`
	// Guaranteed is how much of Want is within the guarantees of teams and of groups within
	// this group.
	Guaranteed Amount `cbor:"u"`
	// SmallestTask is the size of the smallest waiting task. The shard cannot use a smaller
	// increase of its allowance.
	SmallestTask Amount `cbor:"p"`
	// WaitingSinceMS is the earliest WaitingTasks.SinceMS of the waiting tasks: a time of day
	// by the clock of the shard's owner, in milliseconds since 1970. It is 0 if no task waits.
	WaitingSinceMS int64 `cbor:"t,omitempty"`
}

// zeroWhereUnbounded returns the claim with zero for each resource that the limit does not bound.
func (c Claim) zeroWhereUnbounded(limit Limit) Claim {
	c.Used = limit.zeroWhereUnbounded(c.Used)
	c.Want = limit.zeroWhereUnbounded(c.Want)
	c.Guaranteed = limit.zeroWhereUnbounded(c.Guaranteed)
	c.SmallestTask = limit.zeroWhereUnbounded(c.SmallestTask)
	return c
}

// Divide returns the fair share of each claim in a limit. It divides each resource separately.
// Guaranteed claims come first. The rest of the limit is divided evenly among the claims that
// want more (max-min fairness), in whole tasks of their smallest size. Some claims may neither
// run a task nor get a share for one. Of these, the claim that has waited longest gets its
// smallest task ahead of everything that is not guaranteed, if the guaranteed claims of the
// others leave room for the task.
func Divide(limit Amount, claims []Claim) []Amount {
	cpus := divideResource(limit.CPUs, claims, func(a Amount) float64 { return a.CPUs })
	gpus := divideResource(limit.GPUs, claims, func(a Amount) float64 { return a.GPUs })
	out := make([]Amount, len(claims))
	for i := range out {
		out[i] = Amount{CPUs: cpus[i], GPUs: gpus[i]}
	}
	return out
}

// resourceClaim is the part of a Claim that concerns one resource.
type resourceClaim struct {
	used, want, smallestTask float64
	sinceMS                  int64
}

// divideResource divides the limit of one resource among the claims. quantity selects the
// resource of an amount.
func divideResource(limit float64, all []Claim, quantity func(Amount) float64) []float64 {
	want := make([]float64, len(all))
	for i, c := range all {
		want[i] = quantity(c.Want)
	}
	if sum(want) <= limit+epsilon {
		return want
	}
	claims := make([]resourceClaim, len(all))
	reserved := make([]float64, len(all))
	for i, c := range all {
		claims[i] = resourceClaim{
			used:         quantity(c.Used),
			want:         want[i],
			smallestTask: quantity(c.SmallestTask),
			sinceMS:      c.WaitingSinceMS,
		}
		reserved[i] = min(quantity(c.Guaranteed), want[i])
	}
	maxMinFair(limit, reserved)
	shares := addEvenly(limit, reserved, want)
	if i := longestWithoutTask(claims, shares); i >= 0 {
		task := claims[i].smallestTask
		if sum(reserved)-reserved[i]+task <= limit+epsilon {
			reserved[i] = task
			shares = addEvenly(limit, reserved, want)
		}
	}
	roundToTasks(limit, claims, shares)
	return shares
}

// addEvenly returns the shares of all claims: what is reserved for each, plus an even share
// of the rest of the limit, up to what the claim wants.
func addEvenly(limit float64, reserved, want []float64) []float64 {
	shares := make([]float64, len(reserved))
	for i := range shares {
		shares[i] = want[i] - reserved[i]
	}
	maxMinFair(limit-sum(reserved), shares)
	for i := range shares {
		shares[i] += reserved[i]
	}
	return shares
}

// maxMinFair divides an amount evenly (max-min fairness), with no claim getting more than it
// wants. It replaces each element of wants by what the claim gets.
func maxMinFair(amount float64, wants []float64) {
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	for n, i := range order {
		evenShare := max(0, amount) / float64(len(order)-n)
		wants[i] = min(wants[i], evenShare)
		amount -= wants[i]
	}
}

func sum(shares []float64) (total float64) {
	for _, share := range shares {
		total += share
	}
	return total
}

// longestWithoutTask returns the index of the claim that has waited longest among those that
// neither run a task of their smallest size nor have a share for one, or -1 if there is none.
func longestWithoutTask(claims []resourceClaim, shares []float64) int {
	longest := -1
	for i, c := range claims {
		waits := c.sinceMS != 0 && c.want+epsilon >= c.smallestTask
		served := c.used+epsilon >= c.smallestTask || shares[i]+epsilon >= c.smallestTask
		if !waits || served {
			continue
		}
		if longest < 0 || c.sinceMS < claims[longest].sinceMS {
			longest = i
		}
	}
	return longest
}

// roundToTasks rounds the share of each claim that wants more down to what it uses plus a
// whole number of its smallest tasks. It hands out the remainder in whole tasks, in rounds of
// one task for each claim, beginning with the smallest share and, among equal shares, with
// the claim that has waited longest.
func roundToTasks(limit float64, claims []resourceClaim, shares []float64) {
	var order []int
	for i, c := range claims {
		if c.smallestTask <= 0 || shares[i]+epsilon >= c.want {
			continue
		}
		used := min(c.used, shares[i])
		tasks := math.Floor((shares[i] - used + epsilon) / c.smallestTask)
		shares[i] = used + float64(tasks*c.smallestTask)
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(shares[a], shares[b]), cmp.Compare(claims[a].sinceMS, claims[b].sinceMS))
	})
	rest := limit - sum(shares)
	for given := true; given; {
		given = false
		for _, i := range order {
			task := claims[i].smallestTask
			if task <= rest+epsilon && shares[i]+task <= claims[i].want+epsilon {
				shares[i] += task
				rest -= task
				given = true
			}
		}
	}
}
