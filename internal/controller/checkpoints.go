package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	maxSteps      = 16
	maxRecoveries = 8
)

// loadCheckpoints reads all checkpoints after a claim: from then on only this owner
// writes those of its jobs.
func (c *Controller) loadCheckpoints(s *shard, after string, checkpoints map[string]wire.CheckpointRecord, modRevisions map[string]uint64) {
	ownerEpoch := s.ownerEpoch
	s.loadingCheckpoints = true
	c.askState(statestore.ClassEnd, ListKeys{Prefix: wire.PrefixCheckpoint, After: after, Limit: 200}, 3*micros.Second, func(r statestore.Reply) {
		if !s.active || s.ownerEpoch != ownerEpoch {
			return
		}
		body, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != http.StatusOK {
			s.loadingCheckpoints = false // maintainMachines tries again
			return
		}
		last := ""
		for _, kv := range body.Items {
			last = kv.Key
			id := kv.Key[len(wire.PrefixCheckpoint):]
			var rec wire.CheckpointRecord
			if err := wire.Decode(kv.Value, &rec); err != nil {
				c.log(Error, "checkpoint not readable, its job restarts from the beginning", "job", id, "error", err)
			}
			checkpoints[id], modRevisions[id] = rec, kv.ModRevision
		}
		if body.More && last != "" {
			c.loadCheckpoints(s, last, checkpoints, modRevisions)
			return
		}
		s.loadingCheckpoints, s.checkpointsLoaded, s.checkpoints, s.checkpointModRevisions = false, true, checkpoints, modRevisions
		for _, id := range sortedKeys(c.jobs.open) {
			if j := c.jobs.open[id]; j.shard == s.id && j.run != nil && !j.run.checkpointApplied {
				c.applyCheckpoint(s, j)
			}
		}
		// Machines that settled before could only be noted; look at them again.
		c.reconcileAfterCheckpointLoad(s)
		c.schedulingDue = true
	})
}

// applyCheckpoint makes a recovered job go on from its newest checkpoint.
func (c *Controller) applyCheckpoint(s *shard, j *job) {
	r := j.run
	r.checkpointApplied = true
	if rec, ok := s.checkpoints[j.id]; ok {
		r.checkpointModRevision = s.checkpointModRevisions[j.id]
		recorded := func(idx int) {
			if r.done.set(idx) {
				r.doneCount++
			}
			r.checkpointed.set(idx)
		}
		for i := 0; i+1 < len(rec.Ranges); i += 2 {
			for idx := max(rec.Ranges[i], 0); idx <= rec.Ranges[i+1] && idx < j.sub.Tasks; idx++ {
				recorded(idx)
			}
		}
		for idx := range min(j.sub.Tasks, 64*len(rec.Set)) {
			if bitset(rec.Set).has(idx) {
				recorded(idx)
			}
		}
		r.steps, r.recoveries = rec.Steps, rec.Recoveries
	}
	if !r.acceptedUnderClaim {
		c.recordRecovery(j)
	}
	if r.doneCount == j.sub.Tasks {
		c.endJob(j, wire.StateDone)
	}
}

// recordRecovery adds the Re mark to the next checkpoint.
func (c *Controller) recordRecovery(j *job) {
	r := j.run
	r.recoveries = append(r.recoveries, c.wall.Millis())
	if len(r.recoveries) > maxRecoveries {
		r.recoveries = r.recoveries[len(r.recoveries)-maxRecoveries:]
	}
}

// buildCheckpoint makes the record, and the list of tasks that it covers.
func (c *Controller) buildCheckpoint(j *job) (wire.CheckpointRecord, bitset) {
	r := j.run
	rec := wire.CheckpointRecord{Steps: r.steps, Recoveries: r.recoveries}
	// The limit counts the textual form: a step takes up to 75 bytes, a pair of numbers
	// 12, a word of a set 21.
	if most := max(min(maxSteps, c.cfg.ValueBytes/128), 1); len(rec.Steps) > most {
		rec.Steps = rec.Steps[len(rec.Steps)-most:]
	}
	remainingBytes := c.cfg.ValueBytes - 75*len(rec.Steps) - 250
	ranges := 0
	for i := range j.sub.Tasks {
		if r.done.has(i) && (i == 0 || !r.done.has(i-1)) {
			ranges++
		}
	}
	if n := 21 * len(r.done); ranges > 16 && n < 12*ranges && n <= remainingBytes {
		rec.Set, rec.Count = slices.Clone(r.done), r.doneCount
		return rec, bitset(rec.Set)
	}
	// What does not fit is left out: those tasks would run again, without harm.
	covered := newBitset(j.sub.Tasks)
	for i := 0; i < j.sub.Tasks && len(rec.Ranges)/2 < max(remainingBytes/12, 1); {
		if !r.done.has(i) {
			i++
			continue
		}
		first := i
		for i < j.sub.Tasks && r.done.has(i) {
			covered.set(i)
			i++
		}
		rec.Ranges = append(rec.Ranges, first, i-1)
		rec.Count += i - first
	}
	return rec, covered
}

