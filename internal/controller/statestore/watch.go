package statestore

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// WatchTimeout is how long the state service holds a watch request open while there are no
	// changes.
	WatchTimeout = 5 * micros.Second
	// watchReplyTimeout is how long the answer to a watch request may take beyond the time for
	// which it is held open.
	watchReplyTimeout = 2 * micros.Second
	// listTimeout is how long the answer to a listing may take.
	listTimeout = 3 * micros.Second
	// keysPerPage bounds the keys in one page of a listing.
	keysPerPage = 500
)

// watchPhase is the phase of a Watch.
type watchPhase int

const (
	// watchListing means that the keys are being listed page by page.
	watchListing watchPhase = iota
	// watchFollowing means that all keys have been listed and the watch waits for changes.
	watchFollowing
)

// String returns the name of the phase.
func (p watchPhase) String() string {
	if p == watchFollowing {
		return "following"
	}
	return "listing"
}

// Watch tracks the keys with a prefix. It lists all keys first, and then follows changes from the
// listing's revision by consecutive long polls. The caller sends the requests.
type Watch struct {
	Prefix      string
	Interval    micros.Micros // minimum time between two requests
	PollTimeout micros.Micros // how long a long poll waits for changes

	phase watchPhase
	// InFlight is true while a request is unanswered. OpenedAt is when the last request was made;
	// the next one may be made at OpenedAt+Interval.
	InFlight bool
	OpenedAt micros.Micros

	// Since is the revision up to which all changes are known.
	Since uint64
	// CompleteAsOf is the time as of which everything in the state service has been received,
	// although the receiver may have dropped some of it from memory since. It is the time of the
	// request rather than of the answer, because the answer may have been delayed.
	CompleteAsOf micros.Micros

	listing keyListing // only used while the phase is watchListing
}

// keyListing is the progress of listing keys in pages.
type keyListing struct {
	startedAt micros.Micros
	revision  uint64 // of the first page
	after     string // the last key listed; "" before the first page
	keys      map[string]bool
}

// NewWatch returns a watch that starts by listing its keys.
func NewWatch(prefix string, interval micros.Micros) Watch {
	return Watch{
		Prefix:       prefix,
		Interval:     interval,
		PollTimeout:  WatchTimeout,
		OpenedAt:     -micros.Never,
		CompleteAsOf: -micros.Never,
	}
}

// Ready reports whether all keys have been listed, so that the view is complete as of
// CompleteAsOf.
func (w *Watch) Ready() bool { return w.phase == watchFollowing }

// Relist makes the next request list the keys again.
func (w *Watch) Relist() { w.phase = watchListing }

// UntilNext returns how long until the next request may be made. A value of 0 or less means now.
func (w *Watch) UntilNext(now micros.Micros) micros.Micros { return w.OpenedAt + w.Interval - now }

// NextRequest returns the request to send now, and how long to wait for its answer.
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

// AddPage adds a page to the listing.
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

// FinishListing switches from listing keys to following changes.
func (w *Watch) FinishListing() {
	w.phase = watchFollowing
	w.Since = w.listing.revision
	w.CompleteAsOf = max(w.CompleteAsOf, w.listing.startedAt)
	w.listing = keyListing{}
}

// Listed returns the keys listed so far, and the revision of the first page.
func (w *Watch) Listed() (keys map[string]bool, revision uint64) {
	return w.listing.keys, w.listing.revision
}

// AdvanceTo records that all changes up to a revision are known.
func (w *Watch) AdvanceTo(revision uint64) {
	w.Since = max(w.Since, revision)
	w.CompleteAsOf = max(w.CompleteAsOf, w.OpenedAt)
}

// HandleFailure records that a watch request ended with the given HTTP status and without a usable
// answer.
func (w *Watch) HandleFailure(now micros.Micros, status int) {
	if MustRelist(status) {
		w.Relist()
		return
	}
	w.OpenedAt = now // pause before the next request
}

// MustRelist reports whether the HTTP status of a watch answer requires listing the keys again:
// the changes are no longer kept, or are too many for one answer.
func MustRelist(status int) bool {
	return status == http.StatusGone || status == http.StatusRequestEntityTooLarge
}
