package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// maxWaitWithoutMachine is how long a task waits in a shard none of whose machines could run it,
	// until the leader finds a machine for it.
	maxWaitWithoutMachine = 10 * micros.Second
	// maxWait is how long a task waits in other shards. A machine that is rented then is up within
	// the time for which a job may wait beside a machine that fits.
	maxWait = 40 * micros.Second
)

// StarvedTask is a task that has waited for so long that the leader finds a machine for it, whatever
// that costs. In order of cost the leader moves an idle machine to the task's shard, rents a
// machine, or has a busy machine drained.
type StarvedTask struct {
	peer.StarvedTask
	Shard int
}

// StarvedTasks returns the tasks of all shards that have waited for too long, those without any
// machine first, and then those that have waited longest.
func (d Demands) StarvedTasks() []StarvedTask {
	var starved []StarvedTask
	for _, shard := range d.Shards() {
		for _, task := range d[shard].StarvedTasks {
			limit := maxWait
			if task.NoMachine {
				limit = maxWaitWithoutMachine
			}
			if micros.Micros(task.WaitedUS) >= limit {
				starved = append(starved, StarvedTask{task, shard})
			}
		}
	}
	slices.SortStableFunc(starved, func(a, b StarvedTask) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), -cmp.Compare(a.WaitedUS, b.WaitedUS), cmp.Compare(a.Job, b.Job))
	})
	return starved
}

// rank returns 0 for a task that no machine of its shard could run, which goes first, and otherwise
// 1.
func (t *StarvedTask) rank() int {
	if t.NoMachine {
		return 0
	}
	return 1
}

// MachineSearch finds machines for starved tasks.
type MachineSearch struct {
	Catalog Catalog
	Demands Demands
	// Machines holds the idle and busy machines of all shards.
	Machines []Machine
	// MovedRecently reports whether a machine was moved for a starved task so recently that it is
	// not moved again.
	MovedRecently func(machine string) bool
	// UnusedAfter is how long a machine may be idle in a shard that has tasks for it before it is
	// clear that they do not start there.
	UnusedAfter micros.Micros
}

// OwnShardServes reports whether an idle machine of the task's own shard is about to run it.
func (s *MachineSearch) OwnShardServes(task *StarvedTask) bool {
	return slices.ContainsFunc(s.Machines, func(m Machine) bool {
		return m.From == task.Shard && m.Idle() && !s.unused(m) && s.Catalog.CanRunTask(&task.StarvedTask, m.Kind)
	})
}

// IdleMachine returns an idle machine of another shard that can run the task and that its shard does
// not need.
func (s *MachineSearch) IdleMachine(task *StarvedTask) (found Machine, ok bool) {
	return s.take(task, func(m Machine) bool { return m.Idle() && !s.neededInShard(m) })
}

// BusyMachine returns the machine of another shard that can run the task and that will be empty
// soonest. A shard in which tasks wait gives one up only for a task that could otherwise never run.
func (s *MachineSearch) BusyMachine(task *StarvedTask) (found Machine, ok bool) {
	return s.take(task, func(m Machine) bool {
		return m.State == peer.MachineBusy && (task.NoMachine || WaitingCPUs(s.Demands[m.From]) == 0)
	})
}

// take removes from Machines the machine of another shard that can run the task, satisfies the
// condition and will be empty soonest, and returns it.
func (s *MachineSearch) take(task *StarvedTask, condition func(Machine) bool) (best Machine, ok bool) {
	index := -1
	for i, m := range s.Machines {
		if m.From == task.Shard || !condition(m) || s.MovedRecently(m.ID) || !s.Catalog.CanRunTask(&task.StarvedTask, m.Kind) {
			continue
		}
		if index < 0 || cmp.Or(cmp.Compare(m.RemainingUS, best.RemainingUS), cmp.Compare(m.ID, best.ID)) < 0 {
			best, index = m, i
		}
	}
	if index < 0 {
		return best, false
	}
	s.Machines = slices.Delete(s.Machines, index, index+1)
	return best, true
}

// neededInShard reports whether tasks that wait in an idle machine's own shard are about to use it.
func (s *MachineSearch) neededInShard(m Machine) bool {
	demand := s.Demands[m.From]
	return WaitingCPUs(demand) > 0 && s.Catalog.Useful(demand, m.Kind) && !s.unused(m)
}

// unused reports whether an idle machine has been left unused by its shard.
func (s *MachineSearch) unused(m Machine) bool { return micros.Micros(m.InStateUS) >= s.UnusedAfter }
