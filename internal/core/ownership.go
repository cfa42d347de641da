package core

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// role is a duty that one node holds by a key in the state service.
type role struct {
	rec         wire.OwnerRecord
	mark        uint64 // 0: nobody
	absentSince micros.Micros
	claiming    bool
}

// share is a set of teams (or of jobs) with the machines recorded to it.
type share struct {
	role
	id       int
	machines []*machine // on record, in order of name
	touched  []*machine // their tallies are to be counted again
	recount  bool       // all of them are
	used     []usage    // what could be on them at most, by team
	queue    []*job     // unfinished jobs in the order in which they are served
	// firstWait: no job before this place in the queue has a task that waits, so
	// that a report need not pass hundreds of them.
	firstWait int
	// queueStale: a job has come or gone since.
	queueStale bool
	queueNext  micros.Micros // when it is put in order again
	settled    bool          // no task of a former owner can be at an unknown place
	// active: this node saw its own claim in the watch, so that its view of
	// machines is at least as new as the claim.
	active    bool
	claimedAt micros.Micros
	freeAt    micros.Micros // when unheard machines are free, see Bounds
	quiet     map[string]micros.Micros
	// ceiling is the highest mark of another owner that this node heard of; it
	// never acts below it.
	ceiling uint64
	// current: this node's view of jobs is at least as new as its claim. Until
	// then a job that it believes open may long be over.
	current  bool
	catching bool
	loading  bool
	loaded   bool // the Versions that stood at the claim are known
	versions map[string]wire.VersionRecord
	verMarks map[string]uint64
	handing  bool
	arrivals rateMeter
}

// watched is a prefix followed by one long poll.
type watched struct {
	prefix   string
	since    uint64
	ready    bool
	busy     bool
	openedAt micros.Micros
	every    micros.Micros
	listed   map[string]bool
	after    string
	seenAt   micros.Micros // when it was last heard of: up to then all is known
	first    uint64        // revision of the listing's first page
}

type ownership struct {
	lease     uint64
	asking    bool
	renewals  int           // under way
	renewed   micros.Micros // when the last successful renewal was sent
	nextRenew micros.Micros
	contact   micros.Micros // when the state service last answered anything
	shares    []*share
	leader    role
	stepped   uint64 // mark of the leader key that we are letting go
	ctl, job  watched
	handedAt  micros.Micros
}

func (o *ownership) init(shares int) {
	for i := range shares {
		o.shares = append(o.shares, &share{id: i})
	}
	o.ctl = watched{prefix: wire.PrefixControl, every: 80 * micros.Millisecond, openedAt: -micros.Never}
	o.job = watched{prefix: wire.PrefixJob, every: jobWatchEvery, openedAt: -micros.Never}
	o.contact = -micros.Never
}

// What the others' jobs do is nobody's hurry: an owner hears of a new job from the
// node that took it, and a claim looks by itself. Where a job of this node is held
// until another's job is done, it is.
const (
	jobWatchEvery  = 400 * micros.Millisecond
	heldWatchEvery = 120 * micros.Millisecond
)

// canAnswer: may this node speak for its shares from memory, and record?
func (c *Core) canAnswer() bool {
	return c.own.lease != 0 && c.now < c.own.renewed+c.bounds.Answer
}

// canCommand: may it answer reports and command machines?
func (c *Core) canCommand() bool {
	return c.own.lease != 0 && c.now < c.own.renewed+c.bounds.Command
}

// mayStart: no other node can have told a user of a cancellation that this one does
// not know of. Beyond the lease that is so only while every other controller says that
// it has lost the state service too: a successor may have told, and what it tells on
// may be under way.
func (c *Core) mayStart() bool {
	if c.canAnswer() {
		return true
	}
	for _, p := range c.peers {
		if !c.alive(p) || p.stateOK {
			return false
		}
	}
	return true
}

func (c *Core) isMine(r *role) bool {
	return r.mark != 0 && c.own.lease != 0 && r.rec.Label == c.cfg.Label && r.rec.Incarnation == c.own.lease
}

// acting gives the share if this node owns it and may command. One that can't learn
// which jobs a former owner ended lets its machines' leases run out: tasks of a
// cancelled job may be on them.
func (c *Core) acting(id int) *share {
	s := c.own.shares[id]
	if s.active && !s.handing && s.mark >= s.ceiling && c.canCommand() && (s.current || c.now < s.claimedAt+c.bounds.Blind) {
		return s
	}
	return nil
}

