package peer

// Demand is what the leader needs to know of a shard to size and divide the fleet.
type Demand struct {
	Shard int `msgpack:"s"`
	// Groups are the waiting tasks.
	Groups []WaitingTasks `msgpack:"g,omitempty"`
	CPUs   float64        `msgpack:"c"` // of the usable machines
	Busy   float64        `msgpack:"b"` // CPUs in use
	// Booting are the CPUs of machines that have not sent a heartbeat yet.
	Booting float64 `msgpack:"o,omitempty"`
	// All, Silent and Unreconciled count the recorded machines, and those in these states;
	// Machines does not list all of them.
	All          int `msgpack:"l,omitempty"`
	Silent       int `msgpack:"k,omitempty"`
	Unreconciled int `msgpack:"q,omitempty"`
	// BlockedUS is how long unreconciled machines will still block older jobs if they send
	// no heartbeat.
	BlockedUS int64  `msgpack:"h,omitempty"`
	Zones     []Zone `msgpack:"z,omitempty"`
	// RunLeftUS is the work left in running tasks, in microseconds of one CPU.
	RunLeftUS int64 `msgpack:"w"`
	// Guarantee are the CPUs that unfinished jobs within their team's guarantee can use.
	Guarantee float64 `msgpack:"u"`
	// ArrivalCPUs is the recently submitted work, in CPUs that it keeps busy.
	ArrivalCPUs float64   `msgpack:"n"`
	Machines    []Machine `msgpack:"m,omitempty"`
}

// Zone counts a shard's machines in one zone.
type Zone struct {
	Name   string `msgpack:"n"`
	All    int    `msgpack:"a"`           // without those that boot
	Silent int    `msgpack:"s,omitempty"` // those that send no heartbeats any more
}

// WaitingTasks is a set of waiting tasks that the same machines could run.
type WaitingTasks struct {
	Types    []string `msgpack:"t,omitempty"`
	Any      bool     `msgpack:"a,omitempty"` // of all types
	Zone     string   `msgpack:"z,omitempty"` // empty: any
	Spot     bool     `msgpack:"s,omitempty"` // spot machines will do
	CPUs     float64  `msgpack:"c"`
	GPUs     float64  `msgpack:"g,omitempty"`
	MemGB    float64  `msgpack:"m"`
	Waiting  int      `msgpack:"w"`
	WorkUS   int64    `msgpack:"u"` // sum of estimated run times
	Priority int      `msgpack:"p"` // of package wire
}

// Machine is a machine of a shard that matters to the leader.
type Machine struct {
	ID      string       `msgpack:"i"`
	State   MachineState `msgpack:"s"`
	SinceUS int64        `msgpack:"t"` // time spent in the state
	// LeftUS is how long its tasks will probably still take.
	LeftUS int64   `msgpack:"l,omitempty"`
	Busy   float64 `msgpack:"b,omitempty"` // CPUs in use
	// Movable says that its tasks may continue elsewhere: each can save, or starts anew
	// without breaking an objective. LostUS is the work that would be repeated, in
	// microseconds of one CPU.
	Movable bool  `msgpack:"v,omitempty"`
	LostUS  int64 `msgpack:"x,omitempty"`
}

// Release asks an owner to release idle machines to another shard, or to cordon them. With
// Drain it also releases the others, each once it is empty; as long as the leader repeats the
// request no task starts on them.
type Release struct {
	Machines []string `msgpack:"m"`
	Cordon   bool     `msgpack:"r,omitempty"` // cordon them, so that they are returned
	Drain    bool     `msgpack:"d,omitempty"`
	Save     bool     `msgpack:"v,omitempty"` // with Drain: stop tasks that can save
	Shard    int      `msgpack:"s"`           // that the machines go to
}
