package wire

// KeyValue is a key of the state service with its value (protocol: "GET /keys/{key}").
// ModRevision is the revision of its last change.
type KeyValue struct {
	Key         string `cbor:"path"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"mark"`
}

// KeyList is a page of keys, as of a revision.
type KeyList struct {
	Items    []KeyValue `cbor:"rows"`
	More     bool       `cbor:"truncated"`
	Revision uint64     `cbor:"ledger"`
}

// Condition of a transaction: the key has this ModRevision; 0: it does not exist.
type Condition struct {
	Key         string `cbor:"path"`
	ModRevision uint64 `cbor:"mark"`
}

// Change is a put or a delete in a transaction: Put or Delete names the key. A put without
// Lease detaches the key from its lease.
type Change struct {
	Put    string `cbor:"put,omitempty"`
	Value  Raw    `cbor:"v,omitempty"`
	Lease  uint64 `cbor:"halter,omitempty"`
	Delete string `cbor:"drop,omitempty"`
}

// Txn is an atomic transaction (protocol: "POST /multi"): all changes are made, with one
// revision, if all conditions hold. Without changes it only compares.
type Txn struct {
	Conditions []Condition `cbor:"when"`
	Changes    []Change    `cbor:"then"`
}

// Writes is the number of puts and deletes, which the state service limits.
func (t Txn) Writes() int { return len(t.Changes) }

// Revision is the answer to a transaction, with the keys whose condition failed, and to a
// read of a key that does not exist.
type Revision struct {
	Revision uint64   `cbor:"ledger"`
	Failed   []string `cbor:"failed"`
}

// NewLease asks for a lease (protocol: "POST /grants").
type NewLease struct {
	TTLMS int64 `cbor:"lifeMs"`
}

// Lease is a lease that was granted.
type Lease struct {
	ID uint64 `cbor:"halter"`
}

// Event is a change that a watch has seen: Put or Delete names the key.
type Event struct {
	Put         string `cbor:"put"`
	Value       Raw    `cbor:"v"`
	Delete      string `cbor:"drop"`
	ModRevision uint64 `cbor:"mark"`
}

// Events is the answer to a watch (protocol: "GET /watch").
type Events struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"events"`
}
