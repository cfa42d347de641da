package core

import (
	"cmp"
	"math"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// typeIndex keeps machine types in order of name.
type typeIndex struct{ names []string }

// room is what one machine has left while a placement is worked out.
type room struct {
	m               *machine
	cpus, gpus, mem float64
	// soon is what tasks being stopped will leave, on top.
	soonCPUs, soonGPUs, soonMem float64
	tasks                       int
	fetching                    map[string]bool
	usable                      bool
}

// usage counts what could be on machines, by team.
type usage struct{ cpus, gpus float64 }

func (u *usage) add(sub *wire.Submission) {
	u.cpus += sub.CPUs
	u.gpus += sub.GPUs
}

// over: one more task would pass the team's limit.
func (u *usage) over(t Team, sub *wire.Submission) bool {
	return t.CPUsMax > 0 && u.cpus+sub.CPUs > t.CPUsMax+eps || t.GPUsMax > 0 && u.gpus+sub.GPUs > t.GPUsMax+eps
}

// fits: a task finds room now.
func (r *room) fits(sub *wire.Submission) bool {
	return r.usable && r.cpus+eps >= sub.CPUs && r.gpus+eps >= sub.GPUs && r.mem+eps >= sub.MemGB
}

const eps = 1e-6

// place starts waiting tasks where there is room, for every share of this node.
func (c *Core) place() {
	if !c.dirty {
		return
	}
	if c.now < c.schedAt {
		c.wakeIn(c.schedAt - c.now)
		return
	}
	c.dirty = false
	c.schedAt = c.now + 20*micros.Millisecond
	for _, s := range c.own.shares {
		if c.acting(s.id) != nil {
			c.placeShare(s)
		}
	}
	c.flushOrders()
}

// rooms lists a share's machines with what is free on them, and what each team
// could be using at most.
func (c *Core) rooms(s *share) ([]*room, []usage) {
	used := make([]usage, len(c.cfg.Teams))
	var out []*room
	for _, id := range sortedKeys(c.mach) {
		m := c.mach[id]
		if m.rec.Share != s.id || m.v == nil {
			continue
		}
		mt, known := c.types[m.rec.Type]
		v := m.v
		full := !v.settled && !v.gone
		r := &room{m: m, cpus: mt.CPUs, gpus: mt.GPUs, mem: mt.MemGB, fetching: map[string]bool{}}
		for _, sl := range v.slots {
			if sl.state == slotExited {
				continue
			}
			if sl.job == nil {
				full = true
				continue
			}
			sub := sl.job.sub
			used[sl.job.team].add(sub)
			r.cpus -= sub.CPUs
			r.gpus -= sub.GPUs
			r.mem -= sub.MemGB
			r.tasks++
			if sl.state <= slotFetching {
				r.fetching[sub.Image] = true
			}
			if sl.halt != haltNone {
				r.soonCPUs += sub.CPUs
				r.soonGPUs += sub.GPUs
				r.soonMem += sub.MemGB
			}
		}
		if full {
			// It may hold anything that fits, of any team of the share.
			for i := range used {
				used[i].cpus += mt.CPUs
				used[i].gpus += mt.GPUs
			}
		}
		r.usable = known && v.settled && !full && !v.leaving && c.now >= v.goingTo && v.takenAt == 0 &&
			c.now >= v.asideUntil && c.now >= v.restUntil && c.now-v.heard < c.silence()
		if v.restUntil > c.now {
			c.wakeIn(v.restUntil - c.now)
			c.dirty = true
		}
		out = append(out, r)
	}
	return out, used
}

// silence is how long a machine may be unheard before no more is put on it.
func (c *Core) silence() micros.Micros { return 2*c.cfg.ReportEvery + micros.Second }

// runnable lists a share's jobs that want tasks started, the first to be
// served first.
func (c *Core) runnable(s *share) []*job {
	settled := c.allSettled(s)
	known := c.own.renewed + c.bounds.Answer
	var out []*job
	for _, j := range c.jobs.open {
		r := j.run
		if j.share != s.id || r == nil || !r.ready || r.want != "" || j.knownAt > known {
			continue
		}
		if !r.fresh && !(settled && s.current) {
			continue // a former owner may have started its tasks on a machine unheard of
		}
		if j.pending() > 0 {
			out = append(out, j)
		}
	}
	within := c.withinGuarantee(s)
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(
			-cmp.Compare(a.priority, b.priority),
			-cmp.Compare(b2i(within[a]), b2i(within[b])),
			cmp.Compare(a.due, b.due),
			cmp.Compare(a.rec.AcceptedMS, b.rec.AcceptedMS),
			cmp.Compare(a.id, b.id))
	})
	return out
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// withinGuarantee tells which unfinished jobs fit into their team's guarantee
// together with the team's earlier ones.
func (c *Core) withinGuarantee(s *share) map[*job]bool {
	byTeam := map[int][]*job{}
	for _, j := range c.jobs.open {
		if t := c.cfg.Teams[j.team]; j.share == s.id && (t.CPUs > 0 || t.GPUs > 0) {
			byTeam[j.team] = append(byTeam[j.team], j)
		}
	}
	out := map[*job]bool{}
	for team, list := range byTeam {
		slices.SortFunc(list, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.rec.AcceptedMS, b.rec.AcceptedMS), cmp.Compare(a.id, b.id))
		})
		t := c.cfg.Teams[team]
		cpus, gpus := 0.0, 0.0
		for _, j := range list {
			cpus += float64(j.sub.Tasks) * j.sub.CPUs
			gpus += float64(j.sub.Tasks) * j.sub.GPUs
			if cpus > t.CPUs+eps || gpus > t.GPUs+eps && gpus > 0 {
				break
			}
			out[j] = true
		}
	}
	return out
}

