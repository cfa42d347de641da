package core

import (
	"maps"
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
	prefix   string
	since    uint64
	ready    bool
	busy     bool
	openedAt micros.Micros
	every    micros.Micros
	block    micros.Micros // how long a watch waits for changes
	listed   map[string]bool
	after    string
	first    uint64 // revision of the listing's first page
	// completeAt: all that stood then is known, unless it has left memory. It is when
	// what brought it was asked for, since the answer may have been long on its way.
	completeAt micros.Micros
	listFrom   micros.Micros // when the listing under way began
}

// What the others' jobs do is nobody's hurry: an owner hears of a new job from the
// node that took it, and a claim looks by itself. Where a job of this node is held
// until another's job is done, it is.
const (
	controlWatchEvery = 80 * micros.Millisecond
	jobWatchEvery     = 400 * micros.Millisecond
	heldWatchEvery    = 120 * micros.Millisecond
)

// Watches go with leases, before all else, and where records change all the time each ends
// at once. These are the parts of this node's requests that they take at most; see leasePart.
const (
	controlWatchPart = 0.27
	jobWatchPart     = 0.18
	quotaWatchPart   = 0.10 // on top, where groups are kept
)

// watchEvery is the least time between two watches of a prefix: as given, or more where the
// state service takes few requests.
func (c *Core) watchEvery(every micros.Micros, part float64) micros.Micros {
	return max(every, micros.FromSeconds(1/(part*c.stateq.requests.rate)))
}

// watchBlock is how long a watch waits for changes. Where a job is held the view of jobs must
// stay newer than maxHeldViewAge: two watches that bring nothing take less.
const (
	watchBlock     = 5 * micros.Second
	heldWatchBlock = 2 * micros.Second
)

// follow keeps a prefix listed and watched.
func (c *Core) follow(w *watched) {
	if w.busy {
		return
	}
	if wait := w.openedAt + w.every - c.now; wait > 0 {
		c.wakeIn(wait)
		return
	}
	w.busy = true
	w.openedAt = c.now
	if !w.ready {
		c.listPage(w)
		return
	}
	req, asked := Watch{Prefix: w.prefix, Since: w.since, WaitMS: w.block.Millis()}, c.now
	c.askState(classLease, req, w.block+2*micros.Second, func(r Result) {
		w.busy = false
		switch body := r.Body.(type) {
		case *wire.Events:
			if r.Status != 200 {
				break
			}
			c.own.contact = c.now
			c.applyEvents(body.Events)
			w.since = max(w.since, body.Revision)
			w.completeAt = max(w.completeAt, asked)
		default:
			if outgrown(r.Status) {
				w.ready = false
			} else {
				w.openedAt = c.now // pause before the next try
			}
		}
		c.follow(w)
	})
}

// outgrown: changes since then are no longer kept, or are too many for one
// answer, as after an outage or a freeze. What stands is listed again.
func outgrown(status int) bool { return status == 410 || status == TooLarge }

func (c *Core) listPage(w *watched) {
	const page = 500
	if w.after == "" {
		w.listFrom = c.now
	}
	c.askState(classLease, ListKeys{Prefix: w.prefix, After: w.after, Limit: page}, 3*micros.Second, func(r Result) {
		w.busy = false
		body, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != 200 {
			return
		}
		c.own.contact = c.now
		if w.after == "" {
			w.first = body.Revision
			w.listed = map[string]bool{}
		}
		for _, kv := range body.Items {
			w.listed[kv.Key] = true
			w.after = kv.Key
			c.applyPut(kv.Key, kv.Value, kv.Version)
		}
		w.openedAt = -micros.Never
		if body.More && len(body.Items) > 0 {
			return
		}
		if w.prefix == wire.PrefixControl {
			c.dropUnlisted(w.listed, w.first)
			c.dropUnlistedMachines()
		}
		w.ready, w.since, w.after, w.listed = true, w.first, "", nil
		w.completeAt = max(w.completeAt, w.listFrom)
		c.follow(w)
	})
}