// checkpointInterval is the least time between two checkpoints of a job. A heartbeat interval,
// where that is longer, would spare wake-ups but was dearer: a machine counts as
// empty, to be moved or returned, only once the ends of its tasks are on record.
const checkpointInterval = 2 * micros.Second

// checkpointPace spaces a job's checkpoints so that all of a shard's jobs together
// leave most of the writes to what users wait for.
func (c *Controller) checkpointPace(s *shard) micros.Micros {
	jobs := len(c.queue(s))
	return max(checkpointInterval, micros.FromSeconds(float64(jobs)/(c.stateQueue.WriteRate()/2)))
}

// recordCheckpoint writes a job's newest checkpoint.
func (c *Controller) recordCheckpoint(j *job) {
	r, s := j.run, c.ownership.shards[j.shard]
	rec, covered := c.buildCheckpoint(j)
	value, err := wire.Encode(rec)
	if err != nil || !c.storable(value) {
		c.log(Error, "checkpoint not encoded", "job", j.id, "bytes", len(value), "error", err)
		r.checkpointDirty = false
		return
	}
	r.checkpointInFlight, r.checkpointDirty = true, false
	r.nextCheckpointAt = c.now + c.checkpointPace(s)
	key := wire.CheckpointKey(j.id)
	// The job's own key is among the conditions so that a copy that comes after its
	// end leaves nothing behind.
	txn := wire.Txn{
		If:   []wire.Condition{{Key: ownerKey(s.id), ModRevision: s.ownerEpoch}, {Key: key, ModRevision: r.checkpointModRevision}, {Key: wire.JobKey(j.id), ModRevision: j.modRevision}},
		Then: []wire.Change{{Put: key, Value: value}},
	}
	c.askState(statestore.ClassCheckpoint, txn, 2*micros.Second, func(res statestore.Reply) {
		if j.run != r {
			return
		}
		if revision, ok := res.Revision(); ok {
			r.checkpointInFlight, r.checkpointModRevision, r.checkpointed = false, revision, covered
			c.markCheckpointed(j)
			return
		}
		r.checkpointDirty = true
		r.nextCheckpointAt = c.now + c.jitter(checkpointInterval)
		switch res.Outcome() {
		case statestore.NotExecuted:
			r.checkpointInFlight = false
			return
		case statestore.Rejected:
			c.log(Error, "checkpoint refused by the state service", "job", j.id, "bytes", len(value))
			r.checkpointInFlight = false
			r.nextCheckpointAt = c.now + c.jitter(refusedPause)
			return
		}
		// In doubt, or a condition failed: see what stands there before writing again.
		c.askState(statestore.ClassCheckpoint, GetKey{Key: key}, micros.Second, func(res statestore.Reply) {
			if j.run != r {
				return
			}
			r.checkpointInFlight = false
			if kv, ok := res.Body.(*wire.KeyValue); ok && res.Status == http.StatusOK {
				r.checkpointModRevision = kv.ModRevision
			} else if res.Status == http.StatusNotFound {
				r.checkpointModRevision = 0
			}
		})
	})
}

// markCheckpointed lets go of exited tasks whose end is on record now.
func (c *Controller) markCheckpointed(j *job) {
	wait := j.run.ended[:0]
	for _, att := range j.run.ended {
		if j.run.checkpointed.has(att.index) {
			att.outcomeHandled = true
		} else {
			wait = append(wait, att)
		}
	}
	clear(j.run.ended[len(wait):])
	j.run.ended = wait
}
