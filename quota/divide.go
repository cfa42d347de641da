package quota

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what a shard uses and wants of a group.
type Claim struct {
	// Used is the most that the shard's tasks could be using.
	Used Amount `cbor:"x"`
	// Want is Used and what the waiting tasks would use.
	Want Amount `cbor:"w"`
	// Guaranteed is how much of Want lies within guarantees: those of the teams, and those
	// of groups within this one.
	Guaranteed Amount `cbor:"u"`
	// SmallestTask is what the smallest waiting task uses; less is of no use to the shard.
	SmallestTask Amount `cbor:"p"`
	// WaitingSinceMS is since when tasks have waited with none started, by the time of day of the
	// shard's owner, in milliseconds since 1970; 0: none waits.
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

// Divide returns how much of a limit the shard of each claim should have. Guaranteed claims
// come first. What remains is divided evenly among those that want more (max-min
// fairness), in steps of their smallest tasks. A claim that would otherwise have no task
// running gets its smallest task ahead of what is not guaranteed, the one that has waited
// for longest first.
func Divide(limit Amount, claims []Claim) []Amount {
	cpus := divideResource(limit.CPUs, claims, func(a Amount) float64 { return a.CPUs })
	gpus := divideResource(limit.GPUs, claims, func(a Amount) float64 { return a.GPUs })
	out := make([]Amount, len(claims))
	for i := range out {
		out[i] = Amount{CPUs: cpus[i], GPUs: gpus[i]}
	}
	return out
}

// resourceClaim is a claim of one resource.
type resourceClaim struct {
	used, want, smallestTask float64
	sinceMS                  int64
}

// divideResource divides one resource, which of selects.
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

// addEvenly adds to what is reserved for each an even part of what remains of a limit, up to
// what each wants.
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

// maxMinFair divides an amount evenly, nobody getting more than it wants. It replaces what
// each wants by what it gets.
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

// longestWithoutTask returns the index of the claim that has waited for longest of those that
// neither run a task of their smallest size nor have a part for one; -1: there is none.
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

// roundToTasks rounds the parts of claims that want more down to what they use and whole
// tasks beside it. What that leaves goes to those that have least, and of these to those
// that have waited for longest, again in whole tasks.
func roundToTasks(limit float64, claims []resourceClaim, shares []float64) {
	var order []int
	for i, c := range claims {
		if c.smallestTask <= 0 || shares[i]+epsilon >= c.want {
			continue
		}
		used := min(c.used, shares[i])
		tasks := math.Floor((shares[i] - used + epsilon) / c.smallestTask)
		shares[i] = used + tasks*c.smallestTask
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
