package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The least time between two watches of a prefix. The jobs of other controllers are not urgent:
// an owner learns of a new job from the controller that accepted it, and a claim refreshes the
// view of jobs. They are more urgent where a job of this controller is blocked on one of them.
const (
	controlWatchInterval = 80 * micros.Millisecond
	jobWatchInterval     = 400 * micros.Millisecond
	blockedWatchInterval = 120 * micros.Millisecond
)

// The parts of a controller's requests that watches take at most. They are of ClassLease, and
// where records change all the time each ends at once; see statestore.LeaseFraction.
const (
	controlWatchFraction = 0.27
	jobWatchFraction     = 0.18
	quotaWatchFraction   = 0.10 // on top, where groups are kept
)

const (
	// watchTimeout is how long the state service holds a watch open without changes.
	watchTimeout = 5 * micros.Second
	// blockedWatchTimeout is watchTimeout of jobs while a job is blocked on another: two
	// watches without changes must take less than maxBlockedViewAge.
	blockedWatchTimeout = 2 * micros.Second
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
	// watchListing: the keys are listed, page by page.
	watchListing watchPhase = iota
	// watchFollowing: all keys have been listed, and changes are waited for.
	watchFollowing
)

// String returns the name of the phase.
func (p watchPhase) String() string {
	if p == watchFollowing {
		return "following"
	}
	return "listing"
}

// watch keeps the view of the keys with a prefix current: a listing, and from its revision on
// one long poll after the other.
type watch struct {
	prefix       string
	interval     micros.Micros // least time between two requests
	blockTimeout micros.Micros // how long a long poll waits for changes

	phase watchPhase
	// inFlight is set while a request is not answered yet. The next one is made at
	// openedAt+interval, where openedAt is when the last one was made.
	inFlight bool
	openedAt micros.Micros

	// since is the revision up to which changes are known.
	since uint64
	// completeAsOf is the time of which all that the state service held is known, unless it
	// has left memory: when what brought it was asked for, since the answer may have been
	// long on its way.
	completeAsOf micros.Micros

	listing keyListing // under way in watchListing
}

// keyListing is a listing of keys in pages.
type keyListing struct {
	startedAt micros.Micros
	revision  uint64 // of the first page
	after     string // the last key listed; "" before the first page
	keys      map[string]bool
}

// newWatch returns a watch that is about to list its keys.
func newWatch(prefix string, interval micros.Micros) watch {
	return watch{
		prefix:       prefix,
		interval:     interval,
		blockTimeout: watchTimeout,
		openedAt:     -micros.Never,
		completeAsOf: -micros.Never,
	}
}

// ready reports whether all keys have been listed, so that the view is that of completeAsOf.
func (w *watch) ready() bool { return w.phase == watchFollowing }

// listAgain has the keys listed anew by the next request.
func (w *watch) listAgain() { w.phase = watchListing }

// untilNext returns how long until the next request may be made; not above 0: now.
func (w *watch) untilNext(now micros.Micros) micros.Micros { return w.openedAt + w.interval - now }

// nextRequest returns the request that is to be made now, and how long to wait for its answer.
func (w *watch) nextRequest(now micros.Micros) (body any, timeout micros.Micros) {
	w.inFlight = true
	w.openedAt = now
	if w.phase == watchFollowing {
		body = Watch{Prefix: w.prefix, Since: w.since, WaitMS: w.blockTimeout.Millis()}
		return body, w.blockTimeout + watchReplyTimeout
	}
	if w.listing.after == "" {
		w.listing.startedAt = now
	}
	return ListKeys{Prefix: w.prefix, After: w.listing.after, Limit: keysPerPage}, listTimeout
}

// takePage takes in a page of the listing.
func (w *watch) takePage(page *wire.KeyList) {
	l := &w.listing
	if l.after == "" {
		l.revision = page.Revision
		l.keys = map[string]bool{}
	}
	for _, kv := range page.Items {
		l.keys[kv.Key] = true
		l.after = kv.Key
	}
	w.openedAt = -micros.Never // the next request follows at once
}

// finishListing goes over from the listing to following changes.
func (w *watch) finishListing() {
	w.phase = watchFollowing
	w.since = w.listing.revision
	w.completeAsOf = max(w.completeAsOf, w.listing.startedAt)
	w.listing = keyListing{}
}

// takeChanges takes in that all changes up to a revision are known.
func (w *watch) takeChanges(revision uint64) {
	w.since = max(w.since, revision)
	w.completeAsOf = max(w.completeAsOf, w.openedAt)
}

// takeFailure takes in that a watch has ended without an answer that can be used.
func (w *watch) takeFailure(now micros.Micros, status int) {
	if mustListAgain(status) {
		w.listAgain()
		return
	}
	w.openedAt = now // pause before the next request
}

// mustListAgain reports whether the keys have to be listed anew after a watch: the changes are
// no longer kept, or are too many for one answer.
func mustListAgain(status int) bool { return status == http.StatusGone || status == TooLarge }

// watchInterval returns the least time between two watches of a prefix: as given, or more where
// the controller may send so few requests that they took more than the given part.
func (sc *stepContext) watchInterval(least micros.Micros, fraction float64) micros.Micros {
	return max(least, micros.FromSeconds(1/(fraction*sc.stateQueue.RequestRate())))
}

// follow makes the next request of a watch if it is time.
func (c *Controller) follow(w *watch) {
	if w.inFlight {
		return
	}
	if wait := w.untilNext(c.now); wait > 0 {
		c.wakeIn(wait)
		return
	}
	take := c.takeListing
	if w.ready() {
		take = c.takeWatch
	}
	body, timeout := w.nextRequest(c.now)
	c.askState(statestore.ClassLease, body, timeout, func(r statestore.Reply) {
		w.inFlight = false
		take(w, r)
	})
}

// takeWatch takes in the reply to a long poll.
func (c *Controller) takeWatch(w *watch, r statestore.Reply) {
	changes, ok := r.Body.(*wire.Events)
	switch {
	case !ok:
		w.takeFailure(c.now, r.Status)
	case r.Status == http.StatusOK:
		c.ownership.lastStateReplyAt = c.now
		c.applyEvents(changes.Events)
		w.takeChanges(changes.Revision)
	}
	c.follow(w)
}

// takeListing takes in the reply to a page of a listing.
func (c *Controller) takeListing(w *watch, r statestore.Reply) {
	page, ok := r.Body.(*wire.KeyList)
	if !ok || r.Status != http.StatusOK {
		return
	}
	c.ownership.lastStateReplyAt = c.now
	w.takePage(page)
	for _, kv := range page.Items {
		c.applyPut(kv.Key, kv.Value, kv.ModRevision)
	}
	if page.More && len(page.Items) > 0 {
		return
	}
	if w.prefix == wire.PrefixControl {
		c.dropKeysNotListed(w.listing.keys, w.listing.revision)
		c.dropMachinesWithoutRecordSet()
	}
	w.finishListing()
	c.follow(w)
}
