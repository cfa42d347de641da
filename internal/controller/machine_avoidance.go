package controller

import "garnethitch/internal/micros"

// A job avoids machines on which its tasks have failed: they may be faulty for this job alone, or
// not have failed often enough to be cordoned. Each such refusal ends by itself, since the machine
// may be the only one that the job can get, and nothing else may ever run there to show that it has
// recovered. A machine that is still faulty then fails another task and is cordoned and replaced;
// see machineAtFault.

const (
	// avoidancePeriod is how long a job avoids a machine after its last failed task there.
	avoidancePeriod = 30 * micros.Second
	// avoidedAfterFailures is how many failed tasks of a job on a machine, or failures of one task,
	// make the job avoid the machine.
	avoidedAfterFailures = 2
)

// machineFailures describes the failed tasks of one job on one machine.
type machineFailures struct {
	count  int
	lastAt micros.Micros
}

// recordMachineFailure counts a task that has failed on a machine.
func (r *run) recordMachineFailure(m *machine, now micros.Micros) {
	failures := r.failuresByMachine[m.id]
	failures.count++
	failures.lastAt = now
	r.failuresByMachine[m.id] = failures
}

// failedRecently reports whether a task of the job has failed on a machine within avoidancePeriod.
// Nothing is preempted or reserved there for the job meanwhile.
func (r *run) failedRecently(m *machine, now micros.Micros) bool {
	failures, failed := r.failuresByMachine[m.id]
	return failed && now < failures.lastAt+avoidancePeriod
}

// avoidsMachines reports whether a task of the job has failed on any machine within avoidancePeriod.
func (r *run) avoidsMachines(now micros.Micros) bool {
	for _, failures := range r.failuresByMachine {
		if now < failures.lastAt+avoidancePeriod {
			return true
		}
	}
	return false
}

// avoidsMachine reports whether a task must not run on a machine on which its job has recently
// failed. After one failure the same machine may be used again; after a second failure of the task,
// or of the job on that machine, another one is used. Once avoidancePeriod is over, the next
// heartbeat of the machine starts the task there.
func (c *Controller) avoidsMachine(j *job, idx int, m *machine) bool {
	r := j.run
	if !r.failedRecently(m, c.now) {
		return false
	}
	if r.retryBackoff != 0 {
		return false // the job fails on every machine, so no other one is better
	}
	return r.failuresByMachine[m.id].count >= avoidedAfterFailures || r.failuresByTask[idx] >= avoidedAfterFailures
}
