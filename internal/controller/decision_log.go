package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Log lines that tell why this node acted or did not: each change of what it may do
// for a shard, each cancellation, and how often reports were refused. From them the
// course of a job can be put together; docs/operations.md explains the lines.

// decisionLog is what has been logged, and what has been counted since.
type decisionLog struct {
	shards  []reason            // as last logged
	refused [reasonCount]uint64 // reports, since they were last logged
	nextAt  micros.Micros
	broken  uint64 // invariants
}

// refusalLogInterval is how often the counts of refused reports are logged.
const refusalLogInterval = 10 * micros.Second

// logShardDecisions logs what has changed.
func (c *Controller) logShardDecisions() {
	d := &c.decisionLog
	if d.shards == nil {
		d.shards = make([]reason, len(c.ownership.shards))
	}
	for _, s := range c.ownership.shards {
		v := c.mayCommandShard(s)
		if v.reason == d.shards[s.id] {
			continue
		}
		was := d.shards[s.id]
		d.shards[s.id] = v.reason
		if was == reasonNone && v.reason == reasonNotOwner {
			continue
		}
		c.log(Info, "shard entitlement", "shard", s.id, "epoch", s.ownerEpoch, "owner", s.owner.Label, "may_command", v.allowed, "reason", v.reason.String(), "before", was.String(),
			"jobs_revision", c.ownership.jobWatch.since, "jobs_age_ms", (c.now - c.ownership.jobWatch.completeAsOf).Millis(), "renewed_ms", (c.now - c.ownership.renewedAt).Millis())
	}
	if c.now >= d.nextAt {
		d.nextAt = c.now + refusalLogInterval
		c.logRefusedHeartbeats()
		c.logStateRequests()
	}
}

// logRefusedHeartbeats logs how many reports were refused since the last time, by reason.
func (c *Controller) logRefusedHeartbeats() {
	d := &c.decisionLog
	if d.refused == [reasonCount]uint64{} {
		return
	}
	var args []any
	for r, n := range d.refused {
		if n > 0 {
			args = append(args, reason(r).String(), n)
		}
	}
	d.refused = [reasonCount]uint64{}
	c.log(Info, "heartbeats refused", args...)
}

// logHeartbeat tells how a heartbeat was dealt with.
func (c *Controller) logHeartbeat(m *machine, heartbeat *wire.Heartbeat, v decision, commands []wire.Command) {
	if !c.cfg.LogHeartbeats {
		return
	}
	reconciled := m.view != nil && m.view.reconciled
	c.log(Debug, "heartbeat", "machine", m.id, "agent_epoch", heartbeat.AgentEpoch, "sequence", heartbeat.Sequence, "shown_fencing_token", heartbeat.FencingToken, "answered", v.allowed, "reason", v.reason.String(),
		"fencing_token", c.fencingToken(c.ownership.shards[m.rec.Shard], m), "reconciled", reconciled, "tasks", len(heartbeat.Tasks), "commands", len(commands))
}

// logCancelled tells that an open job has been cancelled, and from whom this node knows.
func (c *Controller) logCancelled(j *job, f finalJob) {
	from, tasks := "controller", 0
	if f.recorded {
		from = "record"
	}
	if j.run != nil {
		tasks = len(j.run.active)
	}
	s := c.ownership.shards[j.shard]
	c.log(Info, "job cancelled", "job", j.id, "from", from, "shard", s.id, "epoch", s.ownerEpoch, "owned", j.run != nil, "tasks", tasks)
}

// logStop tells when a task's stop is sent for the first time.
func (c *Controller) logStop(att *attempt, inAnswer bool) {
	if !c.cfg.LogHeartbeats || att.stopSentAt > -micros.Never {
		return
	}
	c.log(Debug, "stop sent", "task", wire.TaskName(att.key.job, att.index), "machine", att.machine.id, "in_reply", inAnswer)
}
