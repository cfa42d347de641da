package controller

// unusedReason is the reason why CPUs of a machine are not in use.
type unusedReason int

// The reasons, in the order in which they are logged.
const (
	unusedFree          unusedReason = iota
	unusedReserved                   // reserved for a job
	unusedUnreconciled               // it is not known yet what runs on the machine
	unusedOverdue                    // heartbeats or their replies are overdue
	unusedReclaimNotice              // the cloud is about to reclaim the machine
	unusedCordoned
	unusedReleasing // the machine is leaving its shard
	unusedOther
	unusedReasonCount // number of reasons
)

// String returns the attribute key of the reason in the log.
func (r unusedReason) String() string {
	switch r {
	case unusedFree:
		return "free"
	case unusedReserved:
		return "reserved"
	case unusedUnreconciled:
		return "unreconciled"
	case unusedOverdue:
		return "overdue"
	case unusedReclaimNotice:
		return "notice"
	case unusedCordoned:
		return "cordoned"
	case unusedReleasing:
		return "releasing"
	}
	return "other"
}

// logFreeCapacities logs the unused CPUs of every active shard of this controller. The caller
// limits how often it is called.
func (c *Controller) logFreeCapacities() {
	for _, s := range c.ownership.shards {
		if c.ownership.activeShard(s.id) != nil {
			c.logFreeCapacity(s)
		}
	}
}

// logFreeCapacity logs the unused CPUs of a shard by reason, and the CPUs that its waiting tasks
// need.
func (c *Controller) logFreeCapacity(s *shard) {
	waiting := c.sumWaiting(s)
	args := []any{"shard", s.id, "wanted", waiting.startable, "blocked", waiting.blocked}
	if c.quota.ledger != nil {
		args = append(args, "quota", waiting.overQuota)
	}
	for reason, cpus := range c.sumUnused(s) {
		args = append(args, unusedReason(reason).String(), cpus)
	}
	args = append(args, "queued_commands", len(c.commandQueue.waiting), "in_flight", c.commandQueue.inFlight)
	c.log(Debug, "unused CPUs", args...)
}

// sumUnused adds up the unused CPUs of a shard by reason.
func (c *Controller) sumUnused(s *shard) (cpus [unusedReasonCount]float64) {
	for _, m := range s.machines {
		if v := m.view; v != nil && !m.returned && !v.neverCommanded {
			cpus[c.unusedReason(m)] += c.types.cpusOf(m) - v.usage.total.CPUs
		}
	}
	return cpus
}

// unusedReason returns the reason why the unused CPUs of a machine are not in use.
func (c *Controller) unusedReason(m *machine) unusedReason {
	v := m.view
	switch {
	case c.usable(m) && v.reservation.job != nil && c.now < v.reservation.until:
		return unusedReserved
	case c.usable(m):
		return unusedFree
	case !v.reconciled || !v.sequenceKnown:
		return unusedUnreconciled
	case c.sinceLastHeartbeat(v) > c.heartbeatDeadlines.Overdue || c.unreachable(m) || c.leaseRunningOut(v):
		return unusedOverdue
	case v.reclaimAt != 0:
		return unusedReclaimNotice
	case c.now < v.cordonedUntil || c.now < v.backoffUntil:
		return unusedCordoned
	case v.releasing || c.now < v.plannedUntil:
		return unusedReleasing
	}
	return unusedOther
}

// waitingCPUs is how many CPUs the waiting tasks of a shard need.
type waitingCPUs struct {
	startable float64
	blocked   float64 // of jobs that may not start tasks yet
	overQuota float64
}

// sumWaiting adds up the CPUs that the waiting tasks of a shard need.
func (c *Controller) sumWaiting(s *shard) waitingCPUs {
	var sum waitingCPUs
	for _, j := range c.queue(s) {
		cpus := float64(float64(j.pending()) * j.sub.CPUs)
		if !c.runnable(s, j) {
			sum.blocked += cpus
		} else if _, exceeded := c.quota.exceededGroup(s, j); exceeded {
			sum.overQuota += cpus
		} else {
			sum.startable += cpus
		}
	}
	return sum
}
