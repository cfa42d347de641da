// Package ownership holds what decides which controller owns a shard: the assignment of teams to
// shards, the preferred owner of a shard, the delay of a claim, and the controller's lease in
// the state service under which its locks are held. Nothing here sends or reads a clock.
package ownership

import "garnethitch/internal/micros"

// claimStep is the unit of the delays that order the claims of several controllers: long enough
// for a claim to be seen by the others.
const claimStep = 400 * micros.Millisecond

const (
	// startingDelay is the delay of a controller that has just started: the others may be
	// starting as well.
	startingDelay = 2 * claimStep
	// workersUnreachableDelay is the delay of a controller that does not reach the workers.
	workersUnreachableDelay = 8 * claimStep
)

// PreferredOwner returns the controller that a shard belongs to when all are well. labels are
// those of all controllers, in order.
func PreferredOwner(labels []string, shard int) string { return labels[shard%len(labels)] }

// Candidate is another controller that may claim a free shard: it is alive and in contact with
// the workers.
type Candidate struct {
	Label string
	// Shards is how many it owns.
	Shards int
}

// ClaimKnowledge is what a controller knows when a shard, or the leader lock, is free.
type ClaimKnowledge struct {
	// Label is the controller's own, and Shards how many shards it owns.
	Label  string
	Shards int
	// PreferredOwner is the label of the controller that is to own the shard.
	PreferredOwner string
	// Starting is whether the controller has started just now.
	Starting bool
	// WorkersUnreachable is whether it has lost contact with the workers.
	WorkersUnreachable bool
	Candidates         []Candidate
}

// ClaimDelay returns how long after the shard became free the controller is to claim it. The
// best candidate goes first: the preferred owner, then the one that owns the fewest shards.
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

// goesAfter reports whether a candidate goes before the controller: it owns fewer shards, or as
// many and its label comes first.
func (known ClaimKnowledge) goesAfter(candidate Candidate) bool {
	if candidate.Shards != known.Shards {
		return candidate.Shards < known.Shards
	}
	return candidate.Label < known.Label
}
