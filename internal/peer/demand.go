package peer

// Demand is what the leader needs to know of a shard to size and divide the fleet.
type Demand struct {
	Shard int `msgpack:"s"`
	// WaitingTasks are the waiting tasks.
	WaitingTasks []WaitingTasks `msgpack:"g,omitempty"`
	CPUs         float64        `msgpack:"c"` // of the usable machines
	BusyCPUs     float64        `msgpack:"b"` // CPUs in use
	// BootingCPUs are the CPUs of machines that have not sent a heartbeat yet.
	BootingCPUs float64 `msgpack:"o,omitempty"`
	// TotalMachines, Silent and Unreconciled count the recorded machines, and those in these states;
	// Machines does not list all of them.
	TotalMachines        int `msgpack:"l,omitempty"`
	SilentMachines       int `msgpack:"k,omitempty"`
	UnreconciledMachines int `msgpack:"q,omitempty"`
	// BlockedUS is how long unreconciled machines will still block older jobs if they send
	// no heartbeat.
	BlockedUS int64          `msgpack:"h,omitempty"`
	Zones     []ZoneMachines `msgpack:"z,omitempty"`
	// RemainingWorkUS is the work left in running tasks, in microseconds of one CPU.
	RemainingWorkUS int64 `msgpack:"w"`
	// GuaranteedCPUs are the CPUs that unfinished jobs within their team's guarantee can use.
	GuaranteedCPUs float64 `msgpack:"u"`
	// ArrivalCPUs is the recently submitted work, in CPUs that it keeps busy.
	ArrivalCPUs float64   `msgpack:"n"`
	Machines    []Machine `msgpack:"m,omitempty"`
}

// ZoneMachines counts a shard's machines in one zone.
type ZoneMachines struct {
	Name           string `msgpack:"n"`
	TotalMachines  int    `msgpack:"a"`           // without those that boot
	SilentMachines int    `msgpack:"s,omitempty"` // those that send no heartbeats any more
}

// WaitingTasks is a set of waiting tasks that the same machines could run.
type WaitingTasks struct {
	Types    []string `msgpack:"t,omitempty"`
	AnyType  bool     `msgpack:"a,omitempty"` // of all types
	Zone     string   `msgpack:"z,omitempty"` // empty: any
	Spot     bool     `msgpack:"s,omitempty"` // spot machines will do
	CPUs     float64  `msgpack:"c"`
	GPUs     float64  `msgpack:"g,omitempty"`
	MemGB    float64  `msgpack:"m"`
	Count    int      `msgpack:"w"`
	WorkUS   int64    `msgpack:"u"` // sum of estimated run times
	Priority int      `msgpack:"p"` // of package wire
}

// Machine is a machine of a shard that matters to the leader.
type Machine struct {
	ID        string       `msgpack:"i"`
	State     MachineState `msgpack:"s"`
	InStateUS int64        `msgpack:"t"` // time spent in the state
	// RemainingUS is how long its tasks will probably still take.
	RemainingUS int64   `msgpack:"l,omitempty"`
	BusyCPUs    float64 `msgpack:"b,omitempty"` // CPUs in use
	// Movable says that its tasks may continue elsewhere: each can save, or starts anew
	// without breaking an objective. LostUS is the work that would be repeated, in
	// microseconds of one CPU.
	Movable    bool  `msgpack:"v,omitempty"`
	LostWorkUS int64 `msgpack:"x,omitempty"`
}

// Release asks an owner to release idle machines to another shard, or to cordon them. With
// Drain it also releases the others, each once it is empty; as long as the leader repeats the
// request no task starts on them.
type Release struct {
	Machines []string `msgpack:"m"`
	Cordon   bool     `msgpack:"r,omitempty"` // cordon them, so that they are returned
	Drain    bool     `msgpack:"d,omitempty"`
	Save     bool     `msgpack:"v,omitempty"` // with Drain: stop tasks that can save
	ToShard  int      `msgpack:"s"`           // that the machines go to
}
