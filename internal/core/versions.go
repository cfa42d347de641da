package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	maxSteps      = 16
	maxRecoveries = 8
)

// loadVersions reads all Versions after a claim: from then on only this owner
// writes those of its jobs.
func (c *Core) loadVersions(s *share, after string, got map[string]wire.VersionRecord, marks map[string]uint64) {
	mark := s.mark
	s.loading = true
	c.askState(classEnd, ListKeys{Prefix: wire.PrefixVersion, After: after, Limit: 200}, 3*micros.Second, func(r Result) {
		if !s.active || s.mark != mark {
			return
		}
		body, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != 200 {
			s.loading = false // maintainMachines tries again
			return
		}
		last := ""
		for _, kv := range body.Items {
			last = kv.Key
			id := kv.Key[len(wire.PrefixVersion):]
			var rec wire.VersionRecord
			if err := wire.Decode(kv.Value, &rec); err != nil {
				c.log(Error, "Version not readable, its job restarts from the beginning", "job", id, "error", err)
			}
			got[id], marks[id] = rec, kv.Version
		}
		if body.More && last != "" {
			c.loadVersions(s, last, got, marks)
			return
		}
		s.loading, s.loaded, s.versions, s.verMarks = false, true, got, marks
		for _, id := range sortedKeys(c.jobs.open) {
			if j := c.jobs.open[id]; j.share == s.id && j.run != nil && !j.run.ready {
				c.applyVersion(s, j)
			}
		}
		// Machines that settled before could only be noted; look at them again.
		c.readopt(s)
		c.placementDue = true
	})
}

// applyVersion makes a recovered job go on from its newest Version.
func (c *Core) applyVersion(s *share, j *job) {
	r := j.run
	r.ready = true
	if rec, ok := s.versions[j.id]; ok {
		r.verMark = s.verMarks[j.id]
		recorded := func(idx int) {
			if r.done.set(idx) {
				r.count++
			}
			r.saved.set(idx)
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
		r.steps, r.re = rec.Steps, rec.Recoveries
	}
	if !r.fresh {
		c.noteRecovery(j)
	}
	if r.count == j.sub.Tasks {
		c.endJob(j, wire.StateDone)
	}
}

// noteRecovery adds the Re mark to the next Version.
func (c *Core) noteRecovery(j *job) {
	r := j.run
	r.re = append(r.re, c.wall.Millis())
	if len(r.re) > maxRecoveries {
		r.re = r.re[len(r.re)-maxRecoveries:]
	}
}

// version makes the record, and the list of tasks that it covers.
func (c *Core) version(j *job) (wire.VersionRecord, bitset) {
	r := j.run
	rec := wire.VersionRecord{Steps: r.steps, Recoveries: r.re}
	// The limit counts the textual form: a step takes up to 75 bytes, a pair of numbers
	// 12, a word of a set 21.
	if most := max(min(maxSteps, c.cfg.ValueBytes/128), 1); len(rec.Steps) > most {
		rec.Steps = rec.Steps[len(rec.Steps)-most:]
	}
	room := c.cfg.ValueBytes - 75*len(rec.Steps) - 250
	ranges := 0
	for i := range j.sub.Tasks {
		if r.done.has(i) && (i == 0 || !r.done.has(i-1)) {
			ranges++
		}
	}
	if n := 21 * len(r.done); ranges > 16 && n < 12*ranges && n <= room {
		rec.Set, rec.Count = slices.Clone(r.done), r.count
		return rec, bitset(rec.Set)
	}
	// What does not fit is left out: those tasks would run again, without harm.
	covered := newBitset(j.sub.Tasks)
	for i := 0; i < j.sub.Tasks && len(rec.Ranges)/2 < max(room/12, 1); {
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

// versionEvery is the least time between two Versions of a job. A report interval,
// where that is longer, would spare wake-ups but was dearer: a machine counts as
// empty, to be moved or returned, only once the ends of its tasks are on record.
const versionEvery = 2 * micros.Second

// versionPace spaces a job's Versions so that all of a share's jobs together
// leave most of the writes to what users wait for.
func (c *Core) versionPace(s *share) micros.Micros {
	jobs := len(c.queue(s))
	return max(versionEvery, micros.FromSeconds(float64(jobs)/(c.stateq.writes.rate/2)))
}

// recordVersion writes a job's newest Version.
func (c *Core) recordVersion(j *job) {
	r, s := j.run, c.own.shares[j.share]
	rec, covered := c.version(j)
	value, err := wire.Encode(rec)
	if err != nil || !c.storable(value) {
		c.log(Error, "Version not encoded", "job", j.id, "bytes", len(value), "error", err)
		r.verDirty = false
		return
	}
	r.verBusy, r.verDirty = true, false
	r.verNext = c.now + c.versionPace(s)
	key := wire.VersionKey(j.id)
	// The job's own key is among the conditions so that a copy that comes after its
	// end leaves nothing behind.
	txn := wire.Txn{
		If:   []wire.Condition{{Key: ownerKey(s.id), Version: s.mark}, {Key: key, Version: r.verMark}, {Key: wire.JobKey(j.id), Version: j.mark}},
		Then: []wire.Change{{Put: key, Value: value}},
	}
	c.askState(classVersion, txn, 2*micros.Second, func(res Result) {
		if j.run != r {
			return
		}
		if body, ok := res.Body.(*wire.Revision); ok && res.Status == 200 {
			r.verBusy, r.verMark, r.saved = false, body.Revision, covered
			c.markSaved(j)
			return
		}
		r.verDirty = true
		r.verNext = c.now + c.jitter(versionEvery)
		if res.NotSent || res.Status == 503 || res.Status == 429 {
			r.verBusy = false
			return
		}
		if res.Status == 400 {
			c.log(Error, "Version refused by the state service", "job", j.id, "bytes", len(value))
			r.verBusy = false
			r.verNext = c.now + c.jitter(refusedPause)
			return
		}
		// Unclear or refused: see what stands there before writing again.
		c.askState(classVersion, GetKey{Key: key}, micros.Second, func(res Result) {
			if j.run != r {
				return
			}
			r.verBusy = false
			if kv, ok := res.Body.(*wire.KeyValue); ok && res.Status == 200 {
				r.verMark = kv.Version
			} else if res.Status == 404 {
				r.verMark = 0
			}
		})
	})
}

// markSaved lets go of exited tasks whose end is on record now.
func (c *Core) markSaved(j *job) {
	wait := j.run.ended[:0]
	for _, att := range j.run.ended {
		if j.run.saved.has(att.idx) {
			att.acted = true
		} else {
			wait = append(wait, att)
		}
	}
	clear(j.run.ended[len(wait):])
	j.run.ended = wait
}
