package quota

import "garnethitch/internal/micros"

// setRequest is a SetLimit that has no outcome yet.
type setRequest struct {
	SetLimit
	attemptsLeft   int
	epochAtArrival uint64 // epoch of the record when the request came
	expiresAt      Micros
}

const (
	// maxSetAttempts is the maximum number of writes for one SetLimit. A write is refused if
	// another controller changes allowances in the record first.
	maxSetAttempts = 20
	// setTimeout is how long a SetLimit may wait. It is shorter than the timeout of the operator's
	// request, so that a request is never carried out after a later one.
	setTimeout = 4 * micros.Second
)

// queueSetRequest queues an operator's request, or answers it at once if there is no such group.
func (l *Ledger) queueSetRequest(in SetLimit) {
	g := l.groups[in.Group]
	if g == nil || !g.exists() {
		l.emit(SetDone{Token: in.Token, Status: SetNoGroup})
		return
	}
	g.setRequests = append(g.setRequests, &setRequest{
		SetLimit:       in,
		attemptsLeft:   maxSetAttempts,
		epochAtArrival: g.record.Epoch,
		expiresAt:      l.now.Steady + setTimeout,
	})
}

// processSetRequests answers the queued requests of a group that have an outcome, and writes
// the limit of the first that has none. It also writes a limit that the record already has: a
// write in doubt may set another limit, and can no longer be carried out after this one.
func (l *Ledger) processSetRequests(g *groupState) {
	for len(g.setRequests) > 0 && !g.writeInFlight {
		r := g.setRequests[0]
		status, done := l.setStatus(g, r)
		if !done && l.now.Steady < g.nextWriteAt {
			return
		}
		g.setRequests = g.setRequests[1:]
		if !done {
			r.attemptsLeft--
			l.sendSetRequest(g, r)
			return
		}
		l.emit(SetDone{Token: r.Token, Status: status, Epoch: g.record.Epoch})
	}
}

// setStatus returns the outcome of a request that needs no further write; done is false if it
// needs one. A request fails if the group has changed since it came, unless the change is an
// earlier write of the request itself whose answer was lost.
func (l *Ledger) setStatus(g *groupState, r *setRequest) (status SetStatus, done bool) {
	attempted := r.attemptsLeft < maxSetAttempts
	switch {
	case g.record.Removed:
		return SetNoGroup, true
	case g.record.Epoch != r.epochAtArrival && attempted && r.matches(&g.record):
		return SetAnnounced, true
	case g.record.Epoch != r.epochAtArrival:
		return SetConflict, true
	case l.now.Steady >= r.expiresAt || r.attemptsLeft <= 0:
		return SetBusy, true
	}
	return SetBusy, false
}

// matches reports whether a record has the override that the request asks for.
func (r *setRequest) matches(record *Record) bool {
	if record.Override == nil || r.Limit == nil {
		return record.Override == nil && r.Limit == nil
	}
	return record.Override.Equal(*r.Limit)
}

// sendSetRequest sends a write of the request's limit. If the request clears an override, the
// limit stays as it is until the leader announces the limit of the options.
func (l *Ledger) sendSetRequest(g *groupState, r *setRequest) {
	record := g.record.clone()
	record.Override = r.Limit
	limit := record.Limit
	source := record.Source
	if r.Limit != nil {
		limit = *r.Limit
		source = FromOperator
	}
	record.setLimit(limit, source)
	l.sendOverride(g, record, r)
}

// handleSetOutcome answers a request whose write was carried out. A request whose write had
// another outcome returns to the head of the queue.
func (l *Ledger) handleSetOutcome(g *groupState, r *setRequest, outcome Outcome) {
	if outcome == Applied {
		l.emit(SetDone{Token: r.Token, Status: SetAnnounced, Epoch: r.epochAtArrival + 1})
		return
	}
	g.setRequests = append([]*setRequest{r}, g.setRequests...)
}
