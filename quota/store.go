package quota

import "fmt"

// Store holds the records of groups. A write is carried out only if the record has the
// revision that it names, and its writer owns the shards, or is the leader, as it says.
type Store interface {
	// Read returns a group's record and its revision; 0: there is none.
	Read(group string) (record Record, modRevision uint64, err error)
	// Write carries a write out and returns the record's new revision; ok is false if its
	// conditions are not met. After an error it may have been carried out or not.
	Write(Write) (modRevision uint64, ok bool, err error)
}

// Sync takes one input and carries its effects out on a store, as well as those that
// follow from them. It returns the effects that are left to the caller: Reclaim, Changed
// and SetDone. An error is that of a read; those of writes count as outcome Unknown.
func (l *Ledger) Sync(now Instant, in Input, store Store) ([]Effect, error) {
	var rest []Effect
	pending := l.Step(now, in)
	for len(pending) > 0 {
		effect := pending[0]
		pending = pending[1:]
		switch e := effect.(type) {
		case Write:
			pending = append(pending, l.Step(now, writeTo(store, e))...)
		case Read:
			record, modRevision, err := store.Read(e.Group)
			if err != nil {
				return rest, fmt.Errorf("quota: read group %s: %w", e.Group, err)
			}
			if modRevision != 0 {
				learned := Learned{Group: e.Group, Record: record, ModRevision: modRevision}
				pending = append(pending, l.Step(now, learned)...)
			}
		default:
			rest = append(rest, e)
		}
	}
	return rest, nil
}

// writeTo carries a write out on a store and returns its outcome.
func writeTo(store Store, w Write) WriteResult {
	modRevision, ok, err := store.Write(w)
	switch {
	case err != nil:
		return WriteResult{ID: w.ID, Outcome: Unknown}
	case !ok:
		return WriteResult{ID: w.ID, Outcome: Refused}
	}
	return WriteResult{ID: w.ID, Outcome: Applied, ModRevision: modRevision}
}
