package controller

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// What the shards of this controller want of the fleet and have, as it is sent to the leader.

const (
	// maxBusyRows bounds how many busy machines of a shard are named: the leader moves and drains
	// only those that are soon or nearly empty.
	maxBusyRows = 40
	// maxRowBytes bounds the rows of all other machines of this controller, so that a message
	// stays within peer.MaxMessage: 6,000 machines whose names are as long as a UUID. The rest is
	// named once the first are dealt with, and all of them are counted.
	maxRowBytes = 640 << 10
	// rowBytes is the most that a row takes beside its machine's name.
	rowBytes = 60
	// minUnansweredCommands is the number of unanswered direct commands from which on an
	// unreconciled machine counts as silent.
	minUnansweredCommands = 2
	// bootTimeout is for how long a machine that has sent no heartbeat counts as booting.
	bootTimeout = 4 * micros.Minute
	// unhealthySlowness is from which slowness on a machine is replaced if more than
	// minSlowTasks of its tasks were slow.
	unhealthySlowness = 0.4
	minSlowTasks      = 3
	// movedDivisor divides the expected run time of a task that cannot save into what it may have
	// run to be moved.
	movedDivisor = 3
)

// demands returns what each shard of this controller wants and has.
func (c *Controller) demands() []peer.Demand {
	var demands []peer.Demand
	remainingBytes := maxRowBytes
	for _, s := range c.ownership.shards {
		if c.ownership.activeShard(s.id) != nil {
			var d peer.Demand
			d, remainingBytes = c.demandOf(s, remainingBytes)
			demands = append(demands, d)
		}
	}
	return demands
}

// demandOf returns what a shard wants and has. Rows of machines that are not busy take at most
// remainingBytes; it also returns what is left of that.
func (c *Controller) demandOf(s *shard, remainingBytes int) (peer.Demand, int) {
	c.refresh(s)
	d := peer.Demand{
		Shard:          s.id,
		ArrivalCPUs:    s.arrivals.Rate(c.now),
		TotalMachines:  len(s.machines),
		GuaranteedCPUs: c.guaranteedCPUs(s),
	}
	remainingBytes = c.addMachines(s, &d, remainingBytes)
	d.WaitingTasks = c.waitingGroups(s)
	return d, remainingBytes
}

// guaranteedCPUs returns what a shard's unfinished jobs within their team's guarantee can use.
func (c *Controller) guaranteedCPUs(s *shard) float64 {
	cpus := 0.0
	for _, j := range c.queue(s) {
		if j.withinGuarantee && j.run != nil {
			cpus += float64(j.sub.Tasks-j.run.doneCount) * j.sub.CPUs
		}
	}
	return cpus
}

// addMachines adds a shard's machines to its demand, and returns what they leave of
// remainingBytes.
func (c *Controller) addMachines(s *shard, d *peer.Demand, remainingBytes int) int {
	var busy []peer.Machine
	zones := map[string]*peer.ZoneMachines{}
	for _, m := range s.machines {
		if m.view == nil || m.returned {
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
		} else if size := rowBytes + len(row.ID); size <= remainingBytes {
			remainingBytes -= size
			d.Machines = append(d.Machines, row)
		}
	}
	d.Machines = append(d.Machines, c.busyRows(busy)...)
	for _, name := range sortedKeys(zones) {
		d.Zones = append(d.Zones, *zones[name])
	}
	return remainingBytes
}

// addMachine adds a machine to its shard's sums and its zone's, by its state, and returns its row.
func (c *Controller) addMachine(s *shard, m *machine, d *peer.Demand, zone *peer.ZoneMachines) peer.Machine {
	v := m.view
	cpus := c.types.cpusOf(m)
	used := min(v.usage.total.CPUs, cpus)
	row := peer.Machine{ID: m.id, State: c.stateOf(m), BusyCPUs: used, Movable: true}
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
		row.InStateUS = int64(c.now - v.idleAt)
		d.CPUs += cpus
	case peer.MachineBusy:
		d.CPUs += cpus
		d.BusyCPUs += used
	}
	return row
}

