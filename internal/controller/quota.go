package controller

import (
	"time"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// The adapter of package quota: limits of groups above teams. Without the option, here and at
// every other controller, nothing is sent, written or computed. This file feeds the ledger and
// carries out what follows; records are in quota_records.go, what is used and wanted in
// quota_usage.go, what may be started in quota_limits.go, operators' requests in
// quota_requests.go, and spans in quota_trace.go.

const (
	// quotaUsageInterval is the time between two updates of the usage in the ledger.
	quotaUsageInterval = 250 * micros.Millisecond
	// announceInterval is the time after which the leader checks options and schedules again.
	announceInterval = micros.Second
	// quotaTimeout bounds a request to the state service.
	quotaTimeout = 1500 * micros.Millisecond
)

// quotas is what the adapter keeps.
type quotas struct {
	*stepContext
	tree   *quota.Tree   // this controller's options; nil: none
	ledger *quota.Ledger // nil: there are no groups
	watch  statestore.Watch
	// paths are each team's groups, the innermost first, members each group's teams; both by
	// the records.
	paths   [][]string
	members map[string][]int

	nextUsageAt    micros.Micros // when the usage in the ledger is next updated
	nextAnnounceAt micros.Micros // when this controller, if it leads, next checks the options

	staleGroups map[string]bool // groups whose record is to be read again
	staleShards map[int]bool    // shards for which all records are to be read again

	setsInFlight map[uint64]func(quota.SetDone) // by token
	nextSetToken uint64

	tracer quotaTracer
}

// enableQuota starts keeping groups: by this controller's options, or since another one shows
// that it does.
func (c *Controller) enableQuota() {
	q := &c.quota
	if q.ledger != nil {
		return
	}
	q.ledger = quota.NewLedger(quota.Config{Shards: c.cfg.Shards, Timing: quota.DefaultTiming()})
	q.watch = statestore.NewWatch(wire.PrefixQuota, c.watchInterval(controlWatchInterval, quotaWatchFraction))
	q.paths = make([][]string, len(c.cfg.Teams))
	q.members = map[string][]int{}
	q.tracer = quotaTracer{own: map[traceKey]openTrace{}, remote: map[traceKey]openTrace{}}
	q.staleGroups = map[string]bool{}
	q.staleShards = map[int]bool{}
	q.setsInFlight = map[uint64]func(quota.SetDone){}
	for _, s := range c.ownership.shards {
		if s.owned() {
			c.holdQuota(s)
		}
	}
}

// stepQuota gives the ledger an input, and carries out what follows.
func (c *Controller) stepQuota(in quota.Input) {
	q := &c.quota
	if q.ledger == nil {
		return
	}
	for _, e := range q.ledger.Step(quota.Instant{Steady: c.now, WallMS: c.wall.Millis()}, in) {
		switch e := e.(type) {
		case quota.Write:
			c.writeQuota(e)
		case quota.Read:
			q.staleGroups[e.Group] = true
		case quota.Reclaim:
			c.reclaimQuota(c.ownership.shards[e.Shard], e)
		case quota.Changed:
			c.quota.noteQuotaChange(e)
		case quota.SetDone:
			c.quota.finishQuotaSet(e)
		}
	}
}

// maintainQuota does what becomes due by time alone.
func (c *Controller) maintainQuota() {
	q := &c.quota
	if q.ledger == nil || c.now < q.nextUsageAt || !c.ownership.leaseValid() {
		return
	}
	q.nextUsageAt = c.now + quotaUsageInterval
	c.rereadQuotas()
	for _, s := range c.ownership.shards {
		if q.staleShards[s.id] && s.owned() {
			delete(q.staleShards, s.id)
			c.refreshQuota(s, s.ownerEpoch, "")
		}
		if c.ownership.activeShard(s.id) != nil {
			c.updateQuotaUsage(s)
		}
	}
	c.announceQuotas()
	c.stepQuota(quota.Tick{})
}

// announceQuotas has the ledger announce the limits of this controller's options if it leads.
func (c *Controller) announceQuotas() {
	q := &c.quota
	if q.tree == nil || !c.ownership.mayLead() || c.now < q.nextAnnounceAt {
		return
	}
	q.nextAnnounceAt = c.now + announceInterval
	c.stepQuota(quota.Announce{Definitions: q.tree.Definitions(time.UnixMicro(int64(c.wall)))})
}

// noteQuotaChange logs what has changed in a group, and makes a span of it.
func (q *quotas) noteQuotaChange(e quota.Changed) {
	switch e.Kind {
	case quota.Announced:
		q.log(Info, "limit of a group announced", "group", e.Group, "limit", e.Limit.String(), "source", string(e.Source), "epoch", e.Epoch)
	case quota.InForce:
		q.log(Info, "limit of a group in force", "group", e.Group, "limit", e.Limit.String(), "epoch", e.Epoch)
	default:
		q.log(Debug, "allowance of a shard", "change", string(e.Kind), "group", e.Group, "shard", e.Shard, "from", e.From.CPUs, "to", e.To.CPUs)
	}
	q.traceQuota(e)
}
