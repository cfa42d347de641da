package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// typeIndex keeps machine types in order of name.
type typeIndex struct{ names []string }

// usage counts what could be on machines, by team.
type usage struct{ cpus, gpus float64 }

// sumUp adds by times what each team uses of a machine to the sums.
func sumUp(sums, used []usage, by float64) {
	for i, u := range used {
		sums[i].cpus += by * u.cpus
		sums[i].gpus += by * u.gpus
	}
}

func (u *usage) add(sub *wire.Submission) {
	u.cpus += sub.CPUs
	u.gpus += sub.GPUs
}

// over: one more task would pass the team's limit.
func (u *usage) over(t Team, sub *wire.Submission) bool {
	return t.CPUsMax > 0 && u.cpus+sub.CPUs > t.CPUsMax+eps || t.GPUsMax > 0 && u.gpus+sub.GPUs > t.GPUsMax+eps
}

const eps = 1e-6

// placeEvery is the pace of whole rounds. Room that comes free is used at once,
// by the report that tells of it; see placeOn.
const placeEvery = 50 * micros.Millisecond

// place starts waiting tasks where there is room, for every share of this node.
func (c *Core) place() {
	if c.placementDue {
		if c.now < c.placementAt {
			c.wakeIn(c.placementAt - c.now)
		} else {
			c.placementDue, c.placed = false, true
			c.placementAt = c.now + placeEvery
			for _, s := range c.own.shares {
				if c.acting(s.id) != nil {
					c.placeShare(s)
				}
			}
		}
	}
	c.flushOrders()
}

// count tallies a machine's attempts anew.
func (c *Core) count(m *machine) {
	v := m.v
	v.stale = false
	used := v.sum.used
	if used == nil {
		used = make([]usage, len(c.cfg.Teams))
	}
	clear(used)
	v.sum = tally{used: used}
	for _, att := range v.list {
		c.looks++
		c.addTo(&v.sum, att)
	}
	if v.doubt || v.sum.unknown {
		// It may hold anything that fits, of any team of the share.
		mt := c.types[m.rec.Type]
		for i := range used {
			used[i].cpus += mt.CPUs
			used[i].gpus += mt.GPUs
		}
	}
}

// addTo adds an attempt to a tally.
func (c *Core) addTo(t *tally, att *attempt) {
	if att.state == attemptExited {
		return
	}
	if att.job == nil {
		t.unknown = true
		return
	}
	sub := att.job.sub
	t.used[att.job.team].add(sub)
	t.cpus += sub.CPUs
	t.gpus += sub.GPUs
	t.mem += sub.MemGB
	t.tasks++
	if att.halt != haltNone {
		t.soonCPUs += sub.CPUs
		t.soonGPUs += sub.GPUs
		t.soonMem += sub.MemGB
	}
}

// refresh brings a share's sums up to date: what its teams could be using at
// most. Only machines that have changed are counted again.
func (c *Core) refresh(s *share) {
	if s.recount {
		s.recount = false
		s.touched = s.touched[:0]
		s.used = make([]usage, len(c.cfg.Teams))
		for _, m := range s.machines {
			if m.v == nil {
				continue
			}
			c.count(m)
			sumUp(s.used, m.v.sum.used, 1)
		}
		return
	}
	for _, m := range s.touched {
		v := m.v
		if v == nil || !v.stale || m.rec.Share != s.id {
			continue
		}
		sumUp(s.used, v.sum.used, -1)
		c.count(m)
		sumUp(s.used, v.sum.used, 1)
	}
	s.touched = s.touched[:0]
}

// usable: a machine may be given tasks.
func (c *Core) usable(m *machine) bool {
	v := m.v
	return v.settled && v.known && !v.gone && !m.returned && !v.sum.unknown && !v.releasing && c.now >= v.plannedUntil && v.takenAt == 0 &&
		c.now >= v.quarantinedUntil && c.now >= v.restUntil && c.unheard(v) <= c.late() && !c.outOfReach(m) && !c.leaseRunningOut(v) &&
		v.sum.tasks < maxTasksPerMachine && c.types[m.rec.Type].CPUs > 0
}

