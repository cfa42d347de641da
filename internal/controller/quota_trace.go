package controller

import (
	"cmp"
	"encoding/binary"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// Span is an operation on a group's quota, as part of a trace that may involve several controllers.
// Its times are times of day.
type Span struct {
	Name       string
	Trace      [16]byte
	ID, Parent [8]byte // zero Parent: root span
	Start, End micros.Micros
	Group      string
	Shard      int
	From, To   quota.Amount
	Epoch      uint64
	Job        string // set for the start of a task only
}

const (
	// traceContextLifetime is how long a trace context is valid and is sent to the other
	// controllers.
	traceContextLifetime = 15 * micros.Second
	// maxTraces bounds the trace contexts in one message.
	maxTraces = 64
	// announcementShard takes the place of the shard in the key of an announced limit's trace.
	announcementShard = -1
)

// quotaTracer records changes of groups as spans. A trace begins when a shard asks for more quota
// or a limit is announced. Its context is sent to the other controllers with the status messages,
// so that the quota that they give up becomes part of the same trace.
type quotaTracer struct {
	// own holds the contexts of traces that this controller began, for its shards and for limits
	// that it announced; remote holds those received from other controllers.
	own, remote map[traceKey]openTrace
}

// traceKey identifies an open trace by its group and the shard that asks for quota, or
// announcementShard.
type traceKey struct {
	group string
	shard int
}

// openTrace is the context of a trace to which spans may still be added.
type openTrace struct {
	trace [16]byte
	span  [8]byte
	began micros.Micros // time of day
	until micros.Micros // time at which the context expires
}

// newerThan reports whether a trace began after another. Between traces that began at the same
// time, the span ID decides, so that all controllers agree.
func (o openTrace) newerThan(than openTrace) bool {
	return cmp.Or(cmp.Compare(o.began, than.began), slices.Compare(o.span[:], than.span[:])) > 0
}

// traceQuota emits a span for a change of a group.
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
		if open, ok := q.newestTrace(e.Group); ok {
			span.Trace = open.trace
			span.Parent = open.span
		}
	}
	q.effects = append(q.effects, span)
}

// beginTrace begins a trace whose first span is span.
func (q *quotas) beginTrace(key traceKey, span *Span) {
	span.Trace = q.traceID()
	q.tracer.own[key] = openTrace{trace: span.Trace, span: span.ID, began: q.wall, until: q.now + traceContextLifetime}
}

// newestTrace returns the newest valid trace of a group, which is taken as the cause when a shard
// gives up quota. found is false if there is none.
func (q *quotas) newestTrace(group string) (newest openTrace, found bool) {
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

// traceGrant emits spans for the start of a task that waited for quota, one for each group with an
// open trace.
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

// openTraces returns the trace contexts to send to the other controllers, and drops those that have
// expired.
func (q *quotas) openTraces() []peer.TraceContext {
	if !q.cfg.Trace {
		return nil
	}
	own := q.tracer.own
	dropExpired(own, q.now)
	var contexts []peer.TraceContext
	for key, open := range own {
		contexts = append(contexts, peer.TraceContext{
			Group:   key.group,
			Shard:   key.shard,
			TraceID: open.trace[:],
			SpanID:  open.span[:],
			BeganUS: int64(open.began),
		})
	}
	slices.SortFunc(contexts, func(a, b peer.TraceContext) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Shard, b.Shard))
	})
	return contexts[:min(len(contexts), maxTraces)]
}

// dropExpired removes the contexts that have expired.
func dropExpired(contexts map[traceKey]openTrace, now micros.Micros) {
	for key, open := range contexts {
		if now >= open.until {
			delete(contexts, key)
		}
	}
}

// recordTraces records the trace contexts received from another controller.
func (q *quotas) recordTraces(contexts []peer.TraceContext) {
	if !q.cfg.Trace || q.ledger == nil || len(contexts) > maxTraces {
		return
	}
	remote := q.tracer.remote
	dropExpired(remote, q.now)
	for _, ctx := range contexts {
		open := openTrace{began: micros.Micros(ctx.BeganUS), until: q.now + traceContextLifetime}
		if len(ctx.TraceID) != len(open.trace) || len(ctx.SpanID) != len(open.span) || len(remote) >= maxTraces {
			continue
		}
		copy(open.trace[:], ctx.TraceID)
		copy(open.span[:], ctx.SpanID)
		remote[traceKey{ctx.Group, ctx.Shard}] = open
	}
}

// traceID returns a random trace ID, which is never zero.
func (sc *stepContext) traceID() (id [16]byte) {
	binary.BigEndian.PutUint64(id[:8], sc.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], sc.rng.Uint64()|1)
	return id
}

// spanID returns a random span ID, which is never zero.
func (sc *stepContext) spanID() (id [8]byte) {
	binary.BigEndian.PutUint64(id[:], sc.rng.Uint64()|1)
	return id
}
