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
func (q *quotas) traceQuota(e quota.Changed) {
	if !q.cfg.Trace || e.Kind == quota.InForce {
		return
	}
	span := Span{
		Name:  "quota." + string(e.Kind),
		ID:    q.spanID(),
		Start: q.wall,
		End:   q.wall,
		Group: e.Group,
		Shard: e.Shard,
		From:  e.From,
		To:    e.To,
		Epoch: e.Epoch,
	}
	switch e.Kind {
	case quota.Announced:
		q.beginTrace(traceKey{e.Group, announcementShard}, &span)
	case quota.ClaimChanged:
		q.beginTrace(traceKey{e.Group, e.Shard}, &span)
	case quota.Grown:
		key := traceKey{e.Group, e.Shard}
		if open, ok := q.tracer.own[key]; ok {
			span.Trace = open.trace
			span.Parent = open.span
			span.Start = open.began
		} else {
			q.beginTrace(key, &span)
		}
	case quota.Shrunk:
		span.Trace = q.traceID()
		if open, ok := q.causeOf(e.Group); ok {
			span.Trace = open.trace
			span.Parent = open.span
		}
	}
	q.effects = append(q.effects, span)
}

// beginTrace begins a trace with a span.
func (q *quotas) beginTrace(key traceKey, span *Span) {
	span.Trace = q.traceID()
	q.tracer.own[key] = openTrace{trace: span.Trace, span: span.ID, began: q.wall, until: q.now + traceDuration}
}

// causeOf returns the newest context for which a shard of a group may be giving something up.
func (q *quotas) causeOf(group string) (newest openTrace, found bool) {
	t := &q.tracer
	for _, contexts := range []map[traceKey]openTrace{t.own, t.remote} {
		for key, open := range contexts {
			if key.group == group && q.now < open.until && (!found || open.newerThan(newest)) {
				newest, found = open, true
			}
		}
	}
	return newest, found
}

// traceGrant makes spans of a start that waited for quota.
func (q *quotas) traceGrant(s *shard, j *job) {
	if !q.cfg.Trace || j.run.quotaWaitSince == 0 {
		return
	}
	waited := q.now - j.run.quotaWaitSince
	j.run.quotaWaitSince = 0
	for _, group := range q.paths[j.team] {
		key := traceKey{group, s.id}
		open, ok := q.tracer.own[key]
		if !ok {
			continue
		}
		delete(q.tracer.own, key)
		q.effects = append(q.effects, Span{
			Name:   "quota.granting",
			Trace:  open.trace,
			ID:     q.spanID(),
			Parent: open.span,
			Start:  q.wall - waited,
			End:    q.wall,
			Group:  group,
			Shard:  s.id,
			To:     quotaAmountOf(j.sub),
			Job:    j.id,
		})
	}
}

// openTraces returns the contexts for the other controllers, and forgets those that no longer
// count.
func (q *quotas) openTraces() []peer.TraceContext {
	if !q.cfg.Trace {
		return nil
	}
	own := q.tracer.own
	dropExpired(own, q.now)
	var contexts []peer.TraceContext
	for key, open := range own {
		contexts = append(contexts, peer.TraceContext{
			WaitingTasks: key.group,
			Shard:        key.shard,
			Trace:        open.trace[:],
			Span:         open.span[:],
			BeganUS:      int64(open.began),
		})
	}
	slices.SortFunc(contexts, func(a, b peer.TraceContext) int {
		return cmp.Or(cmp.Compare(a.WaitingTasks, b.WaitingTasks), cmp.Compare(a.Shard, b.Shard))
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
func (q *quotas) noteTraces(contexts []peer.TraceContext) {
	if !q.cfg.Trace || q.ledger == nil || len(contexts) > maxTraces {
		return
	}
	remote := q.tracer.remote
	dropExpired(remote, q.now)
	for _, ctx := range contexts {
		open := openTrace{began: micros.Micros(ctx.BeganUS), until: q.now + traceDuration}
		if len(ctx.Trace) != len(open.trace) || len(ctx.Span) != len(open.span) || len(remote) >= maxTraces {
			continue
		}
		copy(open.trace[:], ctx.Trace)
		copy(open.span[:], ctx.Span)
		remote[traceKey{ctx.WaitingTasks, ctx.Shard}] = open
	}
}

// traceID returns a random ID of a trace, which is never zero.
func (sc *stepContext) traceID() (id [16]byte) {
	binary.BigEndian.PutUint64(id[:8], sc.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], sc.rng.Uint64()|1)
	return id
}

// spanID returns a random ID of a span, which is never zero.
func (sc *stepContext) spanID() (id [8]byte) {
	binary.BigEndian.PutUint64(id[:], sc.rng.Uint64()|1)
	return id
}
