package peer

import "garnethitch/quota"

// QuotaRequest asks for the quota status of all groups of teams or, with Set, sets a group's
// limit.
type QuotaRequest struct {
	Set *SetLimit `msgpack:"s,omitempty"`
}

// SetLimit overrides the limit that the options give a group or, with Clear, removes the
// override.
type SetLimit struct {
	Group string      `msgpack:"g"`
	Limit quota.Limit `msgpack:"l"`
	Clear bool        `msgpack:"c,omitempty"`
}

// QuotaResponse answers a QuotaRequest.
type QuotaResponse struct {
	Problem string              `msgpack:"p,omitempty"` // why the request was refused
	Epoch   uint64              `msgpack:"e,omitempty"` // epoch of the limit that was set
	Groups  []quota.GroupStatus `msgpack:"g,omitempty"`
	// ControllersWithoutQuota lists the labels of the other controllers that have not reported
	// that they enforce the quota of groups: their version or their options have no groups, or
	// the answering controller has not heard of them since it started.
	ControllersWithoutQuota []string `msgpack:"w,omitempty"`
}

// TraceContext identifies a span of the sender's work on a group's quota. Other controllers use it
// as the parent of the spans of their related work.
type TraceContext struct {
	Group string `msgpack:"g"`
	// Shard is the shard that asks for more quota, or -1 if the work follows from an announced
	// limit.
	Shard   int    `msgpack:"s"`
	TraceID []byte `msgpack:"t"`
	SpanID  []byte `msgpack:"p"`
	BeganUS int64  `msgpack:"b"` // Unix time in microseconds at which the trace began
}
