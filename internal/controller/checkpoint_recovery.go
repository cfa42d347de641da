package controller

import (
	"net/http"

	"garnethitch/internal/controller/checkpoint"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// checkpointsPerPage is the number of checkpoints requested per page of a listing.
	checkpointsPerPage    = 200
	checkpointListTimeout = 3 * micros.Second
)

// checkpointListing collects the checkpoints of all jobs page by page.
type checkpointListing struct {
	after        string // last key of the pages received
	records      map[string]wire.CheckpointRecord
	modRevisions map[string]uint64
}

// loadCheckpoints reads all checkpoints after a claim. What it reads of the shard's jobs stays
// current, since only this owner writes their checkpoints from the claim on.
func (c *Controller) loadCheckpoints(s *shard) {
	c.listCheckpoints(s, &checkpointListing{
		records:      map[string]wire.CheckpointRecord{},
		modRevisions: map[string]uint64{},
	})
}

// listCheckpoints requests the next page of checkpoints, and applies all checkpoints after the last
// page.
func (c *Controller) listCheckpoints(s *shard, listing *checkpointListing) {
	ownerEpoch := s.ownerEpoch
	s.loadingCheckpoints = true
	list := statestore.ListKeys{Prefix: wire.PrefixCheckpoint, After: listing.after, Limit: checkpointsPerPage}
	c.queueStateRequest(statestore.ClassEnd, list, checkpointListTimeout, func(r statestore.Reply) {
		if !s.owned() || s.ownerEpoch != ownerEpoch {
			return
		}
		page, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != http.StatusOK {
			s.loadingCheckpoints = false // maintainMachines tries again
			return
		}
		c.addCheckpointPage(listing, page)
		if page.More && len(page.Items) > 0 {
			c.listCheckpoints(s, listing)
			return
		}
		c.applyCheckpoints(s, listing)
	})
}

// addCheckpointPage adds a page of checkpoints to a listing.
func (c *Controller) addCheckpointPage(listing *checkpointListing, page *wire.KeyList) {
	for _, kv := range page.Items {
		listing.after = kv.Key
		id := kv.Key[len(wire.PrefixCheckpoint):]
		var rec wire.CheckpointRecord
		if err := wire.Decode(kv.Value, &rec); err != nil {
			c.log(Error, "checkpoint not readable, its job restarts from the beginning", "job", id, "error", err)
		}
		listing.records[id] = rec
		listing.modRevisions[id] = kv.ModRevision
	}
}

// applyCheckpoints restores a shard's recovered jobs from a complete listing of checkpoints.
func (c *Controller) applyCheckpoints(s *shard, listing *checkpointListing) {
	s.loadingCheckpoints = false
	s.checkpointsLoaded = true
	s.checkpoints = listing.records
	s.checkpointModRevisions = listing.modRevisions
	for _, id := range sortedKeys(c.jobs.open) {
		j := c.jobs.open[id]
		if j.shard == s.id && j.run != nil && !j.run.checkpointApplied {
			c.applyCheckpoint(s, j)
		}
	}
	// Tasks on machines that were reconciled before the checkpoints were loaded are known but not
	// adopted yet.
	c.reconcileAfterCheckpointLoad(s)
	c.schedulingDue = true
}

// applyCheckpoint restores a recovered job from its newest checkpoint.
func (c *Controller) applyCheckpoint(s *shard, j *job) {
	r := j.run
	r.checkpointApplied = true
	if rec, ok := s.checkpoints[j.id]; ok {
		r.restore(rec, j.sub.Tasks)
		r.checkpoint.modRevision = s.checkpointModRevisions[j.id]
	}
	if !r.acceptedUnderClaim {
		r.checkpoint.addRecovery(c.wall)
	}
	if r.doneCount == j.sub.Tasks {
		c.endJob(j, wire.StateDone)
	}
}

// restore adds the progress in a checkpoint record to the run of a job with the given number of
// tasks.
func (r *run) restore(rec wire.CheckpointRecord, tasks int) {
	for task := range checkpoint.DoneTasks(rec, tasks).All() {
		if r.doneTasks.Add(task) {
			r.doneCount++
		}
		r.checkpoint.recorded.Add(task)
	}
	r.finishedTasks = rec.FinishedTasks
	r.checkpoint.recoveriesMS = rec.RecoveriesMS
}