// Owns tells whether this node owns an unfinished job and may command its machines.
func (c *Core) Owns(id string) bool {
	j := c.jobs.open[id]
	return j != nil && j.run != nil && c.acting(j.share) != nil
}

func (c *Core) leading() bool {
	return c.isMine(&c.own.leader) && c.own.leader.mark != c.own.stepped && c.canAnswer()
}

func (c *Core) maintainOwnership() {
	o := &c.own
	switch {
	case o.lease == 0 && !o.asking:
		c.newLease()
	case o.lease != 0 && o.renewals < mostRenewals && c.now >= o.nextRenew:
		c.renewLease()
	}
	c.follow(&o.ctl)
	c.follow(&o.job)
	if !o.ctl.ready || !c.canAnswer() {
		return
	}
	for _, s := range o.shares {
		c.claimIfDue(&s.role, ownerKey(s.id), s.id)
	}
	c.claimIfDue(&o.leader, wire.KeyLeader, len(o.shares))
	c.handBack()
}

func ownerKey(id int) string { return wire.PrefixOwner + strconv.Itoa(id) }

func (c *Core) newLease() {
	o := &c.own
	o.asking = true
	asked := c.now
	c.askState(prioLease, wire.NewLease{TTLMS: c.cfg.Lease.Millis()}, micros.Second, func(r Result) {
		o.asking = false
		if l, ok := r.Body.(*wire.Lease); ok && r.Status == 200 && l.Lease != 0 {
			o.lease, o.renewed = l.Lease, asked
			o.nextRenew = c.now + c.cfg.Lease/4
			o.contact = c.now
			c.log(Info, "lease granted", "lease", l.Lease)
		}
	})
}

// renewLease asks for more time at a steady pace, whether the last answers have
// come or not: a renewal counts from when it was sent, so that a late answer is
// worth something yet. (On a share of a core that did not suffice, answers took
// more than a second; with one renewal at a time, given up after a second, three
// controllers lost their leases to each other, each taking over more than it could
// bear.)
func (c *Core) renewLease() {
	o := &c.own
	o.renewals++
	asked, lease := c.now, o.lease
	o.nextRenew = asked + c.cfg.Lease/4
	c.askState(prioLease, RenewLease{Lease: lease}, c.cfg.Lease, func(r Result) {
		o.renewals--
		if o.lease != lease {
			return
		}
		switch r.Status {
		case 200:
			if c.now >= o.renewed+c.bounds.Answer {
				c.log(Info, "lease renewed after a gap", "gap_ms", (c.now - o.renewed).Millis())
			}
			o.renewed = max(o.renewed, asked)
			o.contact = c.now
			c.placementDue = true
		case 404:
			c.log(Info, "lease lost, giving up all duties", "lease", lease)
			o.contact = c.now
			c.loseLease()
		default:
			o.nextRenew = min(o.nextRenew, c.now+c.jitter(150*micros.Millisecond))
		}
	})
}

// mostRenewals bounds those under way.
const mostRenewals = 4

// loseLease forgets every duty that hung on the lease.
func (c *Core) loseLease() {
	c.own.lease = 0
	for _, s := range c.own.shares {
		if s.active {
			c.deactivate(s)
		}
	}
}

