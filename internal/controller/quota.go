package controller

import (
	"time"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// This file is the adapter to package quota, which limits groups of teams. It passes inputs to the
// ledger and carries out its effects. If no controller has the quota option, nothing is sent,
// written or computed. The other parts of the adapter are quota_records.go (records in the state
// service), quota_usage.go (usage and demand), quota_limits.go (what may start), quota_requests.go
// (operators' requests) and quota_trace.go (spans).

const (
	// quotaUsageInterval is the time between two updates of the usage in the ledger.
	quotaUsageInterval = 250 * micros.Millisecond
	// announceInterval is the time between two checks of the options and schedules by the leader.
	announceInterval = micros.Second
	// quotaTimeout is the timeout of a request to the state service.
	quotaTimeout = 1500 * micros.Millisecond
)

// quotas is the state of the adapter to package quota.
type quotas struct {
	*stepContext
	tree   *quota.Tree   // from this controller's options; nil: it has none
	ledger *quota.Ledger // nil: quota handling is not enabled
	watch  statestore.Watch
	// paths holds the groups of each team, the innermost first; members holds the teams of each
	// group. Both follow from the records.
	paths   [][]string
	members map[string][]int

	nextUsageAt    micros.Micros // time of the next update of the usage in the ledger
	nextAnnounceAt micros.Micros // time of the next check of the options, if this controller leads

	staleGroups map[string]bool // groups whose record must be read again
	staleShards map[int]bool    // shards for which all records must be read again

	setsInFlight map[uint64]func(quota.SetDone) // callbacks of operators' requests, by token
	nextSetToken uint64

	tracer quotaTracer
}

// enableQuota starts quota handling, either because this controller has the option or because
// another controller reports that it has. It does nothing if quota handling is enabled already.
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

// stepQuota passes an input to the ledger and carries out the resulting effects.
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
			c.quota.logQuotaChange(e)
		case quota.SetDone:
			c.quota.finishQuotaSet(e)
		}
	}
}

// maintainQuota does the periodic work on quotas that is due.
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
			c.readAllQuotas(s, s.ownerEpoch, "")
		}
		if c.ownership.activeShard(s.id) != nil {
			c.updateQuotaUsage(s)
		}
	}
	c.announceQuotas()
	c.stepQuota(quota.Tick{})
}

// announceQuotas has the ledger announce the limits of this controller's options if this controller
// leads.
func (c *Controller) announceQuotas() {
	q := &c.quota
	if q.tree == nil || !c.ownership.mayLead() || c.now < q.nextAnnounceAt {
		return
	}
	q.nextAnnounceAt = c.now + announceInterval
	c.stepQuota(quota.Announce{Definitions: q.tree.Definitions(time.UnixMicro(int64(c.wall)))})
}

// logQuotaChange logs a change of a group and adds it to the traces.
func (q *quotas) logQuotaChange(e quota.Changed) {
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
