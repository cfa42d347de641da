package quota

import "slices"

// sentWrite is a write that has been sent.
type sentWrite struct {
	id          uint64
	group       string
	modRevision uint64 // the revision of the record that the write replaces
	record      Record
	kind        writeKind
	request     *setRequest // of a writeOverride
}

// writeKind is the purpose of a write.
type writeKind int

const (
	// writeRows changes the rows of owned shards.
	writeRows writeKind = iota
	// writeAnnouncement changes the definition or the limit to that of the leader's options.
	writeAnnouncement
	// writeOverride changes the limit at the request of an operator.
	writeOverride
)

// mayWrite reports whether a write of the group's record may be sent now.
func (l *Ledger) mayWrite(g *groupState) bool {
	return !g.writeInFlight && l.now.Steady >= g.nextWriteAt
}

// sendRows sends a record in which the rows of the given shards have changed.
func (l *Ledger) sendRows(g *groupState, record Record, shards []int) {
	l.send(g, sentWrite{kind: writeRows, record: record}, shards)
}

// sendAnnouncement sends a record whose definition or limit has been changed to that of the
// options.
func (l *Ledger) sendAnnouncement(g *groupState, record Record) {
	record.AnnouncedMS = l.now.WallMS
	l.send(g, sentWrite{kind: writeAnnouncement, record: record}, nil)
}

// sendOverride sends a record whose limit or override has been changed at the request of an
// operator.
func (l *Ledger) sendOverride(g *groupState, record Record, request *setRequest) {
	record.AnnouncedMS = l.now.WallMS
	l.send(g, sentWrite{kind: writeOverride, record: record, request: request}, nil)
}

// send sends a write of a group's record, on the condition that the known record is still the
// stored one and that this controller owns the given shards.
func (l *Ledger) send(g *groupState, w sentWrite, shards []int) {
	l.lastWriteID++
	w.id = l.lastWriteID
	w.group = g.name
	w.modRevision = g.modRevision
	w.record.updateLastInForce(l.cfg.Shards)
	l.writes[w.id] = w
	g.inDoubt = append(g.inDoubt, w)
	g.writeInFlight = true
	l.emit(Write{
		ID:          w.id,
		Group:       w.group,
		ModRevision: w.modRevision,
		Shards:      shards,
		Leader:      w.kind == writeAnnouncement,
		Record:      w.record,
	})
}

// handleWriteOutcome applies the outcome of a write.
func (l *Ledger) handleWriteOutcome(result WriteResult) {
	w, ok := l.writes[result.ID]
	if !ok {
		return
	}
	delete(l.writes, result.ID)
	g := l.group(w.group)
	g.writeInFlight = false
	g.nextWriteAt = l.now.Steady + l.cfg.Timing.WriteInterval
	switch result.Outcome {
	case Applied:
		g.removeInDoubt(w.id)
		l.reportChanges(g, w)
		l.learn(w.group, w.record, result.ModRevision) // ignored if a newer record is known already
	case Refused, NotSent:
		const retriesPerInterval = 4
		g.removeInDoubt(w.id)
		g.nextWriteAt = l.now.Steady + l.cfg.Timing.WriteInterval/retriesPerInterval
	case Unknown:
	}
	if result.Outcome == Refused || result.Outcome == Unknown {
		l.emit(Read{Group: w.group})
	}
	if w.request != nil {
		l.handleSetOutcome(g, w.request, result.Outcome)
	}
}

func (g *groupState) removeInDoubt(id uint64) {
	g.inDoubt = slices.DeleteFunc(g.inDoubt, func(w sentWrite) bool { return w.id == id })
}

// learn replaces the known record of a group by a newer one, and ignores any other. A write
// that was conditional on a record older than the new one has been carried out by now or never
// will be, so learn removes it from inDoubt.
func (l *Ledger) learn(name string, record Record, modRevision uint64) {
	g := l.group(name)
	if modRevision <= g.modRevision {
		return
	}
	record.Name = name
	before := g.record
	if g.modRevision == 0 || record.Epoch != before.Epoch {
		g.epochSeenAt = l.now.Steady
	}
	g.record = record
	g.modRevision = modRevision
	g.inDoubt = slices.DeleteFunc(g.inDoubt, func(w sentWrite) bool { return w.modRevision < modRevision })
	if record.LastInForce != nil && (before.LastInForce == nil || !record.LastInForce.Equal(*before.LastInForce)) {
		l.emit(Changed{Kind: InForce, Group: name, Epoch: record.Epoch, Limit: record.Limit, Source: record.Source})
	}
}

// reportChanges emits the changes that a write has made.
func (l *Ledger) reportChanges(g *groupState, w sentWrite) {
	if w.kind != writeRows {
		l.emit(Changed{Kind: Announced, Group: g.name, Epoch: w.record.Epoch, Limit: w.record.Limit, Source: w.record.Source})
		return
	}
	if w.modRevision != g.modRevision {
		return // a newer record is known, and the one that the write replaced is not kept
	}
	for _, row := range w.record.Rows {
		l.reportRowChange(g, &w.record, row)
	}
}

// reportRowChange emits what has changed in a shard's row. A change of the claim alone is
// reported for owned shards only.
func (l *Ledger) reportRowChange(g *groupState, record *Record, row Row) {
	var before Row
	if i := g.record.RowIndex(row.Shard); i >= 0 {
		before = g.record.Rows[i]
	}
	kind := ClaimChanged
	switch {
	case row.Allowance.Equal(before.Allowance):
		if l.owned[row.Shard] == nil || row.Claim == before.Claim {
			return
		}
	case row.Allowance.Within(before.Allowance):
		kind = Shrunk
	default:
		kind = Grown
	}
	l.emit(Changed{
		Kind:   kind,
		Group:  g.name,
		Shard:  row.Shard,
		From:   before.Allowance,
		To:     row.Allowance,
		Epoch:  record.Epoch,
		Limit:  record.Limit,
		Source: record.Source,
	})
}
