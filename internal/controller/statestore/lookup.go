package statestore

// Lookup is what a read of a record found.
type Lookup int

const (
	// LookupFailed means that there was no answer, or none that can be used.
	LookupFailed Lookup = iota
	// LookupFound means that the record stands.
	LookupFound
	// LookupMissing means that there is no record.
	LookupMissing
)

var lookupNames = [...]string{
	LookupFailed:  "failed",
	LookupFound:   "found",
	LookupMissing: "missing",
}

// String returns the name of what was found.
func (l Lookup) String() string { return lookupNames[l] }
