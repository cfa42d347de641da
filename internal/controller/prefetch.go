package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Tasks of some classes are wanted started sooner than a machine fetches their
// image. A machine keeps images in its cache, but fetches one only for a task.
// So once a job of such a class is done, one of its tasks is run again on
// machines that lack the image: its result is kept, so it exits as soon as the
// image is there. It gives way to any other task.

// prefetchImage is an image worth having on every machine, with a done task that brings it.
type prefetchImage struct {
	job *job
	at  micros.Micros
}

const (
	maxPrefetchImages = 8
	prefetchSpan      = 10 * micros.Minute
)

// notePrefetchImage remembers the image of a job that is done, if its class is urgent.
func (c *Controller) notePrefetchImage(j *job) {
	if _, urgent := c.cfg.StartWithin[j.sub.Class]; !urgent || j.sub.SameZone || j.sub.Spread {
		return // where its other attempts are would matter
	}
	for i := range c.prefetchImages {
		if c.prefetchImages[i].job.sub.Image == j.sub.Image {
			c.prefetchImages[i].at = c.now
			if j.sub.CPUs < c.prefetchImages[i].job.sub.CPUs {
				c.prefetchImages[i].job = j
			}
			return
		}
	}
	if len(c.prefetchImages) == maxPrefetchImages {
		oldest := 0
		for i := range c.prefetchImages {
			if c.prefetchImages[i].at < c.prefetchImages[oldest].at {
				oldest = i
			}
		}
		c.prefetchImages[oldest] = prefetchImage{j, c.now}
		return
	}
	c.prefetchImages = append(c.prefetchImages, prefetchImage{j, c.now})
}

// prefetch fetches urgent images on machines that lack them: first on empty
// ones, before they are filled, later wherever there is room.
func (c *Controller) prefetch(s *shard, free []*machine, empty bool) {
	if !c.leaseValid() || len(c.prefetchImages) == 0 {
		return
	}
	for _, w := range c.prefetchImages {
		sub := w.job.sub
		within := c.cfg.StartWithin[sub.Class]
		if c.now-w.at > prefetchSpan || w.job.shard != s.id && c.shardOfTeam != nil {
			continue
		}
		for _, m := range free {
			mt, v := c.types[m.rec.Type], m.view
			if v.nextPrefetchAt > c.now || v.images[sub.Image] || empty && v.usage.tasks > 0 || !c.fits(m, w.job) ||
				mt.FetchGBPerS <= 0 || micros.FromSeconds(sub.ImageGB/mt.FetchGBPerS) < within/4 ||
				!c.allowed(w.job, m, nil) || v.fetches(sub.Image) {
				continue
			}
			if c.overLimit(s, w.job) {
				break
			}
			c.newAttempt(s, w.job, 0, m).prefetch = true
			v.nextPrefetchAt = c.now + 10*micros.Second
		}
	}
}

// notePrefetched takes the state of a prefetching attempt.
func (c *Controller) notePrefetched(att *attempt) {
	if att.state != attemptExited {
		return
	}
	att.outcomeHandled = true
	if att.exitReason == wire.ExitDone {
		att.machine.view.images[att.job.sub.Image] = true
		c.schedulingDue = true
	}
}
