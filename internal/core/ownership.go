package core

import (
	"strconv"

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
	// dropping is the mark of our key whose deletion is under way or done; 0: none. One that
	// failed is tried again from dropNext on.
	dropping uint64
	dropNext micros.Micros
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
	// resumeAt is the place in the queue at which the next round of placement goes on,
	// where the last one looked at too much.
	resumeAt int
	settled  bool // no task of a former owner can be at an unknown place
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
	o.ctl = watched{prefix: wire.PrefixControl, every: controlWatchEvery, block: watchBlock, openedAt: -micros.Never, completeAt: -micros.Never}
	o.job = watched{prefix: wire.PrefixJob, every: jobWatchEvery, block: watchBlock, openedAt: -micros.Never, completeAt: -micros.Never}
	o.contact = -micros.Never
}

func (c *Core) isMine(r *role) bool {
	return r.mark != 0 && c.own.lease != 0 && r.rec.Label == c.cfg.Label && r.rec.Incarnation == c.own.lease
}

// Owns tells whether this node owns an unfinished job and may command its machines.
func (c *Core) Owns(id string) bool {
	j := c.jobs.open[id]
	return j != nil && j.run != nil && c.acting(j.share) != nil
}

// Leads tells whether this node rents and returns machines for all.
func (c *Core) Leads() bool { return c.leading() }

// Commanded counts the machines of this node's shares that it may give tasks.
func (c *Core) Commanded() (n int) {
	for _, s := range c.own.shares {
		if c.acting(s.id) == nil {
			continue
		}
		for _, m := range s.machines {
			if m.v != nil && m.v.settled && m.v.known && !m.v.gone {
				n++
			}
		}
	}
	return n
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
	c.followQuota()
	c.dropRoles()
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
	c.holdQuota(s)
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
	asked := c.now
	// Where the state service is slow, what lets renewals through lets this through.
	c.askState(classLease, Watch{Prefix: w.prefix, Since: w.since}, c.cfg.Lease, func(r Result) {
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
		w.completeAt = max(w.completeAt, asked)
		s.current = true
		c.placementDue = true
	})
}

// deactivate lets a share go: nothing is remembered of it that a later claim
// could mistake for knowledge.
func (c *Core) deactivate(s *share) {
	c.log(Info, "share given up", "share", s.id)
	s.active, s.handing = false, false
	s.versions, s.verMarks = nil, nil
	c.dropQuota(s)
	c.cascade.forgetTransactions()
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

// preferredOwner is the node that a share belongs to when all are well.
func (c *Core) preferredOwner(id int) string {
	all := c.nodes
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
	for _, label := range c.nodes {
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
	c.askState(classLease, txn, micros.Second, func(res Result) {
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

// releaseShare stops all acting for a share and deletes its owner key. It need not speak for
// the share until the deletion is sent: that goes with leases, before all else.
func (c *Core) releaseShare(s *share) {
	s.handing = true
	c.dropQuota(s)
	c.dropRoles()
}

// dropRoles deletes the keys of the roles that this node is letting go.
func (c *Core) dropRoles() {
	for _, s := range c.own.shares {
		if s.handing {
			c.dropRole(&s.role, ownerKey(s.id))
		}
	}
	if l := &c.own.leader; l.mark != 0 && l.mark == c.own.stepped {
		c.dropRole(l, wire.KeyLeader)
	}
}

// dropPause is how long a deletion that failed is put off.
const dropPause = 200 * micros.Millisecond

// dropRole deletes our key of a role. Once that has been sent, this node never
// acts under its mark again: a late copy could delete the key while our lease
// lives, and a successor counts on our silence from then on.
func (c *Core) dropRole(r *role, key string) {
	mark := r.mark
	if r.dropping == mark || c.now < r.dropNext {
		return
	}
	r.dropping = mark
	txn := wire.Txn{If: []wire.Condition{{Key: key, Version: mark}}, Then: []wire.Change{{Delete: key}}}
	c.askState(classLease, txn, micros.Second, func(res Result) {
		if r.mark != mark || res.Status == 200 {
			return // the watch shows the rest
		}
		r.dropping = 0
		r.dropNext = c.now + c.jitter(dropPause)
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
