package peer

import "garnethitch/internal/wire"

// Demand describes a shard's load and machines to the leader, which sizes the fleet and divides
// it among the shards.
type Demand struct {
	Shard int `msgpack:"s"`
	// WaitingTasks are the shard's waiting tasks, grouped by their requirements.
	WaitingTasks []WaitingTasks `msgpack:"g,omitempty"`
	CPUs         float64        `msgpack:"c"` // CPUs of the idle and busy machines
	BusyCPUs     float64        `msgpack:"b"` // CPUs in use
	// BootingCPUs are the CPUs of machines that have not sent a heartbeat yet.
	BootingCPUs float64 `msgpack:"o,omitempty"`
	// TotalMachines counts the recorded machines; SilentMachines and UnreconciledMachines count
	// those in these states. Machines does not list all of them.
	TotalMachines        int `msgpack:"l,omitempty"`
	SilentMachines       int `msgpack:"k,omitempty"`
	UnreconciledMachines int `msgpack:"q,omitempty"`
	// BlockedUS is the time in microseconds for which unreconciled machines will still block
	// jobs from before the failover, if they send no heartbeat.
	BlockedUS int64          `msgpack:"h,omitempty"`
	Zones     []ZoneMachines `msgpack:"z,omitempty"`
	// RemainingWorkUS is the estimated remaining work of the running tasks in CPU microseconds.
	RemainingWorkUS int64 `msgpack:"w"`
	// GuaranteedCPUs is the number of CPUs that unfinished jobs within their team's guarantee
	// can use.
	GuaranteedCPUs float64 `msgpack:"u"`
	// ArrivalCPUs is the rate at which work was submitted recently, as the number of CPUs that
	// it would keep busy.
	ArrivalCPUs float64   `msgpack:"n"`
	Machines    []Machine `msgpack:"m,omitempty"`
	// StarvedTasks describes tasks that have waited for long, one of each job.
	StarvedTasks []StarvedTask `msgpack:"d,omitempty"`
}

// ZoneMachines counts a shard's machines in one zone, without those that are booting. A machine that
// stays unreconciled for some time after the claim of the shard counts as silent.
type ZoneMachines struct {
	Name          string `msgpack:"n"`
	TotalMachines int    `msgpack:"a"`
	// SilentMachines counts the machines in state MachineSilent, and those that count as silent.
	SilentMachines int `msgpack:"s,omitempty"`
}

// WaitingTasks is a group of waiting tasks with the same requirements, so that the same machines
// can run them.
type WaitingTasks struct {
	Types    []string      `msgpack:"t,omitempty"`
	AnyType  bool          `msgpack:"a,omitempty"` // any type will do; Types is ignored
	Zone     string        `msgpack:"z,omitempty"` // empty: any
	Spot     bool          `msgpack:"s,omitempty"` // the tasks may run on spot machines
	CPUs     float64       `msgpack:"c"`
	GPUs     float64       `msgpack:"g,omitempty"`
	MemGB    float64       `msgpack:"m"`
	Count    int           `msgpack:"w"`
	WorkUS   int64         `msgpack:"u"` // sum of the estimated run times in microseconds
	Priority wire.Priority `msgpack:"p"`
	// SizeCPUs is the mean number of CPUs of a machine that a task takes up, which is more than
	// CPUs if the task takes a larger part of the machine's memory or GPUs.
	SizeCPUs float64 `msgpack:"k,omitempty"`
}

// Size returns how many CPUs of a machine each task takes up. Versions that send no SizeCPUs count
// CPUs only.
func (w *WaitingTasks) Size() float64 { return max(w.CPUs, w.SizeCPUs) }

// StarvedTask is a task that has waited for long although the limits of its team and groups allow
// it to start. The leader finds a machine for it.
type StarvedTask struct {
	Job     string   `msgpack:"j"`
	Types   []string `msgpack:"t,omitempty"`
	AnyType bool     `msgpack:"a,omitempty"` // any type will do; Types is ignored
	// Zone is the zone that the job or its other tasks prescribe; empty: any. ExcludedZones are
	// those in which the job has as many tasks as it may have.
	Zone          string   `msgpack:"z,omitempty"`
	ExcludedZones []string `msgpack:"x,omitempty"`
	Spot          bool     `msgpack:"s,omitempty"` // the task may run on a spot machine
	CPUs          float64  `msgpack:"c"`
	GPUs          float64  `msgpack:"g,omitempty"`
	MemGB         float64  `msgpack:"m"`
	// WaitedUS is the time in microseconds for which none of the job's waiting tasks has started.
	WaitedUS int64 `msgpack:"w"`
	// NoMachine is set if no machine of the shard could run the task even if it were empty.
	NoMachine bool `msgpack:"n,omitempty"`
}

// Machine describes one machine of a shard that is relevant to the leader's decisions.
type Machine struct {
	ID    string       `msgpack:"i"`
	State MachineState `msgpack:"s"`
	// InStateUS is the time in microseconds spent in the state. It is set for idle and silent
	// machines, and for unreconciled machines that leave commands unanswered.
	InStateUS int64 `msgpack:"t"`
	// RemainingUS is the estimated time in microseconds until all tasks of the machine end.
	RemainingUS int64   `msgpack:"l,omitempty"`
	BusyCPUs    float64 `msgpack:"b,omitempty"` // CPUs in use
	// Movable reports whether the machine's tasks may continue on other machines: each can
	// save its progress, or can restart without breaking an objective. LostWorkUS is the work
	// that would then be repeated, in CPU microseconds.
	Movable    bool  `msgpack:"v,omitempty"`
	LostWorkUS int64 `msgpack:"x,omitempty"`
}

// Release asks the owner of a shard to release idle machines to another shard, or to cordon
// them. With Drain the owner also releases machines that have tasks, each once its tasks have
// ended. No task starts on such a machine as long as the leader repeats the request.
type Release struct {
	Machines []string `msgpack:"m"`
	Cordon   bool     `msgpack:"r,omitempty"` // cordon the machines, so that they are returned to the cloud
	Drain    bool     `msgpack:"d,omitempty"`
	Save     bool     `msgpack:"v,omitempty"` // with Drain: stop tasks that can save their progress
	ToShard  int      `msgpack:"s"`           // the shard that receives the machines
}
