package quota

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what a shard wants of a group.
type Claim struct {
	// Used is what the shard's tasks may be using.
	Used Amount `cbor:"x"`
	// Want is what the shard's tasks use, and what those that wait would use.
	Want Amount `cbor:"w"`
	// Guaranteed is the part of it that lies within guarantees: of the teams, and of
	// groups within this one.
	Guaranteed Amount `cbor:"u"`
	// Piece is the least that is of use: what the smallest waiting task takes.
	Piece Amount `cbor:"p"`
	// SinceMS is since when tasks wait with none started, by the time of day of the
	// shard's owner; 0: none waits.
	SinceMS int64 `cbor:"t,omitempty"`
}

// Divide says how much of a limit each claim should have. Guaranteed parts come first,
// what remains is parted evenly among those that want more. Nobody is given a fraction of a
// piece, and a claim that could otherwise not have a single piece gets one ahead of what
// is not guaranteed, the one that has waited for longest first.
func Divide(limit Amount, claims []Claim) []Amount {
	cpus := divideOne(limit.CPUs, claims, func(a Amount) float64 { return a.CPUs })
	gpus := divideOne(limit.GPUs, claims, func(a Amount) float64 { return a.GPUs })
	out := make([]Amount, len(claims))
	for i := range out {
		out[i] = Amount{CPUs: cpus[i], GPUs: gpus[i]}
	}
	return out
}

// divideOne parts one resource.
func divideOne(limit float64, claims []Claim, of func(Amount) float64) []float64 {
	want, sum := make([]float64, len(claims)), 0.0
	for i, c := range claims {
		want[i] = of(c.Want)
		sum += want[i]
	}
	if sum <= limit+epsilon {
		return want
	}
	guaranteed := make([]float64, len(claims))
	for i, c := range claims {
		guaranteed[i] = min(of(c.Guaranteed), want[i])
	}
	sure := fill(limit, guaranteed)
	part := evenly(limit, sure, want)
	if i := longestWithout(claims, part, want, of); i >= 0 {
		if piece := of(claims[i].Piece); total(sure)-sure[i]+piece <= limit+epsilon {
			sure[i] = piece
			part = evenly(limit, sure, want)
		}
	}
	return wholePieces(limit, claims, part, want, of)
}

// evenly adds to what is sure of each an even part of what remains of a limit.
func evenly(limit float64, sure, want []float64) []float64 {
	part, lack := slices.Clone(sure), make([]float64, len(sure))
	for i := range lack {
		lack[i] = want[i] - sure[i]
	}
	for i, more := range fill(limit-total(sure), lack) {
		part[i] += more
	}
	return part
}

// fill parts an amount evenly, nobody getting more than its cap (max-min fairness).
func fill(amount float64, caps []float64) []float64 {
	part := make([]float64, len(caps))
	order := make([]int, len(caps))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(caps[a], caps[b]) })
	for n, i := range order {
		part[i] = min(caps[i], max(0, amount)/float64(len(order)-n))
		amount -= part[i]
	}
	return part
}

func total(parts []float64) (sum float64) {
	for _, p := range parts {
		sum += p
	}
	return sum
}

// longestWithout is the claim that has waited for longest of those without a whole piece;
// -1: there is none.
func longestWithout(claims []Claim, part, want []float64, of func(Amount) float64) int {
	longest := -1
	for i, c := range claims {
		piece := of(c.Piece)
		if c.SinceMS == 0 || of(c.Used)+epsilon >= piece || part[i]+epsilon >= piece || want[i]+epsilon < piece {
			continue
		}
		if longest < 0 || c.SinceMS < claims[longest].SinceMS {
			longest = i
		}
	}
	return longest
}

// wholePieces rounds the parts of those that want more down, to whole pieces beside what
// they use, and gives what that leaves to those that have least, and of these to those
// that have waited for longest.
func wholePieces(limit float64, claims []Claim, part, want []float64, of func(Amount) float64) []float64 {
	var order []int
	for i, c := range claims {
		piece := of(c.Piece)
		if piece <= 0 || part[i]+epsilon >= want[i] {
			continue
		}
		used := min(of(c.Used), part[i])
		part[i] = used + math.Floor((part[i]-used+epsilon)/piece)*piece
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(part[a], part[b]), cmp.Compare(claims[a].SinceMS, claims[b].SinceMS))
	})
	rest := limit - total(part)
	for given := true; given; {
		given = false
		for _, i := range order {
			if piece := of(claims[i].Piece); piece <= rest+epsilon && part[i]+piece <= want[i]+epsilon {
				part[i] += piece
				rest -= piece
				given = true
			}
		}
	}
	return part
}
