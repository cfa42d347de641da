package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// This file computes the demand of the shards of this controller: the machines that they have and
// the tasks that wait for machines. It is sent to the leader, which sizes and divides the fleet.

const (
	// maxBusyRows bounds how many busy machines of a shard are listed in each of two selections;
	// see busyRows. The leader moves and drains only machines that will be empty soon or are nearly
	// empty.
	maxBusyRows = 40
	// maxTotalRowBytes bounds the size of the rows of all other machines of this controller, so
	// that a message stays within peer.MaxMessage: it is enough for 6,000 machines whose names are
	// as long as a UUID. Further machines are listed in later messages, once the leader has dealt
	// with the first ones; the counts include all machines.
	maxTotalRowBytes = 640 << 10
	// rowOverheadBytes is the maximum encoded size of a row without the machine's name.
	rowOverheadBytes = 60
	// minUnansweredCommands is the number of unanswered direct commands from which on an
	// unreconciled machine is reported with the time since the claim, after which the leader may
	// return it. With fewer it is reported with zero.
	minUnansweredCommands = 2
	// bootTimeout is how long a machine that has sent no heartbeat is reported as booting.
	bootTimeout = 4 * micros.Minute
	// unhealthySlowness is the slowness above which a machine is replaced, if the weight of its run
	// times (healthView.runTimeWeight) is above minUnhealthyRunTimeWeight.
	unhealthySlowness         = 0.4
	minUnhealthyRunTimeWeight = 3
	// movableRunTimeDivisor limits which tasks that cannot save may be moved: they must have run
	// for at most 1/movableRunTimeDivisor of their expected run time.
	movableRunTimeDivisor = 3
)

// demands returns the demand of each active shard of this controller.
func (c *Controller) demands() []peer.Demand {
	var demands []peer.Demand
	remainingBytes := maxTotalRowBytes
	for _, s := range c.ownership.shards {
		if c.ownership.activeShard(s.id) != nil {
			var d peer.Demand
			d, remainingBytes = c.demandOf(s, remainingBytes)
			demands = append(demands, d)
		}
	}
	return demands
}

// demandOf returns the demand of a shard. Rows of machines that are not busy take at most
// remainingBytes; the second result is what remains of it.
func (c *Controller) demandOf(s *shard, remainingBytes int) (peer.Demand, int) {
	c.refreshUsage(s)
	d := peer.Demand{
		Shard:          s.id,
		ArrivalCPUs:    s.arrivals.Rate(c.now),
		TotalMachines:  len(s.machines),
		GuaranteedCPUs: c.guaranteedCPUs(s),
	}
	remainingBytes = c.addMachines(s, &d, remainingBytes)
	d.WaitingTasks, d.StarvedTasks = c.waitingTasksOf(s)
	return d, remainingBytes
}

// guaranteedCPUs returns how many CPUs the unfinished jobs of a shard can use that are within their
// team's guarantee.
func (c *Controller) guaranteedCPUs(s *shard) float64 {
	cpus := 0.0
	for _, j := range c.queue(s) {
		if j.withinGuarantee && j.run != nil {
			cpus += float64(float64(j.sub.Tasks-j.run.doneCount) * j.sub.CPUs)
		}
	}
	return cpus
}

// addMachines adds a shard's machines to its demand, and returns what remains of remainingBytes.
func (c *Controller) addMachines(s *shard, d *peer.Demand, remainingBytes int) int {
	var busy []peer.Machine
	zones := map[string]*peer.ZoneMachines{}
	for _, m := range s.machines {
		if m.view == nil {
			continue
		}
		if m.returned {
			if row, due := c.returnedRow(m); due {
				remainingBytes = addRow(d, row, remainingBytes)
			}
			continue
		}
		zone := zones[m.rec.Zone]
		if zone == nil {
			zone = &peer.ZoneMachines{Name: m.rec.Zone}
			zones[m.rec.Zone] = zone
		}
		row := c.addMachine(s, m, d, zone)
		if row.State == peer.MachineBooting {
			continue
		}
		c.addAttempts(m, d, &row)
		if row.State == peer.MachineBusy {
			busy = append(busy, row)
		} else {
			remainingBytes = addRow(d, row, remainingBytes)
		}
	}
	d.Machines = append(d.Machines, c.busyRows(busy)...)
	for _, name := range sortedKeys(zones) {
		d.Zones = append(d.Zones, *zones[name])
	}
	return remainingBytes
}

// addRow adds the row of a machine to the demand of its shard if it takes at most remainingBytes, and
// returns what remains of them.
func addRow(d *peer.Demand, row peer.Machine, remainingBytes int) int {
	size := rowOverheadBytes + len(row.ID)
	if size > remainingBytes {
		return remainingBytes
	}
	d.Machines = append(d.Machines, row)
	return remainingBytes - size
}

// addMachine adds a machine to the sums of its shard and its zone according to its state, and
// returns its row.
func (c *Controller) addMachine(s *shard, m *machine, d *peer.Demand, zone *peer.ZoneMachines) peer.Machine {
	v := m.view
	cpus := c.types.cpusOf(m)
	used := min(occupiedCPUs(c.types.of(m), v.usage.total), cpus)
	row := peer.Machine{ID: m.id, State: c.machineState(m), BusyCPUs: used, Movable: true}
	if row.State == peer.MachineBooting {
		d.BootingCPUs += cpus
		return row
	}
	zone.TotalMachines++
	switch row.State {
	case peer.MachineUnreconciled:
		c.addUnreconciled(s, v, d, zone, &row)
	case peer.MachineSilent:
		d.SilentMachines++
		zone.SilentMachines++
		row.InStateUS = int64(c.silentFor(v))
	case peer.MachineIdle:
		row.InStateUS = int64(c.now - v.lastBusyAt)
		d.CPUs += cpus
	case peer.MachineBusy:
		d.CPUs += cpus
		d.BusyCPUs += used
	}
	return row
}

