package controller

import (
	"net/http"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// checkpointInterval is the minimum time between two checkpoints of a job. It is short because
	// a machine counts as empty, and so can be moved or returned, only once the ends of its tasks
	// are on record.
	checkpointInterval = 2 * micros.Second
	// checkpointWriteFraction is the maximum fraction of this node's writes that the checkpoints of
	// a shard's jobs use together.
	checkpointWriteFraction = 1.0 / 2

	checkpointWriteTimeout = 2 * micros.Second
	checkpointReadTimeout  = micros.Second
)

// jobCheckpoint is what the owner of a job knows of the job's checkpoint in the state service. The
// paper calls a checkpoint a "Version".
type jobCheckpoint struct {
	// modRevision is the revision of the checkpoint's key; 0 means that there is no checkpoint.
	modRevision uint64
	// dirty is set if the job has progress that is not in a checkpoint and not being written.
	dirty bool
	// inFlight is set while a write, or the read that resolves a write in doubt, is in flight.
	inFlight    bool
	nextWriteAt micros.Micros
	// recorded are the tasks whose end is in a recorded checkpoint.
	recorded checkpoint.TaskSet
	// awaiting are the exited attempts whose end is not in a recorded checkpoint yet.
	awaiting []*attempt
	// recoveriesMS are the times of the latest recoveries of the job, in Unix milliseconds.
	recoveriesMS []int64
}

// due reports whether a checkpoint should be written now.
func (p *jobCheckpoint) due(now micros.Micros) bool {
	return p.dirty && !p.inFlight && now >= p.nextWriteAt
}

// mayExist reports whether the state service may hold a checkpoint of the job.
func (p *jobCheckpoint) mayExist() bool { return p.modRevision != 0 || p.inFlight }

// addRecovery adds a recovery of the job at a time of day to the next checkpoint.
func (p *jobCheckpoint) addRecovery(wall micros.Micros) {
	p.recoveriesMS = append(p.recoveriesMS, wall.Millis())
	if excess := len(p.recoveriesMS) - checkpoint.MaxRecoveries; excess > 0 {
		p.recoveriesMS = p.recoveriesMS[excess:]
	}
}

// awaitRecorded keeps an exited attempt until its end is in a recorded checkpoint.
func (p *jobCheckpoint) awaitRecorded(att *attempt) {
	if p.recorded.Has(att.index) {
		att.outcomeHandled = true
		return
	}
	p.awaiting = append(p.awaiting, att)
}

// setRecorded records that a checkpoint exists at a revision and covers some tasks. It releases the
// attempts that were waiting for it.
func (p *jobCheckpoint) setRecorded(modRevision uint64, covered checkpoint.TaskSet) {
	p.inFlight = false
	p.modRevision = modRevision
	p.recorded = covered
	waiting := p.awaiting[:0]
	for _, att := range p.awaiting {
		if covered.Has(att.index) {
			att.outcomeHandled = true
		} else {
			waiting = append(waiting, att)
		}
	}
	clear(p.awaiting[len(waiting):])
	p.awaiting = waiting
}

// buildCheckpoint returns a job's checkpoint record and the set of done tasks that it contains.
func (c *Controller) buildCheckpoint(j *job) (wire.CheckpointRecord, checkpoint.TaskSet) {
	progress := checkpoint.Progress{
		Tasks:         j.sub.Tasks,
		Done:          j.run.doneTasks,
		DoneCount:     j.run.doneCount,
		FinishedTasks: j.run.finishedTasks,
		RecoveriesMS:  j.run.checkpoint.recoveriesMS,
	}
	return checkpoint.NewRecord(progress, c.cfg.ValueBytes)
}

// checkpointIntervalFor returns the time between two checkpoints of a job of a shard. It grows with
// the number of jobs, so that checkpoints leave enough writes for the requests that users wait for.
func (c *Controller) checkpointIntervalFor(s *shard) micros.Micros {
	jobs := len(c.queue(s))
	writesPerSecond := c.stateQueue.WriteRate() * checkpointWriteFraction
	return max(checkpointInterval, micros.FromSeconds(float64(jobs)/writesPerSecond))
}

// recordCheckpoint writes a checkpoint of a job's current progress.
func (c *Controller) recordCheckpoint(j *job) {
	r := j.run
	rec, covered := c.buildCheckpoint(j)
	value, err := wire.Encode(rec)
	if err != nil || !c.storable(value) {
		c.log(Error, "checkpoint not encoded", "job", j.id, "bytes", len(value), "error", err)
		r.checkpoint.dirty = false
		return
	}
	s := c.ownership.shards[j.shard]
	r.checkpoint.inFlight = true
	r.checkpoint.dirty = false
	r.checkpoint.nextWriteAt = c.now + c.checkpointIntervalFor(s)
	c.queueStateRequest(statestore.ClassCheckpoint, checkpointTxn(s, j, value), checkpointWriteTimeout, func(res statestore.Reply) {
		if j.run != r {
			return
		}
		if revision, ok := res.Revision(); ok {
			r.checkpoint.setRecorded(revision, covered)
			return
		}
		c.handleUnrecordedCheckpoint(j, r, res.Outcome(), len(value))
	})
}

// checkpointTxn returns the transaction that writes a checkpoint. The job's own key is one of its
// conditions, so that a copy executed after the job's end writes nothing.
func checkpointTxn(s *shard, j *job, value wire.Raw) wire.Txn {
	key := wire.CheckpointKey(j.id)
	return wire.Txn{
		Conditions: []wire.Condition{
			{Key: ownerKey(s.id), ModRevision: s.ownerEpoch},
			{Key: key, ModRevision: j.run.checkpoint.modRevision},
			{Key: wire.JobKey(j.id), ModRevision: j.modRevision},
		},
		Changes: []wire.Change{{Put: key, Value: value}},
	}
}

// handleUnrecordedCheckpoint handles a checkpoint whose write failed or is in doubt.
func (c *Controller) handleUnrecordedCheckpoint(j *job, r *run, outcome statestore.Outcome, valueBytes int) {
	p := &r.checkpoint
	p.dirty = true
	p.nextWriteAt = c.now + c.jitter(checkpointInterval)
	switch outcome {
	case statestore.NotExecuted:
		p.inFlight = false
	case statestore.Rejected:
		c.log(Error, "checkpoint refused by the state service", "job", j.id, "bytes", valueBytes)
		p.inFlight = false
		p.nextWriteAt = c.now + c.jitter(rejectedWriteBackoff)
	default:
		// In doubt, or a condition failed: read the key's revision before writing again.
		c.refreshCheckpointRevision(j, r)
	}
}

// refreshCheckpointRevision reads the current revision of a job's checkpoint.
func (c *Controller) refreshCheckpointRevision(j *job, r *run) {
	get := statestore.GetKey{Key: wire.CheckpointKey(j.id)}
	c.queueStateRequest(statestore.ClassCheckpoint, get, checkpointReadTimeout, func(res statestore.Reply) {
		if j.run != r {
			return
		}
		r.checkpoint.inFlight = false
		if kv, ok := res.Body.(*wire.KeyValue); ok && res.Status == http.StatusOK {
			r.checkpoint.modRevision = kv.ModRevision
		} else if res.Status == http.StatusNotFound {
			r.checkpoint.modRevision = 0
		}
	})
}
