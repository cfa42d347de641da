package peer

// ControllerState is what a controller says of itself in a Status and in a StatusAck.
type ControllerState struct {
	UptimeUS       int64        `msgpack:"u"`
	StateServiceOK bool         `msgpack:"k"`           // the state service has answered it recently
	WithoutWorkers bool         `msgpack:"e,omitempty"` // it receives no heartbeats
	SupportsQuota  bool         `msgpack:"y,omitempty"` // it keeps groups of teams
	Claims         []ShardClaim `msgpack:"o,omitempty"`
	// MisdirectedMachines are machines of the receiver's shards that recently sent their
	// heartbeats to the sender.
	MisdirectedMachines []string `msgpack:"h,omitempty"`
}

// Status is what a controller sends to the others regularly, and after it has taken a shard.
type Status struct {
	ControllerState `msgpack:",inline"`
	Demand          []Demand `msgpack:"d,omitempty"`
	// ReturnedMachines are machines whose return the cloud has confirmed.
	ReturnedMachines []string `msgpack:"g,omitempty"`
	// Cancelled are jobs whose record says that they are cancelled.
	Cancelled []string `msgpack:"x,omitempty"`
	// JobsToCancel are jobs of the sender's shards that depend on a cancelled one, and that the
	// receiver is asked to record as cancelled. A version that does not know the field
	// leaves that to the sender.
	JobsToCancel []string `msgpack:"r,omitempty"`
	// Traces are the contexts of work in progress on groups' quota, sent to controllers
	// that are known to keep groups.
	Traces []TraceContext `msgpack:"t,omitempty"`
}

// StatusAck answers a Status.
type StatusAck struct {
	ControllerState `msgpack:",inline"`
	// QuiescedShards are those shards claimed in the Status for which the receiver issues
	// no commands and will issue none.
	QuiescedShards []int `msgpack:"q,omitempty"`
}

// ShardClaim says that the sender holds a shard.
type ShardClaim struct {
	Shard      int    `msgpack:"s"`
	OwnerEpoch uint64 `msgpack:"m"` // the revision of the claim in the state service
}