// free is what a machine has left for a job: room that is kept for another job
// does not count.
func (c *Core) free(m *machine, j *job) shape {
	v, room := m.v, c.room(m)
	if h := &v.reserved; h.job != nil && h.job != j {
		if c.now >= h.until || h.job.run == nil || h.job.pending() <= 0 {
			v.reserved = reservation{}
			return room
		}
		// What is being made free serves the hold first.
		room.cpus -= max(h.cpus-v.sum.soonCPUs, 0)
		room.gpus -= max(h.gpus-v.sum.soonGPUs, 0)
		room.mem -= max(h.mem-v.sum.soonMem, 0)
	}
	return room
}

// fits: one of a job's tasks finds room on a machine now.
func (c *Core) fits(m *machine, j *job) bool {
	return shapeOf(j.sub).covers(c.free(m, j)) && m.v.sum.tasks < maxTasksPerMachine
}

// queue lists a share's unfinished jobs, the first to be served first.
func (c *Core) queue(s *share) []*job {
	if !s.queueStale && c.now < s.queueNext {
		return s.queue
	}
	s.queueStale, s.queueNext = false, c.now+reorderEvery
	s.queue = s.queue[:0]
	for _, j := range c.jobs.open {
		// A held job takes no part in anything: no limit, no guarantee, no demand.
		if j.share == s.id && j.run != nil && !j.held() && !j.dependencyCancelled {
			s.queue = append(s.queue, j)
		}
	}
	c.markGuaranteed(s.queue)
	cpus := 1.0
	for _, m := range s.machines {
		if m.v != nil && m.v.known {
			cpus += c.types[m.rec.Type].CPUs
		}
	}
	for _, j := range s.queue {
		j.late = c.overdue(j)
		j.owed = j.within && c.cfg.GuaranteeWithin > 0 && c.waited(j) > c.cfg.GuaranteeWithin/2
		work := float64(j.sub.Tasks-j.run.count) * j.sub.CPUs * c.runs.expect(j.sub).Seconds()
		j.turn = float64(j.since())/1000 + turnFactor*work/cpus
	}
	slices.SortFunc(s.queue, func(a, b *job) int {
		return cmp.Or(
			-cmp.Compare(b2i(a.late), b2i(b.late)),
			-cmp.Compare(b2i(a.owed), b2i(b.owed)),
			-cmp.Compare(a.priority, b.priority),
			-cmp.Compare(b2i(a.within), b2i(b.within)),
			cmp.Compare(a.turn, b.turn),
			cmp.Compare(a.since(), b.since()),
			cmp.Compare(a.id, b.id))
	})
	s.firstWait = 0
	for i, j := range s.queue {
		j.place = i
	}
	return s.queue
}

// waiting is the queue from the first job on that has tasks waiting.
func (c *Core) waiting(s *share) []*job {
	queue := c.queue(s)
	for s.firstWait < len(queue) && (queue[s.firstWait].run == nil || queue[s.firstWait].pending() <= 0) {
		s.firstWait++
	}
	return queue[s.firstWait:]
}

// Among jobs of one priority, in or beyond a guarantee, those with little work
// left go first: more of them are in time, and more users are served soon. A job
// ages meanwhile, so that a large one waits for later ones by no more than
// turnFactor times what its work takes the whole share.
const (
	reorderEvery = micros.Second
	turnFactor   = 8.0
)

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// markGuaranteed marks the unfinished jobs that fit into their team's guarantee
// together with the team's earlier ones.
func (c *Core) markGuaranteed(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.since(), b.since()), cmp.Compare(a.id, b.id))
	})
	team, over := -1, false
	var sum usage
	for _, j := range jobs {
		if j.team != team {
			team, over, sum = j.team, false, usage{}
		}
		t := c.cfg.Teams[team]
		sum.cpus += float64(j.sub.Tasks) * j.sub.CPUs
		sum.gpus += float64(j.sub.Tasks) * j.sub.GPUs
		over = over || t.CPUs <= 0 && t.GPUs <= 0 || sum.cpus > t.CPUs+eps || sum.gpus > t.GPUs+eps && sum.gpus > 0
		j.within = !over
	}
}

