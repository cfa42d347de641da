package quota

import "garnethitch/internal/micros"

// setRequest is an operator's Set that has no outcome yet.
type setRequest struct {
	SetLimit
	attemptsLeft   int
	epochAtArrival uint64 // of the record when the request came
	expiresAt      Micros
}

const (
	// maxSetAttempts is how often the limit of a Set is written if writes of allowances
	// come first.
	maxSetAttempts = 20
	// setTimeout is how long a Set may wait. It is shorter than its operator's time-out, so
	// that none is carried out after a later one.
	setTimeout = 4 * micros.Second
)

// queueSetRequest takes an operator's request.
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

// processSetRequests answers the operators' requests of a group that have an outcome, and writes the
// next one. A limit that the record has already is written as well: a write in doubt may
// say something else, and is void after it.
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

// setStatus returns the outcome of a request, if it has one without another write. If the
// group has changed since the request came, the request fails, unless the change is its
// own: a write whose answer was lost.
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

// matches reports whether a record has the limit of the request.
func (r *setRequest) matches(record *Record) bool {
	if record.Override == nil || r.Limit == nil {
		return record.Override == nil && r.Limit == nil
	}
	return record.Override.Equal(*r.Limit)
}

// sendSetRequest writes the limit of a request. Where it clears an override, the limit stays until
// the leader announces that of the options.
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

// handleSetOutcome answers a request whose write was carried out, and puts any other
// back at the head of the queue.
func (l *Ledger) handleSetOutcome(g *groupState, r *setRequest, outcome Outcome) {
	if outcome == Applied {
		l.emit(SetDone{Token: r.Token, Status: SetAnnounced, Epoch: r.epochAtArrival + 1})
		return
	}
	g.setRequests = append([]*setRequest{r}, g.setRequests...)
}
