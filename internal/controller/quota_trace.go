package controller

import (
	"cmp"
	"encoding/binary"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// Span is one piece of work on a group's quota, for a trace that may span controllers.
// Times are by the time of day.
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

// quotaTracer makes spans of what happens to groups. A trace begins where a shard asks
// for more, or where a limit is announced; its context goes to the other controllers with
// the status messages, and what they give up for it belongs to the same trace.
type quotaTracer struct {
	// own are the contexts of this controller's shards that ask, and of the limits that
	// it has announced, remote those of the others.
	own, remote map[traceKey]openTrace
}

// traceKey is a shard of a group that asks; shard announcement: a limit is announced.
type traceKey struct {
	group string
	shard int
}

const (
	announcement = -1
	// traceFor is how long a context is told of and counts.
	traceFor = 15 * micros.Second
	// maxTraces bounds the contexts of one message.
	maxTraces = 64
)

type openTrace struct {
	trace [16]byte
	span  [8]byte
	began micros.Micros // by the time of day
	until micros.Micros
}

func (o openTrace) newerThan(than openTrace) bool {
	return cmp.Or(cmp.Compare(o.began, than.began), slices.Compare(o.span[:], than.span[:])) > 0
}

// traceQuota makes a span of a change.
func (c *Controller) traceQuota(e quota.Changed) {
	t := &c.quota.tracer
	if !c.cfg.Trace || e.Kind == quota.InForce {
		return
	}
	key := traceKey{e.Group, e.Shard}
	span := Span{Name: "quota." + string(e.Kind), Group: e.Group, Shard: e.Shard, From: e.From, To: e.To, Epoch: e.Epoch, Start: c.wall, End: c.wall, ID: c.spanID()}
	switch e.Kind {
	case quota.Asked, quota.Announced:
		if e.Kind == quota.Announced {
			key.shard = announcement
		}
		span.Trace = c.traceID()
		t.own[key] = openTrace{span.Trace, span.ID, c.wall, c.now + traceFor}
	case quota.Grown:
		if open, ok := t.own[key]; ok {
			span.Trace, span.Parent, span.Start = open.trace, open.span, open.began
			break
		}
		span.Trace = c.traceID()
		t.own[key] = openTrace{span.Trace, span.ID, c.wall, c.now + traceFor}
	case quota.Shrunk:
		span.Trace = c.traceID()
		if open, ok := c.causeOf(e.Group); ok {
			span.Trace, span.Parent = open.trace, open.span
		}
	}
	c.effects = append(c.effects, span)
}

// causeOf is the newest context for which a shard of a group may be giving something up.
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

// traceGrant makes a span of a start that waited for quota.
func (c *Controller) traceGrant(s *shard, j *job) {
	if !c.cfg.Trace || j.run.quotaWaitSince == 0 {
		return
	}
	for _, g := range c.quota.paths[j.team] {
		open, ok := c.quota.tracer.own[traceKey{g, s.id}]
		if !ok {
			continue
		}
		delete(c.quota.tracer.own, traceKey{g, s.id})
		c.effects = append(c.effects, Span{Name: "quota.granting", Trace: open.trace, ID: c.spanID(), Parent: open.span, Group: g, Shard: s.id, Job: j.id,
			Start: c.wall - (c.now - j.run.quotaWaitSince), End: c.wall, To: sizeOf(j.sub)})
	}
	j.run.quotaWaitSince = 0
}

// openTraces are the contexts that the other controllers are told of.
func (c *Controller) openTraces() (out []peer.TraceContext) {
	if !c.cfg.Trace {
		return nil
	}
	for key, open := range c.quota.tracer.own {
		if c.now >= open.until {
			delete(c.quota.tracer.own, key)
		} else {
			out = append(out, peer.TraceContext{Group: key.group, Shard: key.shard, Trace: open.trace[:], Span: open.span[:], BeganUS: int64(open.began)})
		}
	}
	slices.SortFunc(out, func(a, b peer.TraceContext) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Shard, b.Shard))
	})
	return out[:min(len(out), maxTraces)]
}

// noteTraces takes the contexts of another controller.
func (c *Controller) noteTraces(contexts []peer.TraceContext) {
	t := &c.quota.tracer
	if !c.cfg.Trace || c.quota.ledger == nil || len(contexts) > maxTraces {
		return
	}
	for key, open := range t.remote {
		if c.now >= open.until {
			delete(t.remote, key)
		}
	}
	for _, ctx := range contexts {
		if len(ctx.Trace) == 16 && len(ctx.Span) == 8 && len(t.remote) < maxTraces {
			t.remote[traceKey{ctx.Group, ctx.Shard}] = openTrace{[16]byte(ctx.Trace), [8]byte(ctx.Span), micros.Micros(ctx.BeganUS), c.now + traceFor}
		}
	}
}

func (c *Controller) traceID() (id [16]byte) {
	binary.BigEndian.PutUint64(id[:8], c.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], c.rng.Uint64()|1) // never zero
	return id
}

func (c *Controller) spanID() (id [8]byte) {
	binary.BigEndian.PutUint64(id[:], c.rng.Uint64()|1)
	return id
}
