package statestore

// Requests to the state service that have no body. The requests that have one are wire.Txn for a
// transaction and wire.NewLease for a new lease.
type (
	// GetKey reads a key. The answer is a wire.KeyValue, or status 404.
	GetKey struct{ Key string }
	// ListKeys reads a page of at most Limit keys with a prefix, starting with the first key after
	// After. The answer is a wire.KeyList.
	ListKeys struct {
		Prefix, After string
		Limit         int
	}
	// WatchKeys waits at most WaitMS milliseconds for changes after the revision Since to keys
	// with a prefix. The answer is a wire.Events.
	WatchKeys struct {
		Prefix string
		Since  uint64
		WaitMS int64
	}
	// RenewLease extends a lease.
	RenewLease struct{ Lease uint64 }
)