// addUnreconciled adds an unreconciled machine to the sums of its shard and its zone.
func (c *Controller) addUnreconciled(s *shard, v *machineView, d *peer.Demand, zone *peer.ZoneMachines, row *peer.Machine) {
	sinceClaim := c.now - s.claimedAt
	if v.unansweredCommands >= minUnansweredCommands {
		row.InStateUS = int64(sinceClaim)
	}
	d.UnreconciledMachines++
	d.BlockedUS = max(int64(s.machinesFreeAt-c.now), 0)
	if sinceClaim > unreconciledReturnAfter {
		zone.SilentMachines++
	}
}

// silentFor returns how long there has been no evidence that messages pass in both directions
// between a machine and this controller.
func (c *Controller) silentFor(v *machineView) micros.Micros {
	silent := c.sinceLastHeartbeat(v)
	if c.leaseRunningOut(v) {
		silent = max(silent, c.sinceLastReply(v))
	}
	if since, ok := v.reachability.UnconfirmedSince(); ok {
		silent = max(silent, c.now-since)
	}
	return silent
}

// addAttempts adds the remaining run time of a machine's attempts, and the work that would be lost
// by moving them.
func (c *Controller) addAttempts(m *machine, d *peer.Demand, row *peer.Machine) {
	for _, att := range m.view.attemptList {
		if att.job == nil || att.state == attemptExited {
			continue
		}
		cpus := att.job.sub.CPUs
		if !c.movable(att) {
			row.Movable = false
		} else if att.job.sub.CheckpointS <= 0 {
			row.LostWorkUS += int64(float64(c.now-att.runAt) * cpus)
		}
		remaining := c.remainingRunTime(att)
		row.RemainingUS = max(row.RemainingUS, int64(remaining))
		d.RemainingWorkUS += int64(float64(remaining) * cpus)
	}
}

// busyRows selects the busy machines that are listed for the leader: those that will be empty
// soonest and, of the others, those with the most unused capacity. It sorts busy.
func (c *Controller) busyRows(busy []peer.Machine) []peer.Machine {
	slices.SortFunc(busy, func(a, b peer.Machine) int {
		return cmp.Or(cmp.Compare(a.RemainingUS, b.RemainingUS), cmp.Compare(a.ID, b.ID))
	})
	soonest := min(len(busy), maxBusyRows)
	rest := busy[soonest:]
	slices.SortFunc(rest, func(a, b peer.Machine) int {
		return cmp.Or(-cmp.Compare(c.unusedWork(a), c.unusedWork(b)), cmp.Compare(a.ID, b.ID))
	})
	return busy[:soonest+min(len(rest), maxBusyRows)]
}

// unusedWork returns how much capacity of a machine will go unused until the machine is empty, in
// CPU seconds.
func (c *Controller) unusedWork(row peer.Machine) float64 {
	m := c.machines[row.ID]
	if m == nil {
		return 0
	}
	return fleet.UnusedWork(row, c.types.cpusOf(m))
}

// movable reports whether an attempt may be stopped so that its machine can be released. It must be
// running. If its task cannot save, the job must also be past its due time, the task must not have
// been stopped before, and most of the task's work must still be ahead.
func (c *Controller) movable(att *attempt) bool {
	if !att.tracked || att.state != attemptRunning || att.job.run == nil {
		return false
	}
	if att.job.sub.CheckpointS > 0 {
		return true
	}
	ran := c.now - att.runAt
	if att.job.run.stopsByTask[att.index] > 0 || movableRunTimeDivisor*ran > c.estimates.Expect(att.job.sub) {
		return false
	}
	due := c.dueTime(att.job)
	return due < micros.Never && c.wall > due
}

// machineState returns the state of a machine that is reported to the leader.
func (c *Controller) machineState(m *machine) peer.MachineState {
	v := m.view
	switch {
	case v.unreconciledFromPredecessor:
		return peer.MachineUnreconciled
	case v.neverCommanded && c.now-v.observedSince < bootTimeout:
		return peer.MachineBooting
	case c.silent(m):
		return peer.MachineSilent
	case c.needsReplacement(m):
		return peer.MachineUnhealthy
	case v.releasing || c.now < v.plannedUntil:
		return peer.MachineDraining
	case v.reconciled && v.empty():
		return peer.MachineIdle
	}
	return peer.MachineBusy
}

// silent reports whether a machine has sent no heartbeat for a while, or does not receive the
// replies.
func (c *Controller) silent(m *machine) bool {
	v := m.view
	noAgentEpoch := !v.sequenceKnown && v.reconciled || v.leaseExpired
	if noAgentEpoch || c.sinceLastHeartbeat(v) > c.heartbeatDeadlines.Timeout || c.unreachable(m) {
		return true
	}
	return c.leaseRunningOut(v) && v.empty()
}

// needsReplacement reports whether a machine makes tasks fail, slows them down, or is about to be
// reclaimed by the cloud.
func (c *Controller) needsReplacement(m *machine) bool {
	v := m.view
	fails := v.faulty && c.now < v.cordonedUntil
	return fails || v.reclaimAt != 0 || c.slowness(m) > unhealthySlowness && v.runTimeWeight > minUnhealthyRunTimeWeight
}
