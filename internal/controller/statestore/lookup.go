package statestore

// Lookup is what a read of a record found.
type Lookup int

const (
	// LookupFailed: there was no answer, or none that can be used.
	LookupFailed Lookup = iota
	// LookupFound: the record stands.
	LookupFound
	// LookupMissing: there is no record.
	LookupMissing
)

var lookupNames = [...]string{
	LookupFailed:  "failed",
	LookupFound:   "found",
	LookupMissing: "missing",
}

// String returns the name of what was found.
func (l Lookup) String() string { return lookupNames[l] }
