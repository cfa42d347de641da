package statestore

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// WatchTimeout is how long the state service holds a watch open without changes.
	WatchTimeout = 5 * micros.Second
	// watchReplyTimeout is how long the answer to a watch may take beyond its timeout.
	watchReplyTimeout = 2 * micros.Second
	// listTimeout is how long the answer to a listing may take.
	listTimeout = 3 * micros.Second
	// keysPerPage bounds the keys in one page of a listing.
	keysPerPage = 500
)

// watchPhase is how the keys of a watch are followed.
type watchPhase int

const (
	// watchListing means that the keys are listed, page by page.
	watchListing watchPhase = iota
	// watchFollowing means that all keys have been listed, and changes are waited for.
	watchFollowing
)

// String returns the name of the phase.
func (p watchPhase) String() string {
	if p == watchFollowing {
		return "following"
	}
	return "listing"
}

// Watch keeps the view of the keys with a prefix current: a listing, and from its revision on
// one long poll after the other.
type Watch struct {
	Prefix      string
	Interval    micros.Micros // least time between two requests
	PollTimeout micros.Micros // how long a long poll waits for changes

	phase watchPhase
	// InFlight is set while a request is not answered yet. The next one is made at
	// OpenedAt+Interval, where OpenedAt is when the last one was made.
	InFlight bool
	OpenedAt micros.Micros

	// Since is the revision up to which changes are known.
	Since uint64
	// CompleteAsOf is the time of which all that the state service held is known, unless it
	// has left memory: when what brought it was asked for, since the answer may have been
	// long on its way.
	CompleteAsOf micros.Micros

	listing keyListing // under way in watchListing
}

// keyListing is a listing of keys in pages.
type keyListing struct {
	startedAt micros.Micros
	revision  uint64 // of the first page
	after     string // the last key listed; "" before the first page
	keys      map[string]bool
}

// NewWatch returns a watch that is about to list its keys.
func NewWatch(prefix string, interval micros.Micros) Watch {
	return Watch{
		Prefix:       prefix,
		Interval:     interval,
		PollTimeout:  WatchTimeout,
		OpenedAt:     -micros.Never,
		CompleteAsOf: -micros.Never,
	}
}

// Ready reports whether all keys have been listed, so that the view is that of CompleteAsOf.
func (w *Watch) Ready() bool { return w.phase == watchFollowing }

// Relist has the keys listed anew by the next request.
func (w *Watch) Relist() { w.phase = watchListing }

// UntilNext returns how long until the next request may be made; not above 0: now.
func (w *Watch) UntilNext(now micros.Micros) micros.Micros { return w.OpenedAt + w.Interval - now }

// NextRequest returns the request that is to be made now, and how long to wait for its answer.
func (w *Watch) NextRequest(now micros.Micros) (body any, timeout micros.Micros) {
	w.InFlight = true
	w.OpenedAt = now
	if w.phase == watchFollowing {
		body = WatchKeys{Prefix: w.Prefix, Since: w.Since, WaitMS: w.PollTimeout.Millis()}
		return body, w.PollTimeout + watchReplyTimeout
	}
	if w.listing.after == "" {
		w.listing.startedAt = now
	}
	return ListKeys{Prefix: w.Prefix, After: w.listing.after, Limit: keysPerPage}, listTimeout
}

// AddPage takes in a page of the listing.
func (w *Watch) AddPage(page *wire.KeyList) {
	listing := &w.listing
	if listing.after == "" {
		listing.revision = page.Revision
		listing.keys = map[string]bool{}
	}
	for _, kv := range page.Items {
		listing.keys[kv.Key] = true
		listing.after = kv.Key
	}
	w.OpenedAt = -micros.Never // the next request follows at once
}

// FinishListing goes over from the listing to following changes.
func (w *Watch) FinishListing() {
	w.phase = watchFollowing
	w.Since = w.listing.revision
	w.CompleteAsOf = max(w.CompleteAsOf, w.listing.startedAt)
	w.listing = keyListing{}
}

// Listed returns the keys of the listing under way, and the revision of its first page.
func (w *Watch) Listed() (keys map[string]bool, revision uint64) {
	return w.listing.keys, w.listing.revision
}

// AdvanceTo takes in that all changes up to a revision are known.
func (w *Watch) AdvanceTo(revision uint64) {
	w.Since = max(w.Since, revision)
	w.CompleteAsOf = max(w.CompleteAsOf, w.OpenedAt)
}

// HandleFailure takes in that a watch has ended without an answer that can be used.
func (w *Watch) HandleFailure(now micros.Micros, status int) {
	if MustRelist(status) {
		w.Relist()
		return
	}
	w.OpenedAt = now // pause before the next request
}

// MustRelist reports whether the keys have to be listed anew after a watch: the changes are
// no longer kept, or are too many for one answer.
func MustRelist(status int) bool {
	return status == http.StatusGone || status == http.StatusRequestEntityTooLarge
}