// runnable: a job wants tasks started, and they may be.
func (c *Core) runnable(s *share, j *job) bool {
	r := j.run
	return r != nil && r.ready && r.want == "" && j.pending() > 0 && !j.held() && !j.dependencyCancelled && c.mayStart() &&
		j.knownAt <= c.own.renewed+c.bounds.Answer &&
		// A former owner may have started its tasks on a machine unheard of.
		(r.fresh || s.current && s.settled)
}

// shape is what a task takes, all that placing a plain one depends on, or what a
// machine has left.
type shape struct{ cpus, gpus, mem float64 }

func shapeOf(sub *wire.Submission) shape { return shape{sub.CPUs, sub.GPUs, sub.MemGB} }

// covers: where there is room for b, there is for a.
func (a shape) covers(b shape) bool {
	return a.cpus <= b.cpus+eps && a.gpus <= b.gpus+eps && a.mem <= b.mem+eps
}

func (a shape) plus(b shape) shape { return shape{a.cpus + b.cpus, a.gpus + b.gpus, a.mem + b.mem} }

// room is what a machine's attempts leave of it.
func (c *Core) room(m *machine) shape {
	mt, sum := c.types[m.rec.Type], &m.v.sum
	return shape{mt.CPUs - sum.cpus, mt.GPUs - sum.gpus, mt.MemGB - sum.mem}
}

// A round of placement looks at each machine of a share so many times at most, or at so
// many in all where they are few, and goes on with the rest of the queue in the next one:
// a job bound to one zone is held against all machines with room, whether it fits or not,
// and what else waits in the same step must not wait for hundreds of them.
const (
	maxLooksEach = 4
	minLooks     = 4000
)

// looksPerRound is how much a round may look at.
func looksPerRound(machines int) uint64 { return uint64(max(maxLooksEach*machines, minLooks)) }

// placeShare assigns waiting tasks of one share.
func (c *Core) placeShare(s *share) {
	c.refresh(s)
	s.settled = c.allSettled(s)
	queue := c.queue(s)
	cpuless := slices.ContainsFunc(queue, func(j *job) bool { return j.sub.CPUs <= eps })
	var free []*machine
	for _, m := range s.machines {
		c.looks++
		if m.v == nil || !c.usable(m) {
			if m.v != nil && m.v.restUntil > c.now {
				c.wakeIn(m.v.restUntil - c.now)
				c.placementDue = true
			}
			continue
		}
		if room := c.room(m); room.cpus > eps || cpuless && room.mem > eps {
			free = append(free, m)
		}
	}
	c.prefetch(s, free, true)
	var full []fullShape
	c.preempt.begin()
	first, began := s.resumeAt, c.looks
	s.resumeAt = 0
	for i := range queue {
		place := (first + i) % len(queue)
		j := queue[place]
		c.looks++
		if !c.runnable(s, j) {
			continue
		}
		if i%8 == 7 {
			free = slices.DeleteFunc(free, func(m *machine) bool { return c.room(m).cpus <= eps })
		}
		if c.looks-began > looksPerRound(len(s.machines)) {
			s.resumeAt = place
			c.placementDue = true
			c.wakeIn(placeEvery)
			break
		}
		c.placeJob(s, j, free, &full)
	}
	c.prefetch(s, free, false)
}

// fullShape is what a task takes for which a round found no room, on the machines that
// the constraint allows; see constraintOf.
type fullShape struct {
	shape
	constraint string
}

