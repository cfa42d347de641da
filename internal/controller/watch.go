package controller

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// How a node follows the records of the state service: a listing, then a watch.

// watched is a prefix followed by one long poll.
type watched struct {
	prefix       string
	since        uint64
	ready        bool
	inFlight     bool
	openedAt     micros.Micros
	interval     micros.Micros
	blockTimeout micros.Micros // how long a watch waits for changes
	listed       map[string]bool
	after        string
	listRevision uint64 // revision of the listing's first page
	// completeAsOf: all that stood then is known, unless it has left memory. It is when
	// what brought it was asked for, since the answer may have been long on its way.
	completeAsOf  micros.Micros
	listStartedAt micros.Micros // when the listing under way began
}

// What the others' jobs do is nobody's hurry: an owner hears of a new job from the
// node that took it, and a claim looks by itself. Where a job of this node is held
// until another's job is done, it is.
const (
	controlWatchInterval = 80 * micros.Millisecond
	jobWatchInterval     = 400 * micros.Millisecond
	blockedWatchInterval = 120 * micros.Millisecond
)

// Watches go with leases, before all else, and where records change all the time each ends
// at once. These are the parts of this node's requests that they take at most; see leaseFraction.
const (
	controlWatchFraction = 0.27
	jobWatchFraction     = 0.18
	quotaWatchFraction   = 0.10 // on top, where groups are kept
)

// watchInterval is the least time between two watches of a prefix: as given, or more where the
// state service takes few requests.
func (c *Controller) watchInterval(every micros.Micros, part float64) micros.Micros {
	return max(every, micros.FromSeconds(1/(part*c.stateQueue.requests.rate)))
}

// watchTimeout is how long a watch waits for changes. Where a job is held the view of jobs must
// stay newer than maxBlockedViewAge: two watches that bring nothing take less.
const (
	watchTimeout        = 5 * micros.Second
	blockedWatchTimeout = 2 * micros.Second
)

// follow keeps a prefix listed and watched.
func (c *Controller) follow(w *watched) {
	if w.inFlight {
		return
	}
	if wait := w.openedAt + w.interval - c.now; wait > 0 {
		c.wakeIn(wait)
		return
	}
	w.inFlight = true
	w.openedAt = c.now
	if !w.ready {
		c.listPage(w)
		return
	}
	req, asked := Watch{Prefix: w.prefix, Since: w.since, WaitMS: w.blockTimeout.Millis()}, c.now
	c.askState(classLease, req, w.blockTimeout+2*micros.Second, func(r Result) {
		w.inFlight = false
		switch body := r.Body.(type) {
		case *wire.Events:
			if r.Status != http.StatusOK {
				break
			}
			c.ownership.lastStateReplyAt = c.now
			c.applyEvents(body.Events)
			w.since = max(w.since, body.Revision)
			w.completeAsOf = max(w.completeAsOf, asked)
		default:
			if mustListAgain(r.Status) {
				w.ready = false
			} else {
				w.openedAt = c.now // pause before the next try
			}
		}
		c.follow(w)
	})
}

// mustListAgain: changes since then are no longer kept, or are too many for one
// answer, as after an outage or a freeze. What stands is listed again.
func mustListAgain(status int) bool { return status == http.StatusGone || status == TooLarge }

func (c *Controller) listPage(w *watched) {
	const page = 500
	if w.after == "" {
		w.listStartedAt = c.now
	}
	c.askState(classLease, ListKeys{Prefix: w.prefix, After: w.after, Limit: page}, 3*micros.Second, func(r Result) {
		w.inFlight = false
		body, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != http.StatusOK {
			return
		}
		c.ownership.lastStateReplyAt = c.now
		if w.after == "" {
			w.listRevision = body.Revision
			w.listed = map[string]bool{}
		}
		for _, kv := range body.Items {
			w.listed[kv.Key] = true
			w.after = kv.Key
			c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		}
		w.openedAt = -micros.Never
		if body.More && len(body.Items) > 0 {
			return
		}
		if w.prefix == wire.PrefixControl {
			c.dropKeysNotListed(w.listed, w.listRevision)
			c.dropMachinesWithoutRecordSet()
		}
		w.ready, w.since, w.after, w.listed = true, w.listRevision, "", nil
		w.completeAsOf = max(w.completeAsOf, w.listStartedAt)
		c.follow(w)
	})
}