// placeShare assigns waiting tasks of one share.
func (c *Core) placeShare(s *share) {
	jobs := c.runnable(s)
	if len(jobs) == 0 && len(c.warm) == 0 {
		return
	}
	rooms, used := c.rooms(s)
	c.prefetch(rooms, used, true)
	for _, j := range jobs {
		c.placeJob(s, j, rooms, used)
	}
	c.prefetch(rooms, used, false)
}

func (c *Core) placeJob(s *share, j *job, rooms []*room, used []usage) {
	r := j.run
	if r.probeAt != 0 {
		// It has failed on several machines and succeeded nowhere: one task at a
		// time, at growing intervals, until its user cancels it.
		if len(r.active) > 0 {
			return
		}
		if c.now < r.probeAt {
			c.wakeIn(r.probeAt - c.now)
			c.dirty = true
			return
		}
	}
	team := c.cfg.Teams[j.team]
	zones := c.zonesOf(j)
	for {
		idx, ok := j.nextTask()
		if !ok {
			return
		}
		u := &used[j.team]
		if u.over(team, j.sub) {
			return
		}
		best := c.pick(j, idx, rooms, zones)
		if best == nil {
			c.makeRoom(s, j, rooms, zones)
			return
		}
		c.assign(j, idx, best)
		zones[best.m.rec.Zone]++
		u.add(j.sub)
		if r.probeAt != 0 {
			return
		}
	}
}

// zonesOf counts a job's tasks by zone, those that may be there included.
func (c *Core) zonesOf(j *job) map[string]int {
	zones := map[string]int{}
	for _, sl := range j.run.active {
		zones[sl.m.rec.Zone]++
	}
	return zones
}

// allowed tells whether a job's task may start on a machine, given where the
// job's other tasks are.
func (c *Core) allowed(j *job, m *machine, zones map[string]int) bool {
	sub := j.sub
	if m.rec.Spot && !sub.Spot || !typeAllowed(sub, m.rec.Type) || sub.Zone != "" && sub.Zone != m.rec.Zone {
		return false
	}
	if sub.OneZone {
		for z, n := range zones {
			if n > 0 && z != m.rec.Zone {
				return false
			}
		}
	}
	if sub.Apart && zones[m.rec.Zone]+1 > (sub.Tasks+1)/2 {
		return false
	}
	return true
}

// maxTasksPerMachine keeps reports and answers within their size limit.
const maxTasksPerMachine = 150

