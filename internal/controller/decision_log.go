package controller

import (
	"garnethitch/internal/controller/authority"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Log lines that say why this node acted or did not: each change of what it may do for a
// shard, each cancellation, and how many heartbeats were refused. The course of a job can be put
// together from them; docs/operations.md explains the lines.

// decisionLog is what has been logged, and what has been counted since.
type decisionLog struct {
	shardReasons      []authority.Reason            // by shard, as last logged
	refusedHeartbeats [authority.ReasonCount]uint64 // since they were last logged
	nextRefusalLogAt  micros.Micros
	brokenInvariants  uint64 // since the start
}

// refusalLogInterval is how often the counts of refused heartbeats are logged.
const refusalLogInterval = 10 * micros.Second

// logShardDecisions logs what this node may do for each shard where that has changed, and from time
// to time the counts of refused heartbeats and of requests to the state service.
func (c *Controller) logShardDecisions() {
	d := &c.decisionLog
	if d.shardReasons == nil {
		d.shardReasons = make([]authority.Reason, len(c.ownership.shards))
	}
	for _, s := range c.ownership.shards {
		c.logShardDecision(s)
	}
	if c.now >= d.nextRefusalLogAt {
		d.nextRefusalLogAt = c.now + refusalLogInterval
		c.logRefusedHeartbeats()
		c.logStateRequests()
	}
}

// logShardDecision logs what this node may do for a shard, if that has changed.
func (c *Controller) logShardDecision(s *shard) {
	decision := c.ownership.mayCommandShard(s)
	before := c.decisionLog.shardReasons[s.id]
	if decision.Reason == before {
		return
	}
	c.decisionLog.shardReasons[s.id] = decision.Reason
	if before == authority.ReasonNone && decision.Reason == authority.ReasonNotOwner {
		return // as every node begins
	}
	jobsView := &c.ownership.jobWatch
	c.log(Info, "shard entitlement",
		"shard", s.id,
		"epoch", s.ownerEpoch,
		"owner", s.owner.Label,
		"may_command", decision.Allowed,
		"reason", decision.Reason.String(),
		"before", before.String(),
		"jobs_revision", jobsView.Since,
		"jobs_age_ms", (c.now - jobsView.CompleteAsOf).Millis(),
		"renewed_ms", (c.now - c.ownership.lease.RenewedAt()).Millis())
}

// logRefusedHeartbeats logs how many heartbeats were refused since the last time, by reason.
func (c *Controller) logRefusedHeartbeats() {
	d := &c.decisionLog
	if d.refusedHeartbeats == [authority.ReasonCount]uint64{} {
		return
	}
	var args []any
	for reason, count := range d.refusedHeartbeats {
		if count > 0 {
			args = append(args, authority.Reason(reason).String(), count)
		}
	}
	d.refusedHeartbeats = [authority.ReasonCount]uint64{}
	c.log(Info, "heartbeats refused", args...)
}

// logHeartbeat logs whether a heartbeat was answered, why, and with how many commands.
func (c *Controller) logHeartbeat(m *machine, heartbeat *wire.Heartbeat, decision authority.Decision, commands []wire.Command) {
	if !c.cfg.LogHeartbeats {
		return
	}
	reconciled := m.view != nil && m.view.reconciled
	c.log(Debug, "heartbeat",
		"machine", m.id,
		"agent_epoch", heartbeat.AgentEpoch,
		"sequence", heartbeat.Sequence,
		"shown_fencing_token", heartbeat.FencingToken,
		"answered", decision.Allowed,
		"reason", decision.Reason.String(),
		"fencing_token", c.fencingToken(c.ownership.shards[m.rec.Shard], m),
		"reconciled", reconciled,
		"tasks", len(heartbeat.Tasks),
		"commands", len(commands))
}

// logCancelled logs that an open job has been cancelled, and from whom this node knows.
func (c *Controller) logCancelled(j *job, f finalJob) {
	from := "controller"
	if f.recorded {
		from = "record"
	}
	tasks := 0
	if j.run != nil {
		tasks = len(j.run.active)
	}
	s := c.ownership.shards[j.shard]
	c.log(Info, "job cancelled",
		"job", j.id,
		"from", from,
		"shard", s.id,
		"epoch", s.ownerEpoch,
		"owned", j.run != nil,
		"tasks", tasks)
}

// logFirstStop logs that a task's stop is sent for the first time.
func (c *Controller) logFirstStop(att *attempt, inReply bool) {
	if !c.cfg.LogHeartbeats || att.stopSentAt > -micros.Never {
		return
	}
	c.log(Debug, "stop sent",
		"task", wire.TaskName(att.key.job, att.index),
		"machine", att.machine.id,
		"in_reply", inReply)
}
