// Package ownership decides which controller owns a shard: it assigns teams to shards, selects the
// preferred owner of a shard, and determines how long a controller waits before it claims a free
// shard. It also tracks the state of the controller's lease in the state service, to which its
// locks are bound. The package performs no I/O and reads no clock.
package ownership

import "garnethitch/internal/micros"

// claimStep is the unit of the delays that stagger the claims of several controllers. It is long
// enough for the others to see a claim before they make their own.
const claimStep = 400 * micros.Millisecond

const (
	// startingDelay is the delay of a controller that has just started, because the other
	// controllers may be starting as well.
	startingDelay = 2 * claimStep
	// workersUnreachableDelay is the delay of a controller that cannot reach the workers.
	workersUnreachableDelay = 8 * claimStep
)

// PreferredOwner returns the label of the controller that owns a shard while all controllers are
// healthy. labels holds the labels of all controllers, in order.
func PreferredOwner(labels []string, shard int) string { return labels[shard%len(labels)] }

// Candidate is another controller that may claim a free shard: it is alive and reaches the
// workers.
type Candidate struct {
	Label string
	// Shards is the number of shards that the candidate owns.
	Shards int
}

// ClaimKnowledge is what a controller knows when a shard or the leader lock is free.
type ClaimKnowledge struct {
	// Label is the controller's own label, and Shards is the number of shards that it owns.
	Label  string
	Shards int
	// PreferredOwner is the label of the preferred owner of the shard.
	PreferredOwner string
	// Starting is true if the controller has just started.
	Starting bool
	// WorkersUnreachable is true if the controller has lost contact with the workers.
	WorkersUnreachable bool
	Candidates         []Candidate
}

// ClaimDelay returns how long after the shard became free the controller waits before it claims
// the shard. The best candidate claims first: the preferred owner, then the controller that owns
// the fewest shards.
func ClaimDelay(known ClaimKnowledge) micros.Micros {
	if known.PreferredOwner == known.Label && !known.WorkersUnreachable {
		return 0
	}
	delay := micros.Micros(0)
	switch {
	case known.Starting:
		delay = startingDelay
	case known.WorkersUnreachable:
		delay = workersUnreachableDelay
	}
	for _, candidate := range known.Candidates {
		if candidate.Label == known.PreferredOwner {
			delay += claimStep
		}
		if known.goesAfter(candidate) {
			delay += claimStep
		}
	}
	return delay
}

// goesAfter reports whether the candidate claims before this controller: it owns fewer shards, or
// the same number and its label sorts first.
func (known ClaimKnowledge) goesAfter(candidate Candidate) bool {
	if candidate.Shards != known.Shards {
		return candidate.Shards < known.Shards
	}
	return candidate.Label < known.Label
}
