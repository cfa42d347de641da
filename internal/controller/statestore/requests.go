package statestore

// Requests to the state service that have no body. A transaction is a wire.Txn, a new lease a
// wire.NewLease.
type (
	// GetKey reads a key. It is answered with a wire.KeyValue, or 404.
	GetKey struct{ Key string }
	// ListKeys reads a page of at most Limit keys with a prefix, from the first one after
	// After on. It is answered with a wire.KeyList.
	ListKeys struct {
		Prefix, After string
		Limit         int
	}
	// WatchKeys waits for changes of keys with a prefix after the revision Since, for WaitMS
	// milliseconds at most. It is answered with wire.Events.
	WatchKeys struct {
		Prefix string
		Since  uint64
		WaitMS int64
	}
	// RenewLease extends a lease.
	RenewLease struct{ Lease uint64 }
)
