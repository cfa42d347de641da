package peer

// ControllerState describes the sender of a Status or a StatusAck.
type ControllerState struct {
	UptimeUS           int64        `msgpack:"u"`           // microseconds since the controller started
	StateReachable     bool         `msgpack:"k"`           // the state service has responded recently
	WorkersUnreachable bool         `msgpack:"e,omitempty"` // the controller has lost contact with the workers
	EnforcesQuota      bool         `msgpack:"y,omitempty"` // the controller enforces quotas
	Claims             []ShardClaim `msgpack:"o,omitempty"`
	// MisdirectedMachines are machines in the receiver's shards that recently sent their
	// heartbeats to the sender instead.
	MisdirectedMachines []string `msgpack:"h,omitempty"`
}

// Status is sent by each controller to the others at regular intervals, and after it has
// acquired a shard.
type Status struct {
	ControllerState `msgpack:",inline"`
	// Demand describes the sender's shards. It is sent only to the leader.
	Demand []Demand `msgpack:"d,omitempty"`
	// ReturnedMachines are machines whose return the cloud has confirmed.
	ReturnedMachines []string `msgpack:"g,omitempty"`
	// Cancelled are jobs that are recorded as cancelled.
	Cancelled []string `msgpack:"x,omitempty"`
	// JobsToCancel are jobs in the sender's shards that depend on a cancelled job. The sender
	// asks the receiver to record them as cancelled. A version that does not know the field
	// ignores it, and the sender then records them itself.
	JobsToCancel []string `msgpack:"r,omitempty"`
	// Traces are the trace contexts of work in progress on the quota of groups. They are sent
	// only to controllers that are known to enforce the quota of groups.
	Traces []TraceContext `msgpack:"t,omitempty"`
}

// StatusAck answers a Status.
type StatusAck struct {
	ControllerState `msgpack:",inline"`
	// QuiescedShards are the shards claimed in the Status for which the sender of the StatusAck
	// issues no commands now and will issue none.
	QuiescedShards []int `msgpack:"q,omitempty"`
}

// ShardClaim states that the sender owns a shard.
type ShardClaim struct {
	Shard      int    `msgpack:"s"`
	OwnerEpoch uint64 `msgpack:"m"` // the revision of the claim in the state service
}