// dropUnlisted applies the deletions that a fresh listing shows.
func (c *Core) dropUnlisted(listed map[string]bool, revision uint64) {
	for _, s := range c.own.shares {
		if key := ownerKey(s.id); s.mark != 0 && s.mark <= revision && !listed[key] {
			c.applyDelete(key, revision)
		} else if s.mark == 0 && s.absentSince == 0 {
			s.absentSince = c.now
		}
	}
	if l := &c.own.leader; l.mark != 0 && l.mark <= revision && !listed[wire.KeyLeader] {
		c.applyDelete(wire.KeyLeader, revision)
	} else if l.mark == 0 && l.absentSince == 0 {
		l.absentSince = c.now
	}
	for _, key := range sortedKeys(c.batches) {
		if b := c.batches[key]; b.mark <= revision && !listed[key] {
			c.dropBatch(b)
		}
	}
}

// applyPut takes a key's value, from a watch, a listing or a read. Older ones
// than known are ignored.
func (c *Core) applyPut(key string, value wire.Raw, mark uint64) {
	bad := func(err error) { c.log(Error, "record not readable, ignored", "key", key, "error", err) }
	switch {
	case strings.HasPrefix(key, wire.PrefixOwner):
		id, err := strconv.Atoi(key[len(wire.PrefixOwner):])
		if err != nil || id < 0 || id >= len(c.own.shares) {
			return
		}
		s := c.own.shares[id]
		var rec wire.OwnerRecord
		if mark <= s.mark {
			return
		}
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.setOwner(s, rec, mark)
	case key == wire.KeyLeader:
		l := &c.own.leader
		if mark <= l.mark {
			return
		}
		var rec wire.OwnerRecord
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		l.rec, l.mark = rec, mark
		if c.isMine(l) {
			c.startLeading()
		}
	case key == wire.KeyTypes:
		var rec wire.MachineTypes
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.fleet.typesMark = max(c.fleet.typesMark, mark)
		c.learnTypes(rec, false)
	case strings.HasPrefix(key, wire.PrefixFleet):
		var rec wire.BatchRecord
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.setBatch(key, rec, mark)
	case strings.HasPrefix(key, wire.PrefixQuota):
		var rec quota.Record
		if err := wire.Decode(value, &rec); err != nil {
			bad(err)
			return
		}
		c.learnQuota(key[len(wire.PrefixQuota):], rec, mark)
	case strings.HasPrefix(key, wire.PrefixJob):
		var rec wire.JobRecord
		if err := wire.Decode(value, &rec); err != nil {
			c.jobs.unusable[key[len(wire.PrefixJob):]] = true
			bad(err)
			return
		}
		c.learnJob(key[len(wire.PrefixJob):], rec, mark)
	}
}

func (c *Core) applyDelete(key string, mark uint64) {
	switch {
	case strings.HasPrefix(key, wire.PrefixOwner):
		id, err := strconv.Atoi(key[len(wire.PrefixOwner):])
		if err != nil || id < 0 || id >= len(c.own.shares) {
			return
		}
		if s := c.own.shares[id]; mark >= s.mark {
			s.mark, s.rec, s.absentSince = 0, wire.OwnerRecord{}, c.now
			if s.active {
				c.deactivate(s)
			}
		}
	case key == wire.KeyLeader:
		if l := &c.own.leader; mark >= l.mark {
			l.mark, l.rec, l.absentSince = 0, wire.OwnerRecord{}, c.now
		}
	case strings.HasPrefix(key, wire.PrefixFleet):
		if b := c.batches[key]; b != nil && mark >= b.mark {
			c.dropBatch(b)
		}
	}
}

func (c *Core) applyEvents(events []wire.Event) {
	for _, e := range events {
		if e.Put != "" {
			c.applyPut(e.Put, e.Value, e.Version)
		} else if e.Delete != "" {
			c.applyDelete(e.Delete, e.Version)
		}
	}
	c.dropUnlistedMachines()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
