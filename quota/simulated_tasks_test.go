package quota

import "slices"

// simulatedTask is a task that runs, or waits, in a shard.
type simulatedTask struct {
	shard     int
	group     string // the innermost that it is in
	size      float64
	running   bool
	since     Micros // since when it runs or waits
	fitsSince Micros // since when it has fitted beside free quota; 0: it does not fit
}

// inGroup reports whether a task counts in a group.
func (w *world) inGroup(t *simulatedTask, group string) bool {
	return slices.Contains(w.enclosingGroups(t.group), group)
}

// allShards has used sum over all of them.
const allShards = -1

// usedCPUs returns what the tasks of a shard use of a group, in CPUs.
func (w *world) usedCPUs(shard int, group string) (sum float64) {
	for _, t := range w.tasks {
		if t.running && (shard == allShards || t.shard == shard) && w.inGroup(t, group) {
			sum += t.size
		}
	}
	return sum
}

// addDemand adds waiting tasks to a shard, up to its demand.
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

// finish ends a task, unless it has ended.
func (w *world) finish(t *simulatedTask) {
	if i := slices.Index(w.tasks, t); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
}

// stopTasks stops what a Reclaim asks for.
func (w *world) stopTasks(e Reclaim) {
	over := e.Excess.CPUs
	for _, t := range slices.Clone(w.tasks) {
		if over > epsilon && t.running && t.shard == e.Shard && w.inGroup(t, e.Group) {
			over -= t.size
			w.after(w.randomDuration(10*ms, 300*ms), func() { w.finish(t) })
		}
	}
}
