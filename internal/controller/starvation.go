package controller

import (
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// This file finds machines for starved tasks, as the leader. No threshold for the cost of a move or
// a rental applies to them.

const (
	// serviceInterval is the time after which another machine is found for a task that has still
	// not started. A machine that moves is at its new owner long before.
	serviceInterval = 30 * micros.Second
	// serviceMoveInterval is the least time between two moves of one machine for starved tasks, so
	// that shards in which it is of no use do not pass it to and fro.
	serviceMoveInterval = micros.Minute
	// lateBootGrace is how long after its boot time a rented machine is still expected to come up
	// for a waiting task.
	lateBootGrace = 20 * micros.Second
	// unusedHeartbeats is the number of heartbeat intervals after which an idle machine is taken to
	// be unused: its heartbeats would have started the tasks that wait for it.
	unusedHeartbeats = 2
)

// starvationService is what the leader did for starved tasks.
type starvationService struct {
	servedAt   map[string]micros.Micros // when a machine was last found for a task, by job
	assignedAt map[string]micros.Micros // when a new machine was last assigned to a task, by job
	movedAt    map[string]micros.Micros // when a machine was last moved for a task, by machine
}

// reset forgets everything.
func (s *starvationService) reset() {
	s.servedAt = map[string]micros.Micros{}
	s.assignedAt = map[string]micros.Micros{}
	s.movedAt = map[string]micros.Micros{}
}

// forgetBefore removes entries that are older than the given time.
func (s *starvationService) forgetBefore(at micros.Micros) {
	for _, times := range []map[string]micros.Micros{s.servedAt, s.assignedAt, s.movedAt} {
		for id, last := range times {
			if last < at {
				delete(times, id)
			}
		}
	}
}

// within reports whether the time of id in times is less than d ago.
func (f *fleetState) within(times map[string]micros.Micros, id string, d micros.Micros) bool {
	at, known := times[id]
	return known && f.now < at+d
}

// serveStarvedTasks finds a machine for each starved task: an idle one of another shard, a rented
// one, or one that is drained. choice rents machines, after it has rented those that the waiting
// tasks are worth: where the fleet is short of machines, these serve the starved tasks too.
func (c *Controller) serveStarvedTasks(demands fleet.Demands, choice *fleet.ScaleOut) {
	f := &c.fleet
	f.starvationService.forgetBefore(c.now - serviceMoveInterval)
	tasks := demands.StarvedTasks()
	if len(tasks) == 0 {
		return
	}
	search := fleet.MachineSearch{
		Catalog:     c.catalog(),
		Demands:     demands,
		Machines:    c.machinesForStarved(demands),
		UnusedAfter: unusedHeartbeats * c.cfg.HeartbeatInterval,
		MovedRecently: func(machine string) bool {
			return f.within(f.movedAt, machine, serviceMoveInterval)
		},
	}
	arriving := c.arrivingKinds()
	for i := range tasks {
		task := &tasks[i]
		if search.OwnShardServes(task) || takeArriving(task, search.Catalog, &arriving) || f.within(f.servedAt, task.Job, serviceInterval) {
			continue
		}
		if kind, found := c.serveStarvedTask(task, &search, choice); found {
			c.noteServed(tasks, task.Shard, kind)
		}
	}
}

// takeArriving reports whether a machine is arriving that can run a starved task. A task that no
// machine of its shard could run gets it for itself; see assignToStarved.
func takeArriving(task *fleet.StarvedTask, catalog fleet.Catalog, arriving *[]fleet.Kind) bool {
	i := slices.IndexFunc(*arriving, func(kind fleet.Kind) bool { return catalog.CanRunTask(&task.StarvedTask, kind) })
	if i < 0 {
		return false
	}
	if task.NoMachine {
		*arriving = slices.Delete(*arriving, i, i+1)
	}
	return true
}

// noteServed records that a machine of a kind was found for the starved tasks of a shard that it can
// run.
func (c *Controller) noteServed(tasks []fleet.StarvedTask, shard int, kind fleet.Kind) {
	catalog := c.catalog()
	for i := range tasks {
		if tasks[i].Shard == shard && catalog.CanRunTask(&tasks[i].StarvedTask, kind) {
			c.fleet.servedAt[tasks[i].Job] = c.now
		}
	}
}

// serveStarvedTask finds a machine for one starved task, and returns its kind. found is false if
// there is none now.
func (c *Controller) serveStarvedTask(task *fleet.StarvedTask, search *fleet.MachineSearch, choice *fleet.ScaleOut) (kind fleet.Kind, found bool) {
	if m, found := search.IdleMachine(task); found {
		c.moveForStarved(task, m, false)
		return m.Kind, true
	}
	if rental, ok := choice.RentalForTask(&task.StarvedTask); ok {
		kind = fleet.Kind{Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}
		if !c.fleet.mayRequest(kind) {
			return kind, false // the next plan rents it
		}
		c.log(Info, "renting a machine for a starved task", "job", task.Job, "shard", task.Shard, "waited_s", micros.Micros(task.WaitedUS).Seconds())
		c.requestScaleOut(choice, rental)
		return kind, true
	}
	if c.drainingFor(task, search.Catalog) {
		return kind, false
	}
	m, found := search.BusyMachine(task)
	if found {
		c.moveForStarved(task, m, true)
	}
	return m.Kind, found
}

// mayRequest reports whether a machine of a kind may be requested for a starved task now: not while
// a request for that kind is under way. Several refusals at once would keep the kind from being
// requested for long.
func (f *fleetState) mayRequest(kind fleet.Kind) bool {
	sameKind := func(req *scaleOutRequest) bool { return req.kind() == kind }
	return len(f.scaleOuts) < maxScaleOuts && !slices.ContainsFunc(f.scaleOuts, sameKind)
}

// moveForStarved requests the move of a machine to the shard of a starved task.
func (c *Controller) moveForStarved(task *fleet.StarvedTask, m fleet.Machine, drain bool) {
	c.log(Info, "moving a machine to a starved task", "job", task.Job, "machine", m.ID, "from", m.From, "to", task.Shard, "drain", drain)
	c.fleet.movedAt[m.ID] = c.now
	if drain {
		c.fleet.plannedMoves[m.ID] = plannedMove{shard: task.Shard, until: c.now + maxMoveDuration, starved: true}
	}
	c.requestMachineRelease(m.ID, peer.Release{ToShard: task.Shard, Drain: drain})
}

// drainingFor reports whether a machine that can run a starved task is being drained for the task's
// shard, and extends the time for that.
func (c *Controller) drainingFor(task *fleet.StarvedTask, catalog fleet.Catalog) bool {
	for _, id := range sortedKeys(c.fleet.plannedMoves) {
		m, move := c.machines[id], c.fleet.plannedMoves[id]
		underWay := m != nil && !move.retire && move.shard == task.Shard && m.rec.Shard != task.Shard && c.now < move.until
		if underWay && catalog.CanRunTask(&task.StarvedTask, m.kind()) {
			move.until = c.now + maxMoveDuration
			move.starved = true
			c.fleet.plannedMoves[id] = move
			return true
		}
	}
	return false
}

// machinesForStarved returns the idle and busy machines of all shards that are not being released.
func (c *Controller) machinesForStarved(demands fleet.Demands) []fleet.Machine {
	f := &c.fleet
	var machines []fleet.Machine
	for _, shard := range demands.Shards() {
		for _, m := range demands[shard].Machines {
			onRecord := c.machines[m.ID]
			movable := m.State == peer.MachineIdle || m.State == peer.MachineBusy
			if onRecord == nil || !movable || f.within(f.releaseRequestedAt, m.ID, releaseRepeatInterval) {
				continue
			}
			row := fleet.Machine{Machine: m, From: shard, Kind: onRecord.kind(), CPUs: c.types.cpusOf(onRecord)}
			machines = append(machines, row)
		}
	}
	return machines
}

// arrivingKinds returns the kinds of machines that are being rented or are booting. Machines that
// are late themselves are left out.
func (c *Controller) arrivingKinds() []fleet.Kind {
	f := &c.fleet
	var kinds []fleet.Kind
	expected := func(machineType string, age micros.Micros) bool {
		return age < micros.FromSeconds(c.types.byName[machineType].BootS)+lateBootGrace
	}
	for _, req := range f.scaleOuts {
		kinds = append(kinds, slices.Repeat([]fleet.Kind{req.kind()}, req.rental.Count)...)
	}
	for _, id := range sortedKeys(f.rented) {
		if r := f.rented[id]; c.machines[id] == nil && expected(r.kind.Type, c.now-r.at) {
			kinds = append(kinds, r.kind)
		}
	}
	for _, id := range f.listedIDs {
		l := f.listed[id]
		age := micros.FromSeconds(l.AgeS) + c.now - f.listedAt
		if c.unrecorded(id, l) && expected(l.Type, age) {
			kinds = append(kinds, fleet.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot})
		}
	}
	return kinds
}

// assignToStarved assigns new machines to the shards of starved tasks that no machine there could
// run, and returns the machines that are left.
func (c *Controller) assignToStarved(list []unassignedMachine, demands fleet.Demands, byShard map[int][]unassignedMachine) []unassignedMachine {
	f := &c.fleet
	catalog := c.catalog()
	for _, task := range demands.StarvedTasks() {
		if !task.NoMachine || f.within(f.assignedAt, task.Job, serviceInterval) {
			continue
		}
		i := slices.IndexFunc(list, func(m unassignedMachine) bool { return catalog.CanRunTask(&task.StarvedTask, m.kind) })
		if i >= 0 {
			f.assignedAt[task.Job] = c.now
			byShard[task.Shard] = append(byShard[task.Shard], list[i])
			list = slices.Delete(slices.Clone(list), i, i+1)
		}
	}
	return list
}
