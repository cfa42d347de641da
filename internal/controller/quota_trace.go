package controller

import (
	"cmp"
	"encoding/binary"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// Span is one piece of work on a group's quota, for a trace that may span controllers. Its times
// are times of day.
type Span struct {
	Name       string
	Trace      [16]byte
	ID, Parent [8]byte // no Parent: the trace begins here
	Start, End micros.Micros
	Group      string
	Shard      int
	From, To   quota.Amount
	Epoch      uint64
	Job        string // of a grant
}

const (
	// traceDuration is how long a context counts and is sent to the other controllers.
	traceDuration = 15 * micros.Second
	// maxTraces bounds the contexts of one message.
	maxTraces = 64
	// announcementShard stands in place of a shard where a limit is announced.
	announcementShard = -1
)

// quotaTracer makes spans of what happens to groups. A trace begins where a shard asks for more,
// or where a limit is announced; its context goes to the other controllers with the status
// messages, and what they give up for it belongs to the same trace.
type quotaTracer struct {
	// own are the contexts of this controller's shards that ask, and of the limits that it has
	// announced, remote those of the others.
	own, remote map[traceKey]openTrace
}

// traceKey is a shard of a group that asks, or announcementShard.
type traceKey struct {
	group string
	shard int
}

// openTrace is the context of a trace to which spans may be added.
type openTrace struct {
	trace [16]byte
	span  [8]byte
	began micros.Micros // time of day
	until micros.Micros // when it no longer counts
}

// newerThan reports whether a trace began after another; of those that began at once, one is
// taken for the newer everywhere.
func (o openTrace) newerThan(than openTrace) bool {
	return cmp.Or(cmp.Compare(o.began, than.began), slices.Compare(o.span[:], than.span[:])) > 0
}

// traceQuota makes a span of a change.
func (c *Controller) traceQuota(e quota.Changed) {
	if !c.cfg.Trace || e.Kind == quota.InForce {
		return
	}
	span := Span{
		Name:  "quota." + string(e.Kind),
		ID:    c.spanID(),
		Start: c.wall,
		End:   c.wall,
		Group: e.Group,
		Shard: e.Shard,
		From:  e.From,
		To:    e.To,
		Epoch: e.Epoch,
	}
	switch e.Kind {
	case quota.Announced:
		c.beginTrace(traceKey{e.Group, announcementShard}, &span)
	case quota.Asked:
		c.beginTrace(traceKey{e.Group, e.Shard}, &span)
	case quota.Grown:
		key := traceKey{e.Group, e.Shard}
		if open, ok := c.quota.tracer.own[key]; ok {
			span.Trace = open.trace
			span.Parent = open.span
			span.Start = open.began
		} else {
			c.beginTrace(key, &span)
		}
	case quota.Shrunk:
		span.Trace = c.traceID()
		if open, ok := c.causeOf(e.Group); ok {
			span.Trace = open.trace
			span.Parent = open.span
		}
	}
	c.effects = append(c.effects, span)
}

// beginTrace begins a trace with a span.
func (c *Controller) beginTrace(key traceKey, span *Span) {
	span.Trace = c.traceID()
	c.quota.tracer.own[key] = openTrace{trace: span.Trace, span: span.ID, began: c.wall, until: c.now + traceDuration}
}

// causeOf returns the newest context for which a shard of a group may be giving something up.
func (c *Controller) causeOf(group string) (newest openTrace, found bool) {
	t := &c.quota.tracer
	for _, contexts := range []map[traceKey]openTrace{t.own, t.remote} {
		for key, open := range contexts {
			if key.group == group && c.now < open.until && (!found || open.newerThan(newest)) {
				newest, found = open, true
			}
		}
	}
	return newest, found
}

// traceGrant makes spans of a start that waited for quota.
func (c *Controller) traceGrant(s *shard, j *job) {
	if !c.cfg.Trace || j.run.quotaWaitSince == 0 {
		return
	}
	waited := c.now - j.run.quotaWaitSince
	j.run.quotaWaitSince = 0
	for _, group := range c.quota.paths[j.team] {
		key := traceKey{group, s.id}
		open, ok := c.quota.tracer.own[key]
		if !ok {
			continue
		}
		delete(c.quota.tracer.own, key)
		c.effects = append(c.effects, Span{
			Name:   "quota.granting",
			Trace:  open.trace,
			ID:     c.spanID(),
			Parent: open.span,
			Start:  c.wall - waited,
			End:    c.wall,
			Group:  group,
			Shard:  s.id,
			To:     quotaAmountOf(j.sub),
			Job:    j.id,
		})
	}
}

// openTraces returns the contexts for the other controllers, and forgets those that no longer
// count.
func (c *Controller) openTraces() []peer.TraceContext {
	if !c.cfg.Trace {
		return nil
	}
	own := c.quota.tracer.own
	dropExpired(own, c.now)
	var contexts []peer.TraceContext
	for key, open := range own {
		contexts = append(contexts, peer.TraceContext{
			Group:   key.group,
			Shard:   key.shard,
			Trace:   open.trace[:],
			Span:    open.span[:],
			BeganUS: int64(open.began),
		})
	}
	slices.SortFunc(contexts, func(a, b peer.TraceContext) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Shard, b.Shard))
	})
	return contexts[:min(len(contexts), maxTraces)]
}

// dropExpired forgets the contexts that no longer count.
func dropExpired(contexts map[traceKey]openTrace, now micros.Micros) {
	for key, open := range contexts {
		if now >= open.until {
			delete(contexts, key)
		}
	}
}

// noteTraces takes in the contexts of another controller.
func (c *Controller) noteTraces(contexts []peer.TraceContext) {
	if !c.cfg.Trace || c.quota.ledger == nil || len(contexts) > maxTraces {
		return
	}
	remote := c.quota.tracer.remote
	dropExpired(remote, c.now)
	for _, ctx := range contexts {
		open := openTrace{began: micros.Micros(ctx.BeganUS), until: c.now + traceDuration}
		if len(ctx.Trace) != len(open.trace) || len(ctx.Span) != len(open.span) || len(remote) >= maxTraces {
			continue
		}
		copy(open.trace[:], ctx.Trace)
		copy(open.span[:], ctx.Span)
		remote[traceKey{ctx.Group, ctx.Shard}] = open
	}
}

// traceID returns a random ID of a trace, which is never zero.
func (c *Controller) traceID() (id [16]byte) {
	binary.BigEndian.PutUint64(id[:8], c.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], c.rng.Uint64()|1)
	return id
}

// spanID returns a random ID of a span, which is never zero.
func (c *Controller) spanID() (id [8]byte) {
	binary.BigEndian.PutUint64(id[:], c.rng.Uint64()|1)
	return id
}
