package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The least time between two watches of a prefix. The jobs of other controllers are not urgent:
// an owner receives a new job from the controller that accepted it, and a claim refreshes the
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

// blockedWatchTimeout is the timeout of the watch of jobs while a job is blocked on another: two
// watches without changes must take less than maxBlockedViewAge.
const blockedWatchTimeout = 2 * micros.Second

// watchInterval returns the least time between two watches of a prefix: as given, or more where
// the controller may send so few requests that they took more than the given part.
func (sc *stepContext) watchInterval(minInterval micros.Micros, fraction float64) micros.Micros {
	return max(minInterval, micros.FromSeconds(1/(fraction*sc.stateQueue.RequestRate())))
}

// continueWatch makes the next request of a watch if it is time.
func (c *Controller) continueWatch(w *statestore.Watch) {
	if w.InFlight {
		return
	}
	if wait := w.UntilNext(c.now); wait > 0 {
		c.wakeIn(wait)
		return
	}
	handle := c.handleListingReply
	if w.Ready() {
		handle = c.handleWatchReply
	}
	body, timeout := w.NextRequest(c.now)
	c.queueStateRequest(statestore.ClassLease, body, timeout, func(r statestore.Reply) {
		w.InFlight = false
		handle(w, r)
	})
}

// handleWatchReply takes in the reply to a long poll.
func (c *Controller) handleWatchReply(w *statestore.Watch, r statestore.Reply) {
	changes, ok := r.Body.(*wire.Events)
	switch {
	case !ok:
		w.TakeFailure(c.now, r.Status)
	case r.Status == http.StatusOK:
		c.ownership.lastStateReplyAt = c.now
		c.applyEvents(changes.Events)
		w.TakeChanges(changes.Revision)
	}
	c.continueWatch(w)
}

// handleListingReply takes in the reply to a page of a listing.
func (c *Controller) handleListingReply(w *statestore.Watch, r statestore.Reply) {
	page, ok := r.Body.(*wire.KeyList)
	if !ok || r.Status != http.StatusOK {
		return
	}
	c.ownership.lastStateReplyAt = c.now
	w.TakePage(page)
	for _, kv := range page.Items {
		c.applyPut(kv.Key, kv.Value, kv.ModRevision)
	}
	if page.More && len(page.Items) > 0 {
		return
	}
	if w.Prefix == wire.PrefixControl {
		c.dropUnlistedKeys(w.Listed())
		c.dropMachinesWithoutRecordSet()
	}
	w.FinishListing()
	c.continueWatch(w)
}