// rulesOut: no machine has room for the job's tasks, since there is none for a task that
// takes no more and may run wherever they may.
func (f fullShape) rulesOut(j *job) bool {
	return f.covers(shapeOf(j.sub)) && (f.constraint == "" || f.constraint == j.constraint)
}

// constraintOf names the machines that a submission allows; empty: any.
func constraintOf(sub *wire.Submission) string {
	if sub.Types == nil && sub.Zone == "" && sub.Spot {
		return ""
	}
	return fmt.Sprintf("%t %s %s", sub.Spot, sub.Zone, strings.Join(sub.Types, " "))
}

// placeJob assigns a job's waiting tasks to machines with room.
func (c *Core) placeJob(s *share, j *job, free []*machine, full *[]fullShape) {
	r := j.run
	if r.probeAt != 0 && !c.suspect(j) {
		c.log(Info, "job runs elsewhere after all", "job", j.id)
		r.pause, r.probeAt = 0, 0
	}
	if r.probeAt != 0 {
		// It has failed on several machines and succeeded nowhere: one task at a
		// time, at growing intervals, until its user cancels it.
		if len(r.active) > 0 {
			return
		}
		if c.now < r.probeAt {
			c.wakeIn(r.probeAt - c.now)
			c.placementDue = true
			return
		}
	}
	if c.overLimit(s, j) {
		return
	}
	if slices.ContainsFunc(*full, func(f fullShape) bool { return f.rulesOut(j) }) {
		c.makeRoom(s, j)
		c.keepRoom(s, j)
		return
	}
	cands := c.candidates(j, free)
	zones := c.zonesOf(j)
	for _, best := range cands {
		if !c.fill(s, j, best.m, zones) {
			return
		}
	}
	if _, ok := j.nextTask(); !ok || c.overLimit(s, j) {
		return
	}
	if !j.sub.OneZone && !j.sub.Apart { // else there may be room for another job's tasks
		*full = append(*full, fullShape{shapeOf(j.sub), j.constraint})
	}
	c.makeRoom(s, j)
	c.keepRoom(s, j)
}

// placeOn gives a machine that has just told of itself what waits and fits, in
// the order of the queue.
func (c *Core) placeOn(s *share, m *machine) {
	v := m.v
	if v == nil || c.acting(s.id) == nil {
		return
	}
	c.refresh(s)
	if !c.usable(m) {
		return
	}
	mt := c.types[m.rec.Type]
	looked := 0
	for _, j := range c.waiting(s) {
		c.looks++
		if mt.CPUs-v.sum.cpus <= eps || looked >= maxLooked {
			return
		}
		if !c.runnable(s, j) {
			continue
		}
		looked++
		r := j.run
		if r.probeAt != 0 || c.overLimit(s, j) {
			continue
		}
		if !c.fits(m, j) {
			// A job that waits for others to be stopped takes what it needs here, or
			// one further down the line would take what has just come free, and be
			// stopped for it in turn.
			if r.lookAt != 0 && v.reserved.job == nil && r.arrival+c.patience(j) <= c.now && c.allowed(j, m, c.zonesOf(j)) {
				if o := c.offer(j, m); o != nil && o.cost <= c.mostLoss(j) {
					c.take(j, o)
				}
			}
			continue
		}
		c.fill(s, j, m, c.zonesOf(j))
	}
}

// fill assigns a job's waiting tasks to a machine as long as it has room, and
// tells whether the job may want others as well.
func (c *Core) fill(s *share, j *job, m *machine, zones map[string]int) bool {
	for c.fits(m, j) && c.allowed(j, m, zones) {
		idx, ok := j.nextTask()
		if !ok || c.overLimit(s, j) {
			return false
		}
		if c.avoids(j, idx, m) {
			return true
		}
		begins := c.overdue(j)
		c.assign(s, j, idx, m)
		if begins {
			s.queueStale = true
			return false // the others wait for their turn
		}
		if zones != nil {
			zones[m.rec.Zone]++
		}
		if j.run.probeAt != 0 {
			return false // one task at a time
		}
	}
	return true
}

