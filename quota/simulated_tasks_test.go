package quota

import "slices"

// simulatedTask is a running or waiting task of a shard.
type simulatedTask struct {
	shard     int
	group     string // the innermost group of the task
	size      float64
	running   bool
	since     Micros // when it began to run or to wait
	fitsSince Micros // since when free quota has had room for it; 0 if there is no room
}

// inGroup reports whether a task counts in a group: its innermost group or one around that.
func (w *world) inGroup(t *simulatedTask, group string) bool {
	return slices.Contains(w.enclosingGroups(t.group), group)
}

// allShards makes usedCPUs add up all shards.
const allShards = -1

// usedCPUs returns the CPUs that the running tasks of a shard use in a group.
func (w *world) usedCPUs(shard int, group string) (sum float64) {
	for _, t := range w.tasks {
		if t.running && (shard == allShards || t.shard == shard) && w.inGroup(t, group) {
			sum += t.size
		}
	}
	return sum
}

// addDemand adds waiting tasks to a shard until waitingPerShard of them wait. It adds none in the
// last demandEndsBeforeEnd of the simulation.
func (w *world) addDemand(shard int) {
	waiting := 0
	for _, t := range w.tasks {
		if t.shard == shard && !t.running {
			waiting++
		}
	}
	for ; waiting < w.plan.waitingPerShard && w.now < w.plan.duration-demandEndsBeforeEnd; waiting++ {
		groups := w.definedGroups()
		if w.plan.wantedGroups != nil {
			groups = w.plan.wantedGroups(shard, w.now)
		}
		if len(groups) == 0 {
			return
		}
		w.tasks = append(w.tasks, &simulatedTask{
			shard: shard,
			group: groups[w.rng.IntN(len(groups))],
			size:  w.plan.taskSizes[w.rng.IntN(len(w.plan.taskSizes))],
			since: w.now,
		})
	}
}

// randomTaskDuration draws how long a task runs.
func (w *world) randomTaskDuration() Micros {
	longest := defaultMaxTaskDuration
	if w.plan.maxTaskDuration != 0 {
		longest = w.plan.maxTaskDuration
	}
	return w.randomDuration(100*ms, longest)
}

// finish ends a task, unless it has ended already.
func (w *world) finish(t *simulatedTask) {
	if i := slices.Index(w.tasks, t); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
}

// stopTasks stops enough tasks for a Reclaim, each after a short delay.
func (w *world) stopTasks(e Reclaim) {
	excess := e.Excess.CPUs
	for _, t := range slices.Clone(w.tasks) {
		if excess > epsilon && t.running && t.shard == e.Shard && w.inGroup(t, e.Group) {
			excess -= t.size
			w.after(w.randomDuration(10*ms, 300*ms), func() { w.finish(t) })
		}
	}
}
