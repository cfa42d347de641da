package wire

// TaskState is the state of a task that its worker reports (protocol: "POST /checkin").
type TaskState string

// States of a task.
const (
	TaskFetching TaskState = "fetching" // waiting for its image
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "flushing" // saving its progress before it stops
	TaskExited   TaskState = "exited"
)

// ExitReason is the reason that a worker reports for the exit of a task (protocol: "POST
// /checkin").
type ExitReason string

// Reasons for the exit of a task.
const (
	ExitDone       ExitReason = "done"
	ExitStopped    ExitReason = "halted"
	ExitError      ExitReason = "error"
	ExitNoCapacity ExitReason = "no_room" // start refused: not enough free resources on the machine
	ExitInUse      ExitReason = "in_use"  // start refused: another attempt of the task is on the machine
	ExitUnknown    ExitReason = "unknown" // start refused: the task does not exist
)

// TaskStatus is the status of one task on a machine.
type TaskStatus struct {
	Task       string     `cbor:"load"` // name of the task, see TaskName
	Attempt    uint64     `cbor:"mount"`
	State      TaskState  `cbor:"stance"`
	ExitReason ExitReason `cbor:"cause,omitempty"`
	Saved      bool       `cbor:"kept,omitempty"` // the task's progress was saved when it was stopped
}

// Heartbeat is a worker's report on itself and its machine (protocol: "POST /checkin"). Of two
// heartbeats, the one with the larger AgentEpoch is newer; within one epoch, the one with the
// larger Sequence.
type Heartbeat struct {
	Machine      string       `cbor:"post"`
	Addr         string       `cbor:"address"`
	Type         string       `cbor:"breed"`
	Zone         string       `cbor:"paddock"`
	Spot         bool         `cbor:"strays"`
	AgentEpoch   uint64       `cbor:"tether"`   // increases each time the worker's lease expires
	Sequence     uint64       `cbor:"tally"`    // increases with each message
	FencingToken uint64       `cbor:"rein"`     // the highest token that the worker has seen
	NoticeS      *float64     `cbor:"warningS"` // seconds until the cloud reclaims the machine; nil: no notice
	Tasks        []TaskStatus `cbor:"loads"`
}

// CommandOp is the operation of a Command (protocol: "POST /checkin").
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
	GraceS  *float64  `cbor:"slackS,omitempty"` // seconds that a stopped task may take to save its progress
}

// HeartbeatReply is the 200 response to a heartbeat. It renews the worker's lease (protocol:
// "Workers -> controller nodes", Tokens and Leases).
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"rein"`
	Commands     []Command `cbor:"calls"`
}

// Redirect is the 421 response to a heartbeat. Without Controller the worker tries the next
// controller.
type Redirect struct {
	Controller string `cbor:"drover,omitempty"` // label of the controller to send heartbeats to
}

// DirectCommand carries commands to a worker outside the response to a heartbeat (protocol: "POST
// /orders"). It does not renew the worker's lease. The worker refuses it unless AgentEpoch equals
// the worker's current epoch.
type DirectCommand struct {
	FencingToken uint64    `cbor:"rein"`
	AgentEpoch   uint64    `cbor:"tether"`
	Commands     []Command `cbor:"calls"`
}
