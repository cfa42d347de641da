package peer

import "garnethitch/quota"

// QuotaRequest asks for the status of all groups of teams, or, with Set, sets a limit.
type QuotaRequest struct {
	Set *SetLimit `msgpack:"s,omitempty"`
}

// SetLimit sets a group's limit in place of the one in the options, or, with Clear, ends that.
type SetLimit struct {
	Group string      `msgpack:"g"`
	Limit quota.Limit `msgpack:"l"`
	Clear bool        `msgpack:"c,omitempty"`
}

// QuotaResponse answers a QuotaRequest.
type QuotaResponse struct {
	Problem string              `msgpack:"p,omitempty"` // why the request was refused
	Epoch   uint64              `msgpack:"e,omitempty"` // of the limit that was set
	Groups  []quota.GroupStatus `msgpack:"g,omitempty"`
	// ControllersWithoutQuota lists the controllers that do not keep groups: limits do not bind them.
	ControllersWithoutQuota []string `msgpack:"w,omitempty"`
}

// TraceContext is the parent span of others' work on a group's quota.
type TraceContext struct {
	Group   string `msgpack:"g"`
	Shard   int    `msgpack:"s"` // the one that asks for more; -1: a limit was announced
	TraceID []byte `msgpack:"t"`
	SpanID  []byte `msgpack:"p"`
	BeganUS int64  `msgpack:"b"`
}