// maxLooked bounds how many waiting jobs one report's answer looks at.
const maxLooked = 100

// zonesOf counts a job's tasks by zone, those that may be there included; nil
// if it does not matter to the job.
func (c *Core) zonesOf(j *job) map[string]int {
	if !j.sub.OneZone && !j.sub.Apart {
		return nil
	}
	zones := map[string]int{}
	for _, att := range j.run.active {
		zones[att.m.rec.Zone]++
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

// candidates gives the machines with room for a job's tasks, the best first:
// those that have the image or are fetching it, then the fullest.
func (c *Core) candidates(j *job, free []*machine) []scored {
	list := c.scratch[:0]
	for _, m := range free {
		c.looks++
		if c.fits(m, j) && c.allowed(j, m, nil) {
			list = append(list, scored{m, c.score(j, m)})
		}
	}
	c.scratch = list
	slices.SortStableFunc(list, func(a, b scored) int { return -cmp.Compare(a.score, b.score) })
	return list
}

// scored is a machine with how well it suits a job.
type scored struct {
	m     *machine
	score float64
}

func (c *Core) score(j *job, m *machine) float64 {
	mt, v := c.types[m.rec.Type], m.v
	score := 0.0
	switch {
	case v.images[j.sub.Image]:
		score += 4
	case v.fetches(j.sub.Image):
		score += 2
	}
	// Failed here before, this job or others: rather elsewhere.
	if j.run.fails[m.id] > 0 {
		score -= 6
	}
	if len(v.failJobs) > 0 {
		score -= 4
	}
	score -= 6 * c.slowness(m)
	if mt.CPUs > 0 {
		score += 1 - (mt.CPUs-v.sum.cpus-j.sub.CPUs)/mt.CPUs
	}
	return score
}

// fetches: an attempt there waits for an image, or will.
func (v *view) fetches(image string) bool {
	for _, att := range v.list {
		if att.state <= attemptFetching && att.job != nil && att.job.sub.Image == image {
			return true
		}
	}
	return false
}

// assign makes the attempt; it is sent with the next answer or order.
func (c *Core) assign(s *share, j *job, idx int, m *machine) {
	att := c.newAttempt(s, j, idx, m)
	att.owned = true
	v := m.v
	v.idleAt = c.now
	j.run.active[idx] = att
	j.run.startedMS = c.wall.Millis()
	c.traceGrant(s, j)
	if j.run.firstRun == 0 {
		j.run.firstRun = c.now
	}
	if h := &v.reserved; h.job == j {
		h.cpus, h.gpus, h.mem = h.cpus-j.sub.CPUs, h.gpus-j.sub.GPUs, h.mem-j.sub.MemGB
		if h.cpus <= eps && h.gpus <= eps && h.mem <= eps {
			v.reserved = reservation{}
		}
	}
}

// newAttempt puts an attempt on a machine, to be sent, and takes its room.
func (c *Core) newAttempt(s *share, j *job, idx int, m *machine) *attempt {
	c.attempts++
	key := attemptKey{job: j.id, idx: idx, attempt: s.mark<<attemptClaimShift | c.attempts&(1<<attemptClaimShift-1)}
	att := &attempt{key: key, job: j, idx: idx, m: m, state: attemptAssigned, since: c.now, haltAt: -micros.Never}
	v := m.v
	fresh := !v.stale // then its tally can be kept, which spares counting it again
	v.put(att)
	if fresh {
		c.addTo(&v.sum, att)
		s.used[j.team].add(j.sub)
	} else {
		c.touch(m)
	}
	c.queueOrder(m)
	c.noteQuotaGrant(s, j)
	return att
}
