package wire

// KeyValue is a key of the state service with its value (protocol: "GET /keys/{key}").
// ModRevision is the revision of the key's last change.
type KeyValue struct {
	Key         string `cbor:"path"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"mark"`
}

// KeyList is a page of keys as of a revision.
type KeyList struct {
	Items    []KeyValue `cbor:"rows"`
	More     bool       `cbor:"truncated"` // there are further pages
	Revision uint64     `cbor:"ledger"`
}

// Condition is a condition of a transaction. It holds if the key has this ModRevision or, with
// ModRevision 0, if the key does not exist.
type Condition struct {
	Key         string `cbor:"path"`
	ModRevision uint64 `cbor:"mark"`
}

// Change is a put or a delete in a transaction. Either Put or Delete names the key. A put without
// Lease detaches the key from the lease that it was attached to.
type Change struct {
	Put    string `cbor:"put,omitempty"`
	Value  Raw    `cbor:"v,omitempty"`
	Lease  uint64 `cbor:"halter,omitempty"`
	Delete string `cbor:"drop,omitempty"`
}

// Txn is an atomic transaction (protocol: "POST /multi"). If all conditions hold, all changes are
// applied with one revision; otherwise none is. A transaction without changes only checks the
// conditions.
type Txn struct {
	Conditions []Condition `cbor:"when"`
	Changes    []Change    `cbor:"then"`
}

// Writes returns the number of puts and deletes, which the state service limits.
func (t Txn) Writes() int { return len(t.Changes) }

// Revision is the response to a transaction and to a read of a key that does not exist. Failed
// lists the keys whose condition did not hold.
type Revision struct {
	Revision uint64   `cbor:"ledger"`
	Failed   []string `cbor:"failed"`
}

// NewLease requests a lease (protocol: "POST /grants").
type NewLease struct {
	TTLMS int64 `cbor:"lifeMs"` // time to live in milliseconds
}

// Lease is the response to NewLease.
type Lease struct {
	ID uint64 `cbor:"halter"`
}

// Event is a change returned by a watch. Either Put or Delete names the key.
type Event struct {
	Put         string `cbor:"put"`
	Value       Raw    `cbor:"v"`
	Delete      string `cbor:"drop"`
	ModRevision uint64 `cbor:"mark"`
}

// Events is the response to a watch (protocol: "GET /watch").
type Events struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"events"`
}
