package controller

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// maxBusyRows bounds how many busy machines of a shard the leader hears of: it
	// moves and empties only those that are soon or nearly empty.
	maxBusyRows = 40
	// maxRowBytes bounds the rows of all other machines of this controller, so that a
	// message stays within peer.MaxMessage: 6,000 machines whose names are as long as a
	// UUID. The rest is told once the first are dealt with, and all of them are counted.
	maxRowBytes = 640 << 10
	// rowBytes is the most that a row takes beside its machine's name.
	rowBytes = 60
)

// demands tells what the shards of this node want.
func (c *Controller) demands() []peer.Demand {
	var out []peer.Demand
	remainingBytes := maxRowBytes
	for _, s := range c.ownership.shards {
		if c.activeShard(s.id) != nil {
			var d peer.Demand
			d, remainingBytes = c.demandOf(s, remainingBytes)
			out = append(out, d)
		}
	}
	return out
}

// logFreeCapacities tells of every shard of this node; its callers have their pace.
func (c *Controller) logFreeCapacities() {
	for _, s := range c.ownership.shards {
		if c.activeShard(s.id) != nil {
			c.logFreeCapacity(s)
		}
	}
}

// demandOf is what a shard wants of the fleet, and what stands in it. Rows of machines
// that are not busy take at most room bytes; it gives what is left of that.
func (c *Controller) demandOf(s *shard, remainingBytes int) (peer.Demand, int) {
	c.refresh(s)
	d := peer.Demand{Shard: s.id, ArrivalCPUs: s.arrivals.Rate(c.now), All: len(s.machines)}
	for _, j := range c.queue(s) {
		if j.withinGuarantee && j.run != nil {
			d.Guarantee += float64(j.sub.Tasks-j.run.doneCount) * j.sub.CPUs
		}
	}
	var busy []peer.Machine
	zones := map[string]*peer.Zone{}
	for _, m := range s.machines {
		if m.view == nil || m.returned {
			continue
		}
		z := zones[m.rec.Zone]
		if z == nil {
			z = &peer.Zone{Name: m.rec.Zone}
			zones[m.rec.Zone] = z
		}
		row := c.countMachine(s, m, &d, z)
		if row.State == peer.MachineBooting {
			continue
		}
		c.countAttempts(m, &d, &row)
		if row.State == peer.MachineBusy {
			busy = append(busy, row)
		} else if size := rowBytes + len(row.ID); size <= remainingBytes {
			remainingBytes -= size
			d.Machines = append(d.Machines, row)
		}
	}
	d.Machines = append(d.Machines, c.busyRows(busy)...)
	for _, name := range sortedKeys(zones) {
		d.Zones = append(d.Zones, *zones[name])
	}
	d.Groups = c.groups(s)
	return d, remainingBytes
}

// countMachine adds a machine to its shard's sums and its zone's, by its state, and
// gives its row.
func (c *Controller) countMachine(s *shard, m *machine, d *peer.Demand, z *peer.Zone) peer.Machine {
	v, cpus := m.view, c.types[m.rec.Type].CPUs
	used := min(v.usage.cpus, cpus)
	row := peer.Machine{ID: m.id, State: c.stateOf(m), Busy: used, Movable: true}
	z.All++
	switch row.State {
	case peer.MachineBooting:
		d.Booting += cpus
		z.All--
	case peer.MachineUnreconciled:
		if v.unansweredReconciliations >= 2 {
			row.SinceUS = int64(c.now - s.claimedAt)
		}
		d.Unreconciled++
		d.BlockedUS = max(int64(s.machinesFreeAt-c.now), 0)
		if c.now-s.claimedAt > unreconciledReturnAfter {
			z.Silent++
		}
	case peer.MachineIdle:
		row.SinceUS = int64(c.now - v.idleAt)
		d.CPUs += cpus
	case peer.MachineSilent:
		d.Silent++
		z.Silent++
		row.SinceUS = int64(c.sinceLastHeartbeat(v))
		if c.leaseRunningOut(v) {
			row.SinceUS = max(row.SinceUS, int64(c.sinceLastReply(v)))
		}
		if since, ok := v.reachability.UnconfirmedSince(); ok {
			row.SinceUS = max(row.SinceUS, int64(c.now-since))
		}
	case peer.MachineBusy:
		d.CPUs += cpus
		d.Busy += used
	}
	return row
}

