package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// prefetchImage is an image that every machine should have. Tasks of some classes are to be
// started sooner than a machine fetches their image. A machine keeps images in its cache,
// but fetches one only for a task. So once a job of such a class is done, one of its tasks
// is run again on machines that lack the image: its result is kept, so it exits as soon as
// the image is there. It gives way to any other task.
type prefetchImage struct {
	job        *job // done; its first task brings the image
	lastDoneAt micros.Micros
}

const (
	// maxPrefetchImages bounds how many images are prefetched.
	maxPrefetchImages = 8
	// prefetchRetention is how long an image is prefetched after a job with it was last done.
	prefetchRetention = 10 * micros.Minute
	// prefetchInterval is the least time between two prefetches on a machine.
	prefetchInterval = 10 * micros.Second
	// fetchTimeDivisor is such that an image is prefetched if fetching it takes at least one in so
	// many parts of the time within which a task is to be started.
	fetchTimeDivisor = 4
)

// prefetchImages are the images to prefetch, at most maxPrefetchImages.
type prefetchImages []prefetchImage

// add remembers the image of a job that is done; of several jobs with an image the one with
// fewest CPUs is kept, and the image that was longest unused gives way to a new one.
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

// oldest returns the image that was longest unused; there must be one.
func (p prefetchImages) oldest() *prefetchImage {
	oldest := &p[0]
	for i := range p {
		if p[i].lastDoneAt < oldest.lastDoneAt {
			oldest = &p[i]
		}
	}
	return oldest
}

// notePrefetchImage remembers the image of a job that is done, if its class has a bound on the
// time until a start.
func (c *Controller) notePrefetchImage(j *job) {
	_, urgent := c.cfg.StartWithin[j.sub.Class]
	dependsOnOtherTasks := j.sub.SameZone || j.sub.Spread // where its other attempts are would matter
	if urgent && !dependsOnOtherTasks {
		c.prefetchImages.add(j, c.now)
	}
}

// prefetch fetches urgent images on machines that lack them: first on empty
// ones, before they are filled, later wherever there is free capacity.
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

// shouldPrefetch reports whether a machine lacks the image of a job, would fetch it too slowly
// for a start in time, and may fetch it now.
func (c *Controller) shouldPrefetch(m *machine, j *job) bool {
	v := m.view
	if v.nextPrefetchAt > c.now || v.images[j.sub.Image] || !c.fits(m, j) {
		return false
	}
	return c.fetchesTooSlowly(m, j) && c.allowed(j, m, nil) && !v.fetches(j.sub.Image)
}

// fetchesTooSlowly reports whether fetching a job's image takes a machine a good part of the
// time within which the job's tasks are to be started.
func (c *Controller) fetchesTooSlowly(m *machine, j *job) bool {
	rate := c.types.of(m).FetchGBPerS
	if rate <= 0 {
		return false
	}
	within := c.cfg.StartWithin[j.sub.Class]
	return micros.FromSeconds(j.sub.ImageGB/rate) >= within/fetchTimeDivisor
}

// handlePrefetchExit takes the end of a prefetching attempt.
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