// dropKeysNotListed applies the deletions that a fresh listing shows.
func (c *Controller) dropKeysNotListed(listed map[string]bool, revision uint64) {
	for _, s := range c.ownership.shards {
		if key := ownerKey(s.id); s.ownerEpoch != 0 && s.ownerEpoch <= revision && !listed[key] {
			c.applyDelete(key, revision)
		} else if s.ownerEpoch == 0 && s.absentSince == 0 {
			s.absentSince = c.now
		}
	}
	if l := &c.ownership.leader; l.ownerEpoch != 0 && l.ownerEpoch <= revision && !listed[wire.KeyLeader] {
		c.applyDelete(wire.KeyLeader, revision)
	} else if l.ownerEpoch == 0 && l.absentSince == 0 {
		l.absentSince = c.now
	}
	for _, key := range sortedKeys(c.machineRecords.sets) {
		if b := c.machineRecords.sets[key]; b.modRevision <= revision && !listed[key] {
			c.machineRecords.drop(b)
		}
	}
}

// applyPut takes a key's value, from a watch, a listing or a read. Older ones
// than known are ignored.
func (c *Controller) applyPut(key string, value wire.Raw, modRevision uint64) {
	bad := func(err error) { c.log(Error, "record not readable, ignored", "key", key, "error", err) }
	switch {
	case strings.HasPrefix(key, wire.PrefixOwner):
		id, err := strconv.Atoi(key[len(wire.PrefixOwner):])
		if err != nil || id < 0 || id >= len(c.ownership.shards) {
			return
		}
		s := c.ownership.shards[id]
		var rec wire.OwnerRecord
		if modRevision <= s.ownerEpoch {
			return
		}
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.setOwner(s, rec, modRevision)
	case key == wire.KeyLeader:
		l := &c.ownership.leader
		if modRevision <= l.ownerEpoch {
			return
		}
		var rec wire.OwnerRecord
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		l.owner, l.ownerEpoch = rec, modRevision
		if c.isMine(l) {
			c.startLeading()
		}
	case key == wire.KeyTypes:
		var rec wire.MachineTypes
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.fleet.typesModRevision = max(c.fleet.typesModRevision, modRevision)
		c.learnTypes(rec, false)
	case strings.HasPrefix(key, wire.PrefixFleet):
		var rec wire.MachineRecordSet
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.applyMachineRecordSet(key, rec, modRevision)
	case strings.HasPrefix(key, wire.PrefixQuota):
		var rec quota.Record
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.learnQuota(key[len(wire.PrefixQuota):], rec, modRevision)
	case strings.HasPrefix(key, wire.PrefixJob):
		var rec wire.JobRecord
		if err := wire.Decode(value, &rec); err != nil {
			c.jobs.unusable[key[len(wire.PrefixJob):]] = true
			bad(err)
			return
		}
		c.learnJob(key[len(wire.PrefixJob):], rec, modRevision)
	}
}

func (c *Controller) applyDelete(key string, modRevision uint64) {
	switch {
	case strings.HasPrefix(key, wire.PrefixOwner):
		id, err := strconv.Atoi(key[len(wire.PrefixOwner):])
		if err != nil || id < 0 || id >= len(c.ownership.shards) {
			return
		}
		if s := c.ownership.shards[id]; modRevision >= s.ownerEpoch {
			s.ownerEpoch, s.owner, s.absentSince = 0, wire.OwnerRecord{}, c.now
			if s.active {
				c.deactivate(s)
			}
		}
	case key == wire.KeyLeader:
		if l := &c.ownership.leader; modRevision >= l.ownerEpoch {
			l.ownerEpoch, l.owner, l.absentSince = 0, wire.OwnerRecord{}, c.now
		}
	case strings.HasPrefix(key, wire.PrefixFleet):
		if b := c.machineRecords.sets[key]; b != nil && modRevision >= b.modRevision {
			c.machineRecords.drop(b)
		}
	}
}

func (c *Controller) applyEvents(events []wire.Event) {
	for _, e := range events {
		if e.Put != "" {
			c.applyPut(e.Put, e.Value, e.ModRevision)
		} else if e.Delete != "" {
			c.applyDelete(e.Delete, e.ModRevision)
		}
	}
	c.dropMachinesWithoutRecordSet()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