// countAttempts adds what a machine's attempts have left to do, and what moving them
// would lose.
func (c *Controller) countAttempts(m *machine, d *peer.Demand, row *peer.Machine) {
	for _, att := range m.view.list {
		if att.job == nil || att.state == attemptExited {
			continue
		}
		if !c.movable(att) {
			row.Movable = false
		} else if att.job.sub.CheckpointS <= 0 {
			row.LostUS += int64(float64(c.now-att.runAt) * att.job.sub.CPUs)
		}
		left := c.left(att)
		row.LeftUS = max(row.LeftUS, int64(left))
		d.RunLeftUS += int64(float64(left) * att.job.sub.CPUs)
	}
}

// busyRows are the busy machines that the leader is told of: those that are empty
// soonest, and those of the others that stand most unused.
func (c *Controller) busyRows(busy []peer.Machine) []peer.Machine {
	slices.SortFunc(busy, func(a, b peer.Machine) int { return cmp.Or(cmp.Compare(a.LeftUS, b.LeftUS), cmp.Compare(a.ID, b.ID)) })
	n := min(len(busy), maxBusyRows)
	rest := busy[n:]
	slices.SortFunc(rest, func(a, b peer.Machine) int {
		return cmp.Or(-cmp.Compare(c.unusedFor(a), c.unusedFor(b)), cmp.Compare(a.ID, b.ID))
	})
	return busy[:n+min(len(rest), maxBusyRows)]
}

// unusedFor is how much of a machine stands unused until it is empty, in CPU
// seconds.
func (c *Controller) unusedFor(row peer.Machine) float64 {
	m := c.machines[row.ID]
	if m == nil {
		return 0
	}
	return (c.types[m.rec.Type].CPUs - row.Busy) * micros.Micros(row.LeftUS).Seconds()
}

// movable: a running task may be stopped so that its machine can be returned. It
// can save, or its job is late already by what its class or its user wants, it
// has not been stopped before, and most of its work is still ahead.
func (c *Controller) movable(att *attempt) bool {
	if !att.tracked || att.state != attemptRunning || att.job.run == nil {
		return false
	}
	if att.job.sub.CheckpointS > 0 {
		return true
	}
	ran := c.now - att.runAt
	if att.job.run.stopsByTask[att.index] > 0 || 3*ran > c.estimates.Expect(att.job.sub) {
		return false
	}
	due := c.dueOf(att.job)
	return due < micros.Never && c.wall > due
}

// logFreeCapacity tells, at debug, where a shard's unused CPUs are.
func (c *Controller) logFreeCapacity(s *shard) {
	var free, held, unsettled, overdue, notice, aside, releasing, other float64
	for _, m := range s.machines {
		v := m.view
		if v == nil || m.returned || v.neverCommanded {
			continue
		}
		unused := c.types[m.rec.Type].CPUs - v.usage.cpus
		switch {
		case c.usable(m) && v.reservation.job != nil && c.now < v.reservation.until:
			held += unused
		case c.usable(m):
			free += unused
		case !v.reconciled || !v.sequenceKnown:
			unsettled += unused
		case c.sinceLastHeartbeat(v) > c.heartbeatOverdueAfter() || c.unreachable(m) || c.leaseRunningOut(v):
			overdue += unused
		case v.reclaimAt != 0:
			notice += unused
		case c.now < v.cordonedUntil || c.now < v.backoffUntil:
			aside += unused
		case v.releasing || c.now < v.plannedUntil:
			releasing += unused
		default:
			other += unused
		}
	}
	var open, blocked, quota float64 // what waits and may start, what may not yet, and what waits for quota
	for _, j := range c.queue(s) {
		if n := float64(j.pending()) * j.sub.CPUs; c.runnable(s, j) && c.overQuota(s, j) != "" {
			quota += n
		} else if c.runnable(s, j) {
			open += n
		} else {
			blocked += n
		}
	}
	args := []any{"shard", s.id, "wanted", open, "blocked", blocked}
	if c.quota.ledger != nil {
		args = append(args, "quota", quota)
	}
	c.log(Debug, "unused CPUs", append(args, "free", free, "reserved", held, "unreconciled", unsettled, "overdue", overdue,
		"notice", notice, "cordoned", aside, "releasing", releasing, "other", other, "queued_commands", len(c.commandQueue.waiting), "in_flight", c.commandQueue.inFlight)...)
}

