package quota

// writeTimeout is how long a controller waits for the response to a write. After that the
// outcome is unknown.
const writeTimeout = sec

// fencedWrite is a write together with the ownership and leadership of its sender when it was
// sent. The store refuses the write if the owner key of one of its shards has changed since, or
// if Write.Leader is set and the sender did not lead then or does not lead now.
type fencedWrite struct {
	Write
	sender *simulatedController
	owned  map[int]uint64 // revisions of the owner keys, by shard
	leads  bool
}

// write sends a write to the store. The write may be lost or carried out late, and its response
// may be lost.
func (c *simulatedController) write(e Write) {
	w := c.world
	sent := fencedWrite{Write: e, sender: c, owned: map[int]uint64{}, leads: w.leader == c.id}
	for _, shard := range e.Shards {
		sent.owned[shard] = c.shards[shard]
	}
	incarnation := c.incarnation
	done := func(outcome Outcome, modRevision uint64) {
		if c.incarnation == incarnation {
			c.step(WriteResult{ID: e.ID, Outcome: outcome, ModRevision: modRevision})
		}
	}
	timeOut := func() { w.after(writeTimeout, func() { done(Unknown, 0) }) }
	if c.cutOff() {
		if w.chance(0.3) { // carried out after the connection returns
			w.after(c.cutOffUntil-w.now+w.randomDuration(0, 4*sec), func() { w.apply(sent) })
		}
		timeOut()
		return
	}
	w.after(w.randomDuration(ms, 15*ms), func() {
		if w.plan.storeFaults && w.chance(0.05) { // carried out late
			w.after(w.randomDuration(0, 5*sec), func() { w.apply(sent) })
			timeOut()
			return
		}
		modRevision, applied := w.apply(sent)
		if w.plan.storeFaults && w.chance(0.05) { // the response is lost
			timeOut()
			return
		}
		outcome := Refused
		if applied {
			outcome = Applied
		}
		w.after(w.randomDuration(ms, 15*ms), func() { done(outcome, modRevision) })
	})
}

// apply carries out a write if its conditions are met.
func (w *world) apply(e fencedWrite) (modRevision uint64, applied bool) {
	stored := w.store[e.Group]
	leads := e.leads && w.leader == e.sender.id
	if stored.modRevision != e.ModRevision || e.Leader && !leads {
		return 0, false
	}
	for shard, modRevision := range e.owned {
		if w.owners[shard].modRevision != modRevision {
			return 0, false
		}
	}
	w.checkFences(e, stored.record)
	w.revision++
	w.writes++
	w.store[e.Group] = storedRecord{e.Record.clone(), w.revision}
	w.check()
	for _, c := range w.controllers {
		c.watch(e.Group)
	}
	return w.revision, true
}

// watch delivers a group's present record to a controller after a delay.
func (c *simulatedController) watch(group string) {
	w := c.world
	stored := w.store[group]
	delay := w.randomDuration(ms, 120*ms)
	if w.now < c.watchStalledUntil {
		delay += c.watchStalledUntil - w.now
	}
	if c.cutOff() {
		delay = max(delay, c.cutOffUntil-w.now+w.randomDuration(ms, 100*ms))
	}
	incarnation := c.incarnation
	w.after(delay, func() {
		if c.incarnation == incarnation {
			c.learn(group, stored)
		}
	})
}

// read reads a group's record, once the controller reaches the store.
func (c *simulatedController) read(group string) {
	w := c.world
	incarnation := c.incarnation
	delay := max(w.randomDuration(ms, 20*ms), c.cutOffUntil-w.now)
	w.after(delay, func() {
		stored := w.store[group]
		if c.incarnation == incarnation && stored.modRevision != 0 {
			c.learn(group, stored)
		}
	})
}
