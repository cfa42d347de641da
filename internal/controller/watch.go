package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The minimum time between two requests of a watch. Changes of other controllers' jobs are not
// urgent: an owner learns of a new job from the controller that accepted it, and refreshes its view
// of jobs after a claim. They are more urgent while a job of this controller is blocked by one of
// them.
const (
	controlWatchInterval = 80 * micros.Millisecond
	jobWatchInterval     = 400 * micros.Millisecond
	blockedWatchInterval = 120 * micros.Millisecond
)

// The maximum fractions of a controller's requests that the watches may take. Watches are sent in
// ClassLease, and each ends at once where records change all the time; see
// statestore.LeaseFraction.
const (
	controlWatchFraction = 0.27
	jobWatchFraction     = 0.18
	quotaWatchFraction   = 0.10 // in addition to the others, if there are quota groups
)

// blockedWatchTimeout is the timeout of the job watch while a job is blocked by another: two
// watches without changes must take less than maxBlockedViewAge.
const blockedWatchTimeout = 2 * micros.Second

// watchInterval returns the minimum time between two requests of a watch: minInterval, or longer if
// the requests would otherwise exceed the given fraction of the controller's request rate.
func (sc *stepContext) watchInterval(minInterval micros.Micros, fraction float64) micros.Micros {
	return max(minInterval, micros.FromSeconds(1/(fraction*sc.stateQueue.RequestRate())))
}

// continueWatch sends the next request of a watch if it is due.
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

// handleWatchReply handles the reply to a long poll.
func (c *Controller) handleWatchReply(w *statestore.Watch, r statestore.Reply) {
	changes, ok := r.Body.(*wire.Events)
	switch {
	case !ok:
		w.HandleFailure(c.now, r.Status)
	case r.Status == http.StatusOK:
		c.ownership.lastStateReplyAt = c.now
		c.applyEvents(changes.Events)
		w.AdvanceTo(changes.Revision)
	}
	c.continueWatch(w)
}

// handleListingReply handles the reply to a page of a listing.
func (c *Controller) handleListingReply(w *statestore.Watch, r statestore.Reply) {
	page, ok := r.Body.(*wire.KeyList)
	if !ok || r.Status != http.StatusOK {
		return
	}
	c.ownership.lastStateReplyAt = c.now
	w.AddPage(page)
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