// stateOf says how a machine counts for the leader.
func (c *Controller) stateOf(m *machine) peer.MachineState {
	v := m.view
	switch {
	case v.unreconciledFromPredecessor:
		return peer.MachineUnreconciled
	case v.neverCommanded && c.now-v.since < 4*micros.Minute:
		return peer.MachineBooting
	case !v.sequenceKnown && v.reconciled || v.leaseExpired || c.sinceLastHeartbeat(v) > c.heartbeatTimeout() || c.unreachable(m) || c.leaseRunningOut(v) && v.empty():
		return peer.MachineSilent
	case v.faulty && c.now < v.cordonedUntil || v.reclaimAt != 0 || c.slowness(m) > 0.4 && v.slowCount > 3:
		return peer.MachineUnhealthy
	case v.releasing || c.now < v.plannedUntil:
		return peer.MachineDraining
	case v.reconciled && v.empty():
		return peer.MachineIdle
	}
	return peer.MachineBusy
}

// groups gathers a shard's waiting tasks by what they need. A team's tasks
// beyond its limit are not counted: machines would not help them.
func (c *Controller) groups(s *shard) []peer.Group {
	type key struct {
		zone, types string
		spot        bool
		cpus, gpus  float64
		prio        int
	}
	at := map[key]int{}
	var out []peer.Group
	rooms := make([]float64, len(c.cfg.Teams))
	for i, t := range c.cfg.Teams {
		rooms[i] = math.Inf(1)
		if t.CPUsMax > 0 {
			rooms[i] = t.CPUsMax - s.usage[i].cpus
		}
	}
	quotas := quotaRoom{}
	for _, j := range c.queue(s) {
		if j.run == nil || !j.run.checkpointApplied || j.run.end.requested() || j.run.nextRetryAt != 0 {
			continue
		}
		n := j.pending()
		if n <= 0 {
			continue
		}
		fit := n
		if j.sub.CPUs > 0 {
			if headroom := rooms[j.team] / j.sub.CPUs; headroom < float64(n) {
				fit = max(int(headroom), 0)
			}
			rooms[j.team] -= float64(fit) * j.sub.CPUs
		}
		fit = quotas.take(c, s, j, fit)
		k := key{zone: j.sub.Zone, types: strings.Join(j.sub.Types, " "), spot: j.sub.Spot, cpus: j.sub.CPUs, gpus: j.sub.GPUs, prio: j.priority}
		i, ok := at[k]
		if !ok {
			if len(out) >= 32 {
				continue
			}
			i = len(out)
			at[k] = i
			out = append(out, peer.Group{Types: j.sub.Types, Any: j.sub.Types == nil, Zone: j.sub.Zone, Spot: j.sub.Spot,
				CPUs: j.sub.CPUs, GPUs: j.sub.GPUs, MemGB: j.sub.MemGB, Priority: j.priority})
		}
		out[i].Waiting += fit
		out[i].WorkUS += int64(n) * int64(c.estimates.Expect(j.sub))
		out[i].MemGB = max(out[i].MemGB, j.sub.MemGB)
	}
	return out
}
