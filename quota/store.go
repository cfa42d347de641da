package quota

import "fmt"

// Store holds the records of groups. It carries out a write only if the record has the revision
// that the write names, and the writer owns the shards that the write names and, if Write.Leader
// is set, is the leader.
type Store interface {
	// Read returns a group's record and its revision, which is 0 if there is no record.
	Read(group string) (record Record, modRevision uint64, err error)
	// Write carries out a write and returns the record's new revision. ok is false if the
	// conditions of the write are not met. After an error the write may or may not have been
	// carried out.
	Write(Write) (modRevision uint64, ok bool, err error)
}

// Sync applies one input and carries out the effects on a store, including those that follow
// from the results. It returns the effects that are left to the caller: Reclaim, Changed and
// SetDone. The error is that of a failed read. A write that returns an error
// has the outcome Unknown.
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

// writeTo carries out a write on a store and returns its outcome.
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
