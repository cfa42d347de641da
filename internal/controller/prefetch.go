package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// prefetchImage is an image that every machine should have in its cache. Tasks of some classes must
// start sooner than a machine can fetch their image, but a machine fetches an image only for a
// task. So once a job of such a class is done, one of its tasks is run again on machines that lack
// the image. The result of that task is already recorded, so it exits as soon as the image is
// fetched. Any other task may preempt it.
type prefetchImage struct {
	job        *job // a done job whose first task is run again
	lastDoneAt micros.Micros
}

const (
	// maxPrefetchImages bounds how many images are prefetched.
	maxPrefetchImages = 8
	// prefetchRetention is how long an image is prefetched after a job that uses it was last done.
	prefetchRetention = 10 * micros.Minute
	// prefetchInterval is the minimum time between two prefetches on a machine.
	prefetchInterval = 10 * micros.Second
	// fetchTimeDivisor defines a slow fetch: an image is prefetched if fetching it takes at least
	// 1/fetchTimeDivisor of the time within which a task must start.
	fetchTimeDivisor = 4
)

// prefetchImages holds the images to prefetch, at most maxPrefetchImages.
type prefetchImages []prefetchImage

// add records the image of a job that is done. Of several jobs with the same image, the one whose
// tasks need the fewest CPUs is kept. A new image replaces the one that has been unused longest if
// there are too many.
func (p *prefetchImages) add(j *job, now micros.Micros) {
	sameImage := func(known prefetchImage) bool { return known.job.sub.Image == j.sub.Image }
	if i := slices.IndexFunc(*p, sameImage); i >= 0 {
		known := &(*p)[i]
		known.lastDoneAt = now
		if j.sub.CPUs < known.job.sub.CPUs {
			known.job = j
		}
		return
	}
	added := prefetchImage{job: j, lastDoneAt: now}
	if len(*p) < maxPrefetchImages {
		*p = append(*p, added)
		return
	}
	*p.oldest() = added
}

// oldest returns the image that has been unused longest. There must be at least one.
func (p prefetchImages) oldest() *prefetchImage {
	oldest := &p[0]
	for i := range p {
		if p[i].lastDoneAt < oldest.lastDoneAt {
			oldest = &p[i]
		}
	}
	return oldest
}

// recordPrefetchImage records the image of a job that is done, if its class has an objective for the
// start of tasks.
func (c *Controller) recordPrefetchImage(j *job) {
	_, urgent := c.cfg.StartWithin[j.sub.Class]
	// The job's zone constraints depend on its other attempts.
	dependsOnOtherTasks := j.sub.SameZone || j.sub.Spread
	if urgent && !dependsOnOtherTasks {
		c.prefetchImages.add(j, c.now)
	}
}

// prefetch starts prefetching attempts on the machines of free that lack an image. If empty is set,
// only machines without tasks are considered, before a round fills them; a second call after the
// round considers all machines with free capacity.
func (c *Controller) prefetch(s *shard, free []*machine, empty bool) {
	if !c.ownership.leaseValid() || len(c.prefetchImages) == 0 {
		return
	}
	for _, image := range c.prefetchImages {
		inOtherShard := image.job.shard != s.id && c.jobSharding.byTeam()
		if c.now-image.lastDoneAt > prefetchRetention || inOtherShard {
			continue
		}
		for _, m := range free {
			if empty && m.view.usage.tasks > 0 || !c.shouldPrefetch(m, image.job) {
				continue
			}
			if c.quota.overLimit(s, image.job) {
				break
			}
			c.newAttempt(s, image.job, 0, m).prefetch = true
			m.view.nextPrefetchAt = c.now + prefetchInterval
		}
	}
}

// shouldPrefetch reports whether a machine lacks a job's image, may fetch it now, and would fetch
// it too slowly for a task that must start soon.
func (c *Controller) shouldPrefetch(m *machine, j *job) bool {
	v := m.view
	if v.nextPrefetchAt > c.now || v.images[j.sub.Image] || !c.fits(m, j) {
		return false
	}
	return c.fetchesTooSlowly(m, j) && c.allowed(j, m, nil) && !v.fetches(j.sub.Image)
}

// fetchesTooSlowly reports whether fetching a job's image would take a machine too much of the time
// within which the job's tasks must start; see fetchTimeDivisor.
func (c *Controller) fetchesTooSlowly(m *machine, j *job) bool {
	rate := c.types.of(m).FetchGBPerS
	if rate <= 0 {
		return false
	}
	within := c.cfg.StartWithin[j.sub.Class]
	return micros.FromSeconds(j.sub.ImageGB/rate) >= within/fetchTimeDivisor
}

// handlePrefetchExit handles the exit of a prefetching attempt. It ignores attempts that have not
// exited.
func (c *Controller) handlePrefetchExit(att *attempt) {
	if att.state != attemptExited {
		return
	}
	att.outcomeHandled = true
	if att.exitReason == wire.ExitDone {
		att.machine.view.images[att.job.sub.Image] = true
		c.schedulingDue = true
	}
}
