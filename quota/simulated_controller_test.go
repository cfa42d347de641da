package quota

// simulatedController is one controller of a simulated world.
type simulatedController struct {
	world *world
	id    int
	// ledger is nil while no process runs. incarnation increases whenever a process starts or
	// ends, so that callbacks of an earlier process can be recognised.
	ledger      *Ledger
	incarnation int
	shards      map[int]uint64 // shards that it believes it owns, with the revisions of their owner keys
	definitions []Definition   // its options if they differ from those of the others, or nil

	cutOffUntil       Micros // until when it does not reach the store
	watchStalledUntil Micros
	leaseUntil        Micros // when its right to grant ends
	nextUsageReportAt Micros
	clockDriftPPM     int64 // by how much its steady clock runs fast, in parts per million
}

// usageReportInterval is the time between two usage reports to a ledger. Grants continue
// between them.
const usageReportInterval = 250 * ms

func (c *simulatedController) cutOff() bool { return c.world.now < c.cutOffUntil }

// start begins a new process, which knows nothing of the earlier ones.
func (c *simulatedController) start() {
	c.incarnation++
	c.ledger = NewLedger(c.world.config)
	c.shards = map[int]uint64{}
	c.leaseUntil = c.world.now + leaseDuration
	for shard := range c.world.owners {
		if owner := &c.world.owners[shard]; owner.controller == c.id {
			owner.controller = noOwner // the earlier process has ended
		}
	}
}

// stop ends the process and starts another after restartAfter. Its shards can be acquired again
// once its lease has expired or the new process has started, whichever comes first.
func (c *simulatedController) stop(restartAfter Micros) {
	c.incarnation++
	c.ledger = nil
	c.world.after(restartAfter, c.start)
}

// renewLease renews the lease of a controller that reaches the store. A controller that finds
// its lease expired releases its shards first.
func (c *simulatedController) renewLease() {
	if c.ledger == nil || c.cutOff() {
		return
	}
	if c.world.now >= c.leaseUntil {
		c.releaseShards()
	}
	c.leaseUntil = c.world.now + leaseDuration
}

// releaseShards releases all shards, even while writes of the controller are in flight.
func (c *simulatedController) releaseShards() {
	for shard := range c.world.owners {
		modRevision, owned := c.shards[shard]
		if !owned {
			continue
		}
		if owner := &c.world.owners[shard]; owner.modRevision == modRevision {
			owner.controller = noOwner
		}
		c.dropShard(shard)
	}
}

// dropShard removes a shard from those that the controller believes it owns, and tells the
// ledger.
func (c *simulatedController) dropShard(shard int) {
	delete(c.shards, shard)
	c.step(ShardReleased{Shard: shard})
}

// readAllRecords completes the acquisition of a shard: it reads all records, or gives up the
// shard if the store cannot be reached.
func (c *simulatedController) readAllRecords(shard int) {
	if c.cutOff() {
		c.world.owners[shard].controller = noOwner
		c.dropShard(shard)
		return
	}
	for _, group := range c.world.storedGroups() {
		c.learn(group, c.world.store[group])
	}
	c.step(RecordsRead{Shard: shard})
}

// learn gives a record to the ledger.
func (c *simulatedController) learn(group string, stored storedRecord) {
	c.step(Learned{Group: group, Record: stored.record.clone(), ModRevision: stored.modRevision})
}

// act drops shards that another controller has acquired, grants waiting tasks that fit, reports
// usage at intervals, and announces the options if the controller is the leader. Without a valid
// lease it neither grants nor announces.
func (c *simulatedController) act() {
	w := c.world
	if c.ledger == nil {
		return
	}
	for shard, modRevision := range c.shards {
		replaced := w.owners[shard].modRevision != modRevision
		if replaced && w.now >= c.watchStalledUntil {
			c.dropShard(shard)
		}
	}
	leaseValid := w.now < c.leaseUntil
	reportDue := w.now >= c.nextUsageReportAt
	if reportDue {
		c.nextUsageReportAt = w.now + usageReportInterval
	}
	for shard := range w.owners {
		if _, owned := c.shards[shard]; !owned {
			continue
		}
		if leaseValid {
			c.grant(shard)
		}
		if reportDue {
			c.reportUsage(shard)
		}
	}
	if w.leader == c.id && leaseValid {
		c.announce()
	}
	c.step(Tick{})
}

// announce announces the controller's options.
func (c *simulatedController) announce() {
	definitions := c.world.definitions
	if c.definitions != nil {
		definitions = c.definitions
	}
	c.step(Announce{Definitions: definitions})
}

// grant starts the waiting tasks of a shard that fit into its allowances.
func (c *simulatedController) grant(shard int) {
	w := c.world
	w.addDemand(shard)
	for _, t := range w.tasks {
		if t.shard == shard && !t.running && c.mayStart(t) {
			c.startTask(t)
		}
	}
}

// mayStart reports whether a task fits into the shard's allowances of all groups around it.
func (c *simulatedController) mayStart(t *simulatedTask) bool {
	fits := true
	for _, group := range c.world.enclosingGroups(t.group) {
		allowed := c.ledger.Allowed(t.shard, group)
		used := Amount{CPUs: c.world.usedCPUs(t.shard, group) + t.size}
		fits = fits && used.Within(allowed)
	}
	return fits
}

func (c *simulatedController) startTask(t *simulatedTask) {
	w := c.world
	t.running = true
	t.since = w.now
	for _, group := range w.enclosingGroups(t.group) {
		c.ledger.Granted(t.shard, group, Amount{CPUs: t.size})
	}
	w.grants++
	w.check()
	w.checkAcknowledged(t)
	w.after(w.randomTaskDuration(), func() { w.finish(t) })
}

// reportUsage reports to the ledger what a shard uses and wants. Each group has one team.
func (c *simulatedController) reportUsage(shard int) {
	var teams []TeamDemand
	for _, d := range c.world.definitions {
		teams = append(teams, c.teamDemand(shard, d.Name))
	}
	c.step(UsageReport{Shard: shard, Groups: c.ledger.Claims(shard, true, teams)})
}

// teamDemand returns what the team of a group uses and wants in a shard.
func (c *simulatedController) teamDemand(shard int, group string) TeamDemand {
	team := TeamDemand{Groups: c.world.enclosingGroups(group)}
	for _, t := range c.world.tasks {
		switch {
		case t.shard != shard || t.group != group:
		case t.running:
			team.Used.CPUs += t.size
		default:
			team.Waiting = append(team.Waiting, WaitingTasks{
				Size:    Amount{CPUs: t.size},
				Count:   1,
				SinceMS: max(t.since.Millis(), 1),
			})
		}
	}
	return team
}

// instant returns the time by the controller's clocks.
func (c *simulatedController) instant() Instant {
	const million = 1_000_000
	drift := Micros(int64(c.world.now) * c.clockDriftPPM / million)
	return Instant{Steady: c.world.now + drift, WallMS: c.world.now.Millis()}
}

// step gives an input to the ledger and carries out the effects, with the delays and losses of
// the simulation.
func (c *simulatedController) step(in Input) {
	if c.ledger == nil {
		return
	}
	for _, e := range c.ledger.Step(c.instant(), in) {
		switch e := e.(type) {
		case Write:
			c.write(e)
		case Read:
			c.read(e.Group)
		case Reclaim:
			c.world.stopTasks(e)
		case Changed:
			c.world.changes[e.Kind]++
		}
	}
}
