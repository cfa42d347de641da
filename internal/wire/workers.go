package wire

// TaskState is the state of a task as its worker reports it (protocol: "POST /checkin").
type TaskState string

// States of a task.
const (
	TaskFetching TaskState = "fetching" // waiting for its image
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "flushing" // stopping, and saving its progress
	TaskExited   TaskState = "exited"
)

// ExitReason is why a task has exited, as its worker reports it (protocol: "POST /checkin").
type ExitReason string

// Reasons for the exit of a task.
const (
	ExitDone       ExitReason = "done"
	ExitStopped    ExitReason = "halted"
	ExitError      ExitReason = "error"
	ExitNoCapacity ExitReason = "no_room" // start refused: the machine's resources are in use
	ExitInUse      ExitReason = "in_use"  // start refused: another attempt of the task is on the machine
	ExitUnknown    ExitReason = "unknown" // start refused: no such task
)

// TaskStatus is one task on a machine.
type TaskStatus struct {
	Task       string     `cbor:"load"` // see TaskName
	Attempt    uint64     `cbor:"mount"`
	State      TaskState  `cbor:"stance"`
	ExitReason ExitReason `cbor:"cause,omitempty"`
	Saved      bool       `cbor:"kept,omitempty"` // its progress was saved as it was stopped
}

// Heartbeat is a worker's message about itself and its machine (protocol: "POST /checkin").
// The one with the larger AgentEpoch and, within it, the larger Sequence is the newer one.
type Heartbeat struct {
	Machine      string       `cbor:"post"`
	Addr         string       `cbor:"address"`
	Type         string       `cbor:"breed"`
	Zone         string       `cbor:"paddock"`
	Spot         bool         `cbor:"strays"`
	AgentEpoch   uint64       `cbor:"tether"` // grows each time the worker's lease expires
	Sequence     uint64       `cbor:"tally"`  // grows with each message
	FencingToken uint64       `cbor:"rein"`   // the highest that the worker has seen
	NoticeS      *float64     `cbor:"warningS"`
	Tasks        []TaskStatus `cbor:"loads"`
}

// CommandOp is what a Command asks of a worker (protocol: "POST /checkin").
type CommandOp string

// Operations of a Command.
const (
	OpStart  CommandOp = "run"
	OpStop   CommandOp = "halt"
	OpForget CommandOp = "clear"
)

// Command is one command to a worker.
type Command struct {
	Op      CommandOp `cbor:"call"`
	Task    string    `cbor:"load"`
	Attempt uint64    `cbor:"mount"`
	GraceS  *float64  `cbor:"slackS,omitempty"` // seconds that a stopped task may take to save
}

// HeartbeatReply is the 200 answer to a heartbeat. It renews the worker's lease (protocol:
// "Workers -> controller nodes", Tokens and Leases).
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"rein"`
	Commands     []Command `cbor:"calls"`
}

// Redirect is the 421 answer to a heartbeat. Without ReportTo the worker tries the next
// controller.
type Redirect struct {
	Controller string `cbor:"drover,omitempty"` // the label of a controller
}

// DirectCommand carries commands outside an answer to a heartbeat (protocol: "POST /orders").
// It doesn't renew the worker's lease, and is refused unless AgentEpoch is the worker's.
type DirectCommand struct {
	FencingToken uint64    `cbor:"rein"`
	AgentEpoch   uint64    `cbor:"tether"`
	Commands     []Command `cbor:"calls"`
}
