package quota

import "slices"

// startFaults injects faults at random times between from and to. At allEndAt it connects all
// controllers to the store, ends stalls of watches and faults of the store, and restores the
// options. Ended processes restart, and differing options of a controller end, at their own times.
func (w *world) startFaults(from, to, allEndAt Micros) {
	definitions := w.definitions
	for at := from; at < to; at += w.randomDuration(500*ms, 4*sec) {
		w.after(at, w.injectFault)
	}
	w.after(allEndAt, func() {
		w.definitions = definitions
		w.plan.storeFaults = false
		for _, c := range w.controllers {
			c.cutOffUntil = 0
			c.watchStalledUntil = 0
		}
	})
}

// injectFault injects a random fault or changes a limit.
func (w *world) injectFault() {
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	const kinds = 8 // the kinds without a case below change a limit
	switch w.rng.IntN(kinds) {
	case 0:
		if c.ledger != nil {
			c.stop(w.randomDuration(10*ms, 6*sec))
		}
	case 1:
		c.cutOffUntil = w.now + w.randomDuration(500*ms, 8*sec)
	case 2:
		c.watchStalledUntil = w.now + w.randomDuration(sec, 10*sec)
	case 3:
		w.cutOffAll()
	case 4:
		if len(c.shards) > 0 && c.ledger != nil {
			c.releaseShards()
		}
	case 5:
		c.changeOptions()
	default:
		w.changeLimit()
	}
}

// cutOffAll cuts all controllers off from the store, in most cases for longer than a lease.
func (w *world) cutOffAll() {
	until := w.now + w.randomDuration(sec, 6*sec)
	for _, c := range w.controllers {
		c.cutOffUntil = until
	}
}

// changeOptions gives one controller different options for a while: another limit, and
// possibly fewer groups.
func (c *simulatedController) changeOptions() {
	w := c.world
	c.definitions = slices.Clone(w.definitions)
	c.definitions[0].Limit = CPULimit(5)
	c.definitions = c.definitions[:1+w.rng.IntN(len(c.definitions))]
	w.after(w.randomDuration(sec, 10*sec), func() { c.definitions = nil })
}

// changeLimit gives a random group a random limit, and in some cases another one shortly
// after, possibly before the first is in force.
func (w *world) changeLimit() {
	group := w.definitions[w.rng.IntN(len(w.definitions))].Name
	setAnother := func() {
		limits := []float64{0, 3, 8, 20, 40, 64}
		w.setLimit(group, limits[w.rng.IntN(len(limits))])
	}
	setAnother()
	if w.chance(0.4) {
		w.after(w.randomDuration(0, 300*ms), setAnother)
	}
}
