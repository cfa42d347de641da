package statestore

// Lookup is the result of reading a record.
type Lookup int

const (
	// LookupFailed means that there was no answer, or no usable answer.
	LookupFailed Lookup = iota
	// LookupFound means that the record exists.
	LookupFound
	// LookupMissing means that the record does not exist.
	LookupMissing
)

var lookupNames = [...]string{
	LookupFailed:  "failed",
	LookupFound:   "found",
	LookupMissing: "missing",
}

// String returns the name of the result.
func (l Lookup) String() string { return lookupNames[l] }
