package controller

import (
	"garnethitch/internal/controller/authority"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file logs why this node acted or did not: each change of whether it may command a shard,
// each cancellation, and the counts of refused heartbeats. The history of a job can be
// reconstructed from these lines; docs/operations.md explains them.

// decisionLog is what was last logged, and the counters since then.
type decisionLog struct {
	shardReasons      []authority.Reason            // last logged reason, by shard
	refusedHeartbeats [authority.ReasonCount]uint64 // by reason, since they were last logged
	nextRefusalLogAt  micros.Micros
	brokenInvariants  uint64 // since the start of the process
}

// refusalLogInterval is the time between two log lines with the counts of refused heartbeats.
const refusalLogInterval = 10 * micros.Second

// logShardDecisions logs each change of whether this node may command a shard. Every
// refusalLogInterval it also logs the counts of refused heartbeats and of requests to the state
// service.
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

// logShardDecision logs whether this node may command a shard, if that has changed.
func (c *Controller) logShardDecision(s *shard) {
	decision := c.ownership.mayCommandShard(s)
	before := c.decisionLog.shardReasons[s.id]
	if decision.Reason == before {
		return
	}
	c.decisionLog.shardReasons[s.id] = decision.Reason
	if before == authority.ReasonNone && decision.Reason == authority.ReasonNotOwner {
		return // the initial state of every node
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

// logRefusedHeartbeats logs the number of heartbeats refused since the last time, by reason.
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

// logHeartbeat logs whether a heartbeat was answered, the reason, and the number of commands in the
// answer.
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

// logCancelled logs that an open job was cancelled, and whether this node learned that from a
// record or from another controller.
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

// logFirstStop logs the first stop command for a task.
func (c *Controller) logFirstStop(att *attempt, inReply bool) {
	if !c.cfg.LogHeartbeats || att.stopSentAt > -micros.Never {
		return
	}
	c.log(Debug, "stop sent",
		"task", wire.TaskName(att.key.job, att.index),
		"machine", att.machine.id,
		"in_reply", inReply)
}