// addUnreconciled adds an unreconciled machine.
func (c *Controller) addUnreconciled(s *shard, v *view, d *peer.Demand, zone *peer.ZoneMachines, row *peer.Machine) {
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

// silentFor returns for how long nothing has shown that a machine can be reached both ways.
func (c *Controller) silentFor(v *view) micros.Micros {
	silent := c.sinceLastHeartbeat(v)
	if c.leaseRunningOut(v) {
		silent = max(silent, c.sinceLastReply(v))
	}
	if since, ok := v.reachability.UnconfirmedSince(); ok {
		silent = max(silent, c.now-since)
	}
	return silent
}

// addAttempts adds what a machine's attempts have left to do, and what moving them would lose.
func (c *Controller) addAttempts(m *machine, d *peer.Demand, row *peer.Machine) {
	for _, att := range m.view.list {
		if att.job == nil || att.state == attemptExited {
			continue
		}
		cpus := att.job.sub.CPUs
		if !c.movable(att) {
			row.Movable = false
		} else if att.job.sub.CheckpointS <= 0 {
			row.LostWorkUS += int64(float64(c.now-att.runAt) * cpus)
		}
		remaining := c.remaining(att)
		row.RemainingUS = max(row.RemainingUS, int64(remaining))
		d.RemainingWorkUS += int64(float64(remaining) * cpus)
	}
}

// busyRows returns the busy machines that are named to the leader: those that are empty soonest,
// and those of the others that stand most unused. It sorts busy.
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

// unusedWork returns how much of a machine stands unused until it is empty, in CPU seconds.
func (c *Controller) unusedWork(row peer.Machine) float64 {
	m := c.machines[row.ID]
	if m == nil {
		return 0
	}
	return fleet.UnusedWork(row, c.types.cpusOf(m))
}

// movable reports whether a running task may be stopped so that its machine can be returned. It
// can save, or its job is late already by what its class or its user wants, it has not been
// stopped before, and most of its work is still ahead.
func (c *Controller) movable(att *attempt) bool {
	if !att.tracked || att.state != attemptRunning || att.job.run == nil {
		return false
	}
	if att.job.sub.CheckpointS > 0 {
		return true
	}
	ran := c.now - att.runAt
	if att.job.run.stopsByTask[att.index] > 0 || movedDivisor*ran > c.estimates.Expect(att.job.sub) {
		return false
	}
	due := c.dueOf(att.job)
	return due < micros.Never && c.wall > due
}

// stateOf returns how a machine counts for the leader.
func (c *Controller) stateOf(m *machine) peer.MachineState {
	v := m.view
	switch {
	case v.unreconciledFromPredecessor:
		return peer.MachineUnreconciled
	case v.neverCommanded && c.now-v.since < bootTimeout:
		return peer.MachineBooting
	case c.silent(m):
		return peer.MachineSilent
	case c.toBeReplaced(m):
		return peer.MachineUnhealthy
	case v.releasing || c.now < v.plannedUntil:
		return peer.MachineDraining
	case v.reconciled && v.empty():
		return peer.MachineIdle
	}
	return peer.MachineBusy
}

// silent reports whether a machine has sent no heartbeat for a while, or does not receive its
// replies.
func (c *Controller) silent(m *machine) bool {
	v := m.view
	noAgentEpoch := !v.sequenceKnown && v.reconciled || v.leaseExpired
	if noAgentEpoch || c.sinceLastHeartbeat(v) > c.heartbeatDeadlines.Timeout || c.unreachable(m) {
		return true
	}
	return c.leaseRunningOut(v) && v.empty()
}

// toBeReplaced reports whether a machine fails or slows tasks, or is being taken away.
func (c *Controller) toBeReplaced(m *machine) bool {
	v := m.view
	fails := v.faulty && c.now < v.cordonedUntil
	return fails || v.reclaimAt != 0 || c.slowness(m) > unhealthySlowness && v.slowCount > minSlowTasks
}

// maxGroups bounds the groups of waiting tasks of a shard.
const maxGroups = 32

// groupKey is what the tasks of a group have in common.
type groupKey struct {
	zone, types string
	spot        bool
	cpus, gpus  float64
	priority    int
}

// groupKeyOf returns the key of a job's group.
func groupKeyOf(j *job) groupKey {
	types := strings.Join(j.sub.Types, " ")
	return groupKey{zone: j.sub.Zone, types: types, spot: j.sub.Spot, cpus: j.sub.CPUs, gpus: j.sub.GPUs, priority: j.priority}
}

// waitingGroups gathers a shard's waiting tasks by what they need. A team's tasks beyond its limit
// are not counted: machines would not help them.
func (c *Controller) waitingGroups(s *shard) []peer.WaitingTasks {
	index := map[groupKey]int{}
	var groups []peer.WaitingTasks
	headroom := c.teamHeadroom(s)
	quotas := quotaHeadroom{}
	for _, j := range c.queue(s) {
		if !j.wantsMachines() {
			continue
		}
		pending := j.pending()
		count := headroom.take(j, pending)
		count = c.quota.takeQuota(quotas, s, j, count)
		key := groupKeyOf(j)
		i, known := index[key]
		if !known {
			if len(groups) >= maxGroups {
				continue
			}
			i = len(groups)
			index[key] = i
			groups = append(groups, groupOf(j))
		}
		g := &groups[i]
		g.Count += count
		g.WorkUS += int64(pending) * int64(c.estimates.Expect(j.sub))
		g.MemGB = max(g.MemGB, j.sub.MemGB)
	}
	return groups
}

// wantsMachines reports whether tasks of a job wait, and may be started as soon as there are
// machines.
func (j *job) wantsMachines() bool {
	r := j.run
	return r != nil && r.checkpointApplied && !r.end.requested() && r.nextRetryAt == 0 && j.pending() > 0
}

// groupOf returns the group of a job's tasks, without any tasks yet.
func groupOf(j *job) peer.WaitingTasks {
	return peer.WaitingTasks{
		Types:    j.sub.Types,
		AnyType:  j.sub.Types == nil,
		Zone:     j.sub.Zone,
		Spot:     j.sub.Spot,
		CPUs:     j.sub.CPUs,
		GPUs:     j.sub.GPUs,
		MemGB:    j.sub.MemGB,
		Priority: j.priority,
	}
}

// teamHeadroom is how many more CPUs each team may use, by the team's number.
type teamHeadroom []float64

// teamHeadroom returns how many more CPUs each team may use in a shard.
func (c *Controller) teamHeadroom(s *shard) teamHeadroom {
	headroom := make(teamHeadroom, len(c.cfg.Teams))
	for i, t := range c.cfg.Teams {
		headroom[i] = math.Inf(1)
		if t.CPUsMax > 0 {
			headroom[i] = t.CPUsMax - s.usage[i].cpus
		}
	}
	return headroom
}

// take returns how many of count tasks of a job fit, and takes them.
func (h teamHeadroom) take(j *job, count int) int {
	if j.sub.CPUs <= 0 {
		return count
	}
	if fit := h[j.team] / j.sub.CPUs; fit < float64(count) {
		count = max(int(fit), 0)
	}
	h[j.team] -= float64(count) * j.sub.CPUs
	return count
}