// watchBlock is how long a watch waits for changes.
const watchBlock = 5 * micros.Second

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
	req := Watch{Prefix: w.prefix, Since: w.since, WaitMS: watchBlock.Millis()}
	c.askState(prioLease, req, watchBlock+2*micros.Second, func(r Result) {
		w.busy = false
		switch body := r.Body.(type) {
		case *wire.Events:
			if r.Status != 200 {
				break
			}
			c.own.contact, w.seenAt = c.now, c.now
			c.applyEvents(body.Events)
			w.since = max(w.since, body.Revision)
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
	c.askState(prioLease, ListKeys{Prefix: w.prefix, After: w.after, Limit: page}, 3*micros.Second, func(r Result) {
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
		w.ready, w.since, w.after, w.listed, w.seenAt = true, w.first, "", nil, c.now
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
	case strings.HasPrefix(key, wire.PrefixJob):
		var rec wire.JobRecord
		if err := wire.Decode(value, &rec); err != nil {
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

func (c *Core) setOwner(s *share, rec wire.OwnerRecord, mark uint64) {
	s.rec, s.mark, s.claiming = rec, mark, false
	if s.active {
		c.deactivate(s)
	}
	if c.isMine(&s.role) {
		c.activate(s)
	} else {
		c.log(Debug, "share has an owner", "share", s.id, "owner", rec.Label, "mark", mark)
	}
}

// activate starts recovery of a share that this node has just come to own.
func (c *Core) activate(s *share) {
	s.active, s.handing = true, false
	s.claimedAt = c.now
	s.freeAt = c.now + c.bounds.SuccessorFree
	s.quiet = map[string]micros.Micros{}
	s.loading, s.loaded, s.versions, s.verMarks = false, false, nil, nil
	s.current, s.catching = false, false
	s.settled, s.recount, s.queueStale = false, true, true
	machines := 0
	for _, m := range s.machines {
		if !m.rec.Retiring {
			v := c.newView()
			v.doubt, v.gone = !m.returned, m.returned
			c.setView(m, v)
			machines++
		}
	}
	jobs := 0
	for _, j := range c.jobs.open {
		if j.share == s.id {
			c.startRun(s, j)
			jobs++
		}
	}
	if len(c.cfg.Peers) == 0 {
		s.freeAt = c.now + c.bounds.WorkerGone
	}
	c.log(Info, "share taken over", "share", s.id, "mark", s.mark, "machines", machines, "jobs", jobs)
	for _, p := range c.cfg.Peers {
		c.sendStatus(c.peers[p])
	}
	c.catchUp(s)
	c.loadVersions(s, "", map[string]wire.VersionRecord{}, map[string]uint64{})
	c.maintainMachines()
	c.placementDue = true
}

// catchUp brings the view of jobs up to a claim, by one look that does not
// wait: the long poll may have hung on a cut connection for long.
func (c *Core) catchUp(s *share) {
	mark, w := s.mark, &c.own.job
	if !w.ready || s.catching {
		return // the listing under way comes first; maintainMachines asks again
	}
	s.catching = true
	// Where the state service is slow, what lets renewals through lets this through.
	c.askState(prioLease, Watch{Prefix: w.prefix, Since: w.since}, c.cfg.Lease, func(r Result) {
		if !s.active || s.mark != mark {
			return
		}
		s.catching = false
		body, ok := r.Body.(*wire.Events)
		if outgrown(r.Status) {
			w.ready = false
		}
		if !ok || r.Status != 200 || body.Revision < mark {
			return
		}
		c.applyEvents(body.Events)
		w.seenAt = c.now
		s.current = true
		c.placementDue = true
	})
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

// deactivate lets a share go: nothing is remembered of it that a later claim
// could mistake for knowledge.
func (c *Core) deactivate(s *share) {
	c.log(Info, "share given up", "share", s.id)
	s.active, s.handing = false, false
	s.versions, s.verMarks = nil, nil
	c.wave.forgetTransactions()
	for _, m := range s.machines {
		c.setView(m, nil)
	}
	for _, j := range c.jobs.open {
		if j.share == s.id {
			c.stopRun(j)
		}
	}
}

// noteQuiet records that a peer gives no commands for a share below the mark.
// Once all have said so, unheard machines need to be waited for no longer than
// their own lease.
func (c *Core) noteQuiet(s *share, label string) {
	if !s.active {
		return
	}
	if _, ok := s.quiet[label]; ok {
		return
	}
	s.quiet[label] = c.now
	if len(s.quiet) == len(c.cfg.Peers) {
		s.freeAt = min(s.freeAt, c.now+c.bounds.WorkerGone)
	}
}

// nodes lists all labels in order.
func (c *Core) nodes() []string {
	all := append([]string{c.cfg.Label}, c.cfg.Peers...)
	slices.Sort(all)
	return all
}

// preferredOwner is the node that a share belongs to when all are well.
func (c *Core) preferredOwner(id int) string {
	all := c.nodes()
	return all[id%len(all)]
}

// claimIfDue claims a role that nobody holds, or that a former process of this
// node held.
func (c *Core) claimIfDue(r *role, key string, id int) {
	if r.claiming {
		return
	}
	if r.mark != 0 {
		// The former process of this node is gone: its key may be replaced at once.
		if r.rec.Label == c.cfg.Label && r.rec.Incarnation != c.own.lease {
			c.claim(r, key)
		}
		return
	}
	if c.now < r.absentSince+c.claimDelay(id) {
		return
	}
	c.claim(r, key)
}

// claimDelay lets the best candidate go first: the node at home, then whoever
// is alive and holds the least.
func (c *Core) claimDelay(id int) micros.Micros {
	home := c.preferredOwner(id)
	const step = 400 * micros.Millisecond
	delay := micros.Micros(0)
	if c.contact.lost {
		delay = 8 * step // anybody else, please
	} else if home == c.cfg.Label {
		return 0
	}
	if c.now < c.began+3*micros.Second {
		delay = 2 * step // the others may be starting as well
	}
	if p := c.peers[home]; p != nil && c.alive(p) && !p.withoutWorkers {
		delay += step
	}
	holds := map[string]int{}
	for _, s := range c.own.shares {
		holds[s.rec.Label]++
	}
	rank := 0
	for _, label := range c.nodes() {
		if p := c.peers[label]; p != nil && c.alive(p) && !p.withoutWorkers {
			mine, theirs := holds[c.cfg.Label], holds[label]
			if theirs < mine || (theirs == mine && label < c.cfg.Label) {
				rank++
			}
		}
	}
	return delay + micros.Micros(rank)*step
}

func (c *Core) claim(r *role, key string) {
	rec := wire.OwnerRecord{Label: c.cfg.Label, Incarnation: c.own.lease}
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "claim not encoded", "error", err)
		return
	}
	r.claiming = true
	txn := wire.Txn{
		If:   []wire.Condition{{Key: key, Version: r.mark}},
		Then: []wire.Change{{Put: key, Value: value, Lease: c.own.lease}},
	}
	lease := c.own.lease
	c.askState(prioLease, txn, micros.Second, func(res Result) {
		// Whether it took effect is for the watch to show, which also shows late
		// copies and, with it, all machines recorded before.
		switch {
		case res.Status == 400 && c.own.lease == lease:
			c.loseLease()
			r.claiming = false
		case res.Status == 200 || res.Status == 409:
			c.own.contact = c.now
			c.later(func() { r.claiming = false })
			r.absentSince = c.now // give the watch time before another try
		default:
			r.claiming = false
			r.absentSince = c.now
		}
	})
}

// handBack gives a share to its home node once that has been up for a while.
// Orders under way do not hold it up: to its taker they are what they are to the
// successor of a node that has ended. (On a small share of a core some order was
// nearly always under way, and a node went on with three shares for 50 s, short of
// time for each, beside two that had nothing to do.)
func (c *Core) handBack() {
	const settledFor = 8 * micros.Second
	if c.now < c.own.handedAt+5*micros.Second {
		return
	}
	for _, s := range c.own.shares {
		home := c.peers[c.preferredOwner(s.id)]
		if !s.active || s.handing || home == nil || !c.alive(home) || !home.stateOK || home.withoutWorkers || home.uptime < settledFor ||
			c.now < s.claimedAt+settledFor || !c.allSettled(s) {
			continue
		}
		c.own.handedAt = c.now
		c.log(Info, "handing a share back", "share", s.id, "to", home.label)
		c.releaseShare(s)
		return
	}
}

// releaseShare stops all acting for a share and deletes its owner key.
func (c *Core) releaseShare(s *share) {
	s.handing = true
	c.dropRole(&s.role, ownerKey(s.id), s.mark, func() bool { return s.handing })
}

// dropRole deletes our key of a role. Once it has been sent, this node never
// acts under that mark again: a late copy could delete the key while our lease
// lives, and a successor counts on our silence from then on.
func (c *Core) dropRole(r *role, key string, mark uint64, still func() bool) {
	txn := wire.Txn{If: []wire.Condition{{Key: key, Version: mark}}, Then: []wire.Change{{Delete: key}}}
	c.askState(prioFleet, txn, micros.Second, func(res Result) {
		if r.mark != mark || !still() || res.Status == 200 {
			return // the watch shows the rest
		}
		c.dropRole(r, key, mark, still)
	})
}

// noteOwned tells peers' claims apart from ours: a higher mark elsewhere
// silences this node for the share.
func (c *Core) noteOwned(owned []peer.Owned) (quiet []int) {
	for _, o := range owned {
		if o.Share < 0 || o.Share >= len(c.own.shares) {
			continue
		}
		s := c.own.shares[o.Share]
		s.ceiling = max(s.ceiling, o.Mark)
		if s.active && s.mark < o.Mark {
			c.deactivate(s)
		}
		if !s.active {
			quiet = append(quiet, o.Share)
		}
	}
	return quiet
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