// pick chooses the machine for a task: one that has the image or is fetching
// it, then the one that is left fullest.
func (c *Core) pick(j *job, idx int, rooms []*room, zones map[string]int) *room {
	var best *room
	bestScore := math.Inf(-1)
	for _, r := range rooms {
		if r.tasks >= maxTasksPerMachine || !r.fits(j.sub) ||
			!c.allowed(j, r.m, zones) || c.avoids(j, idx, r.m) {
			continue
		}
		if score := c.score(j, idx, r); score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

func (c *Core) score(j *job, idx int, r *room) float64 {
	mt := c.types[r.m.rec.Type]
	score := 0.0
	switch {
	case r.m.v.images[j.sub.Image]:
		score += 4
	case r.fetching[j.sub.Image]:
		score += 2
	}
	// Failed here before, this job or others: rather elsewhere.
	if j.run.fails[r.m.id] > 0 {
		score -= 6
	}
	if len(r.m.v.failJobs) > 0 {
		score -= 4
	}
	score -= 6 * c.slowness(r.m)
	if mt.CPUs > 0 {
		score += 1 - (r.cpus-j.sub.CPUs)/mt.CPUs
	}
	return score
}

// assign makes the attempt; it is sent with the next answer or order.
func (c *Core) assign(j *job, idx int, r *room) {
	sl := c.newAttempt(j, idx, r)
	sl.owned = true
	r.m.v.idleAt = c.now
	j.run.active[idx] = sl
	if j.run.firstRun == 0 {
		j.run.firstRun = c.now
	}
	c.log(Debug, "task placed", "task", j.id, "index", idx, "machine", r.m.id, "image", r.m.v.images[j.sub.Image], "expect_s", c.runs.expect(j.sub).Seconds())
}

// newAttempt puts an attempt on a machine, to be sent, and takes its room.
func (c *Core) newAttempt(j *job, idx int, r *room) *slot {
	c.attempts++
	mark := c.own.shares[r.m.rec.Share].mark
	key := slotKey{job: j.id, idx: idx, attempt: mark<<32 | c.attempts&0xffffffff}
	sl := &slot{key: key, job: j, idx: idx, m: r.m, state: slotAssigned, since: c.now, haltAt: -micros.Never}
	r.m.v.slots[key] = sl
	r.cpus -= j.sub.CPUs
	r.gpus -= j.sub.GPUs
	r.mem -= j.sub.MemGB
	r.tasks++
	r.fetching[j.sub.Image] = true
	return sl
}

// makeRoom stops tasks of lower priority for a job that found no room.
func (c *Core) makeRoom(s *share, j *job, rooms []*room, zones map[string]int) {
	if j.priority == wire.PriorityLow || j.run.probeAt != 0 {
		return
	}
	if wait := j.run.arrival + c.patience(j) - c.now; wait > 0 {
		c.wakeIn(wait)
		c.dirty = true
		return
	}
	need := j.pending()
	// Room that is already being made serves the first in line.
	for _, r := range rooms {
		if !r.usable || !c.allowed(j, r.m, zones) {
			continue
		}
		for need > 0 && r.cpus+r.soonCPUs+eps >= j.sub.CPUs && r.gpus+r.soonGPUs+eps >= j.sub.GPUs && r.mem+r.soonMem+eps >= j.sub.MemGB {
			r.reserve(j.sub)
			need--
		}
	}
	for ; need > 0; need-- {
		r := c.cheapestVictims(j, rooms, zones)
		if r == nil {
			return
		}
		r.reserve(j.sub)
	}
}

// reserve keeps room for a task that waits for others to go: what comes free
// first, and the rest of what is free already, or a job further down the line
// would take that and be stopped for it in turn.
func (r *room) reserve(sub *wire.Submission) {
	take := func(free, soon *float64, need float64) {
		part := min(max(*soon, 0), need)
		*soon -= part
		*free -= need - part
	}
	take(&r.cpus, &r.soonCPUs, sub.CPUs)
	take(&r.gpus, &r.soonGPUs, sub.GPUs)
	take(&r.mem, &r.soonMem, sub.MemGB)
}

// patience is how long a job waits for room to come free by itself before
// others are stopped for it. Tasks end all the time, and work that is stopped is
// partly lost.
func (c *Core) patience(j *job) micros.Micros {
	if within, urgent := c.cfg.Urgent[j.sub.Class]; urgent {
		if within < 10*micros.Second {
			return 0
		}
		return within / 10
	}
	if c.pressed(j) {
		return 0
	}
	return micros.Second
}

// pressed: the job can still be in time, but only if its tasks start within
// some seconds.
func (c *Core) pressed(j *job) bool {
	due := j.due
	if within := c.cfg.Finished[j.sub.Class]; within > 0 {
		due = min(due, micros.Micros(j.rec.AcceptedMS)*micros.Millisecond+within)
	}
	slack := due - c.wall - c.runs.expect(j.sub)
	return slack > 0 && slack < 15*micros.Second
}

// cheapestVictims stops the tasks whose loss costs least on the machine where
// that is least, and gives the machine; nil if nothing may be stopped.
func (c *Core) cheapestVictims(j *job, rooms []*room, zones map[string]int) *room {
	var best *room
	var bestSet []*slot
	bestCost := math.Inf(1)
	for _, r := range rooms {
		if !r.usable || !c.allowed(j, r.m, zones) || j.run.fails[r.m.id] > 0 {
			continue
		}
		set, cost := c.victims(j, r)
		if !r.m.v.images[j.sub.Image] {
			cost += 3
		}
		if set != nil && cost < bestCost {
			best, bestSet, bestCost = r, set, cost
		}
	}
	for _, sl := range bestSet {
		c.stop(sl, c.haltFor(sl, j))
		best.soonCPUs += sl.job.sub.CPUs
		best.soonGPUs += sl.job.sub.GPUs
		best.soonMem += sl.job.sub.MemGB
		c.log(Info, "task stopped for a job of higher priority", "task", wire.TaskName(sl.job.id, sl.idx), "machine", best.m.id, "for", j.id)
	}
	return best
}

// victims gives the cheapest set on a machine that makes room for one task,
// with what is lost in CPU seconds.
func (c *Core) victims(j *job, r *room) ([]*slot, float64) {
	cpus, gpus, mem := r.cpus+r.soonCPUs, r.gpus+r.soonGPUs, r.mem+r.soonMem
	var cands []*slot
	for _, sl := range r.m.v.slots {
		if sl.job != nil && (sl.owned && sl.job.priority < j.priority || sl.warm) && sl.halt == haltNone && sl.state != slotExited {
			cands = append(cands, sl)
		}
	}
	slices.SortFunc(cands, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(c.lossOf(a), c.lossOf(b)), cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.idx, b.idx))
	})
	var set []*slot
	cost := 0.0
	for _, sl := range cands {
		if cpus+eps >= j.sub.CPUs && gpus+eps >= j.sub.GPUs && mem+eps >= j.sub.MemGB {
			break
		}
		set = append(set, sl)
		cost += c.lossOf(sl)
		cpus += sl.job.sub.CPUs
		gpus += sl.job.sub.GPUs
		mem += sl.job.sub.MemGB
	}
	if len(set) == 0 || cpus+eps < j.sub.CPUs || gpus+eps < j.sub.GPUs || mem+eps < j.sub.MemGB {
		return nil, 0
	}
	return set, cost
}

