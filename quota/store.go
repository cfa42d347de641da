package quota

import "fmt"

// Store holds the records of groups. A write is carried out only if the record has the mark
// that it names, and its writer still owns the shards, or leads, as it says.
type Store interface {
	// Read gives a group's record and its mark; mark 0: there is none.
	Read(group string) (Record, uint64, error)
	// Write carries a write out, and gives the record's new mark; ok is false if its
	// conditions are not met. After an error it may have been carried out or not.
	Write(Write) (modRevision uint64, ok bool, err error)
}

// Sync takes one input and carries what follows out on a store, at once. It is the whole
// driver that a program needs that keeps quota over a store of its own. It gives the
// remaining effects: Reclaim, Changed and SetDone.
func (l *Ledger) Sync(now Instant, in Input, store Store) ([]Effect, error) {
	var rest []Effect
	pending := l.Step(now, in)
	for len(pending) > 0 {
		effect := pending[0]
		pending = pending[1:]
		switch e := effect.(type) {
		case Write:
			modRevision, ok, err := store.Write(e)
			outcome := Applied
			switch {
			case err != nil:
				outcome = Unknown
			case !ok:
				outcome = Refused
			}
			pending = append(pending, l.Step(now, Wrote{ID: e.ID, Outcome: outcome, ModRevision: modRevision})...)
		case Read:
			rec, modRevision, err := store.Read(e.Group)
			if err != nil {
				return rest, fmt.Errorf("quota: read group %s: %w", e.Group, err)
			}
			if modRevision != 0 {
				pending = append(pending, l.Step(now, Learned{Group: e.Group, Record: rec, ModRevision: modRevision})...)
			}
		default:
			rest = append(rest, e)
		}
	}
	return rest, nil
}
