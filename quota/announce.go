package quota

import "slices"

// announce brings the records into agreement with the options: it writes the definitions that
// differ, and marks groups that are no longer in the options as removed.
func (l *Ledger) announce(definitions []Definition) {
	definitions = withMembers(definitions)
	for _, d := range definitions {
		g := l.group(d.Name)
		if !l.mayWrite(g) {
			continue
		}
		if record, changed := announcedRecord(g, d); changed {
			l.sendAnnouncement(g, record)
		}
	}
	for _, name := range l.names() {
		g := l.groups[name]
		defined := slices.ContainsFunc(definitions, func(d Definition) bool { return d.Name == name })
		if !defined && g.exists() && l.mayWrite(g) {
			l.sendAnnouncement(g, removedRecord(g))
		}
	}
}

// withMembers returns the definitions with their Members set: the teams of each group and of
// all groups within it.
func withMembers(definitions []Definition) []Definition {
	out := slices.Clone(definitions)
	for i := range out {
		out[i].Members = nil
	}
	for _, d := range definitions {
		addToAncestors(out, d)
	}
	for i := range out {
		slices.Sort(out[i].Members)
	}
	return out
}

// addToAncestors adds a definition's teams to its own members and to those of all groups
// around it. The number of steps is bounded, since the parents may form a cycle.
func addToAncestors(definitions []Definition, d Definition) {
	name := d.Name
	for range len(definitions) + 1 {
		i := slices.IndexFunc(definitions, func(o Definition) bool { return o.Name == name })
		if name == "" || i < 0 {
			return
		}
		definitions[i].Members = append(definitions[i].Members, d.Teams...)
		name = definitions[i].Parent
	}
}

// announcedRecord returns the record that a definition leads to, and whether it differs from
// the known record.
func announcedRecord(g *groupState, d Definition) (record Record, changed bool) {
	if g.modRevision == 0 {
		return Record{Definition: d, Epoch: 1, Source: d.source()}, true
	}
	record = g.record.clone()
	limit := d.Limit
	source := d.source()
	if record.Override != nil && !record.Removed {
		limit = *record.Override
		source = FromOperator
	}
	sameLimit := record.Limit.Equal(limit) && record.Source == source
	if !record.Removed && sameLimit && record.equalExceptLimit(d) {
		return record, false
	}
	if hasNewMember(record.Members, d.Members) {
		record.dropRows() // no row includes what a team used before it joined
	}
	before := record.Limit
	record.Definition = d
	record.Limit = before // setLimit compares it with the new limit
	record.Removed = false
	record.setLimit(limit, source)
	return record, true
}

// removedRecord returns the record of a group that is no longer in the options.
func removedRecord(g *groupState) Record {
	record := g.record.clone()
	record.setLimit(Limit{}, record.Source)
	record.Removed = true
	record.Override = nil
	return record
}

// hasNewMember reports whether after contains a team that before does not.
func hasNewMember(before, after []string) bool {
	return slices.ContainsFunc(after, func(team string) bool { return !slices.Contains(before, team) })
}

// source returns the source of the definition's limit.
func (d Definition) source() Source {
	if d.Scheduled {
		return FromSchedule
	}
	return FromOptions
}