// lossOf is the work, in CPU seconds, that stopping an attempt throws away.
func (c *Core) lossOf(sl *slot) float64 {
	if sl.runAt == 0 {
		return 0
	}
	ran := (c.now - sl.runAt).Seconds()
	if k := sl.job.sub.CheckpointS; k > 0 {
		ran = min(ran, k) // at most an interval is unsaved
	}
	// Its user also waits longer, which counts for more the higher its priority.
	return ran*sl.job.sub.CPUs*[...]float64{0.25, 1, 2, 2}[sl.job.priority] + 4*float64(sl.job.priority)
}

// haltFor says how a victim is stopped: with time to save, unless the job that
// waits is wanted started sooner than that.
func (c *Core) haltFor(sl *slot, j *job) int {
	if sl.job.sub.CheckpointS <= 0 || sl.state != slotRunning {
		return haltHard
	}
	if within, urgent := c.cfg.Urgent[j.sub.Class]; urgent && within < 2*micros.FromSeconds(sl.job.sub.SaveS) {
		return haltHard
	}
	if c.pressed(j) {
		return haltHard
	}
	return haltSave
}

// stop marks an attempt to be stopped; one that was never sent is just
// forgotten.
func (c *Core) stop(sl *slot, how int) {
	if sl.state == slotAssigned {
		c.freeSlot(sl, false)
		return
	}
	if sl.halt < how {
		sl.halt = how
		sl.haltAt = -micros.Never
	}
	c.dirty = true
}
