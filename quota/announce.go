package quota

import (
	"slices"

	"garnethitch/internal/micros"
)

// What the leader and operators write: the definition and the limit of a group.

// announce brings the records in line with the options. A lowered limit is announced here
// and is in force once the allowances are within it.
func (l *Ledger) announce(definitions []Definition) {
	definitions = withMembers(definitions)
	for _, d := range definitions {
		g := l.group(d.Name)
		if g.sending || l.now.Steady < g.next {
			continue
		}
		rec, changed := announced(g, d)
		if changed {
			rec.AnnouncedMS = l.now.WallMS
			l.send(g, rec, writeAnnouncement, nil, nil)
		}
	}
	for _, name := range l.names() {
		g := l.groups[name]
		known := slices.ContainsFunc(definitions, func(d Definition) bool { return d.Name == name })
		if known || g.modRevision == 0 || g.rec.Removed || g.sending || l.now.Steady < g.next {
			continue
		}
		rec := g.rec.clone()
		rec.setLimit(Limit{}, rec.Source)
		rec.Removed, rec.Override = true, nil
		rec.AnnouncedMS = l.now.WallMS
		l.send(g, rec, writeAnnouncement, nil, nil)
	}
}

// withMembers works out whom each group binds.
func withMembers(definitions []Definition) []Definition {
	out := slices.Clone(definitions)
	for i := range out {
		out[i].Members = nil
	}
	for _, d := range definitions {
		at, steps := d.Name, 0
		for at != "" && steps <= len(out) {
			i := slices.IndexFunc(out, func(o Definition) bool { return o.Name == at })
			if i < 0 {
				break
			}
			out[i].Members = append(out[i].Members, d.Teams...)
			at, steps = out[i].Parent, steps+1
		}
	}
	for i := range out {
		slices.Sort(out[i].Members)
	}
	return out
}

// announced is the record by a definition, and whether it differs from the one that stands.
func announced(g *groupState, d Definition) (Record, bool) {
	if g.modRevision == 0 {
		return Record{Definition: d, Epoch: 1, Source: sourceOf(d)}, true
	}
	rec := g.rec.clone()
	limit, source := d.Limit, sourceOf(d)
	if rec.Override != nil && !rec.Removed {
		limit, source = *rec.Override, FromOperator
	}
	if !rec.Removed && rec.Limit.Equal(limit) && rec.sameBut(d) && rec.Source == source {
		return rec, false
	}
	if slices.ContainsFunc(d.Members, func(team string) bool { return !slices.Contains(rec.Members, team) }) {
		rec.Rows, rec.Applied = nil, nil // what a team used before it joined stands in no row
	}
	before := rec.Limit
	rec.Definition = d
	rec.Limit, rec.Removed = before, false
	rec.setLimit(limit, source)
	return rec, true
}

// setLimit begins a new epoch with a limit. A resource that was not bounded before has been
// granted without a look at allowances: what each shard uses is to be told anew.
func (r *Record) setLimit(limit Limit, source Source) {
	if r.Limit.CPUs == nil && limit.CPUs != nil || r.Limit.GPUs == nil && limit.GPUs != nil {
		r.Rows, r.Applied = nil, nil
	}
	r.Limit, r.Source = limit, source
	r.Epoch++
}

func sourceOf(d Definition) Source {
	if d.Scheduled {
		return FromSchedule
	}
	return FromOptions
}

// setRequest is an operator's Set that waits for its outcome.
type setRequest struct {
	Set
	tries   int
	epoch   uint64 // of the record when the request was taken
	expires Micros
}

const (
	// maxSetTries is how often a Set is written that writes of allowances come before.
	maxSetTries = 20
	// setWithin is how long a Set may wait: less than its operator waits for the answer,
	// so that none is carried out after a later one.
	setWithin = 4 * micros.Second
)

// set takes an operator's request.
func (l *Ledger) set(v Set) {
	g := l.groups[v.Group]
	if g == nil || g.modRevision == 0 || g.rec.Removed {
		l.out = append(l.out, SetDone{Token: v.Token, Status: SetNoGroup})
		return
	}
	g.sets = append(g.sets, &setRequest{Set: v, tries: maxSetTries, epoch: g.rec.Epoch, expires: l.now.Steady + setWithin})
}

// sendSet writes the next of the operators' requests, also where the record says the same
// already: a write on its way may say something else, and is void then. Once another
// request has come first, it fails; one whose write was carried out with its answer lost
// is recognised by reading.
func (l *Ledger) sendSet(g *groupState) {
	for len(g.sets) > 0 && !g.sending {
		r := g.sets[0]
		stands := g.rec.Override == nil && r.Limit == nil || g.rec.Override != nil && r.Limit != nil && g.rec.Override.Equal(*r.Limit)
		done := SetDone{Token: r.Token, Status: SetAnnounced, Epoch: g.rec.Epoch}
		switch {
		case g.rec.Removed:
			done.Status = SetNoGroup
		case g.rec.Epoch != r.epoch && (!stands || r.tries == maxSetTries):
			done.Status = SetConflict
		case g.rec.Epoch != r.epoch:
		case l.now.Steady >= r.expires || r.tries <= 0:
			done.Status = SetBusy
		case l.now.Steady < g.next:
			return
		default:
			g.sets = g.sets[1:]
			r.tries--
			l.writeSet(g, r)
			return
		}
		g.sets = g.sets[1:]
		l.out = append(l.out, done)
	}
}

func (l *Ledger) writeSet(g *groupState, r *setRequest) {
	rec := g.rec.clone()
	rec.Override = r.Limit
	limit, source := rec.Limit, rec.Source
	if r.Limit != nil {
		limit, source = *r.Limit, FromOperator
	}
	rec.setLimit(limit, source)
	rec.AnnouncedMS = l.now.WallMS
	l.send(g, rec, writeOverride, nil, r)
}

// setOutcome answers an operator, or tries again.
func (l *Ledger) setOutcome(g *groupState, r *setRequest, outcome Outcome) {
	if outcome == Applied {
		l.out = append(l.out, SetDone{Token: r.Token, Status: SetAnnounced, Epoch: r.epoch + 1})
		return
	}
	g.sets = append([]*setRequest{r}, g.sets...)
}
