package core

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Tasks of some classes are wanted started sooner than a machine fetches their
// image. A machine keeps images in its cache, but fetches one only for a task.
// So once a job of such a class is done, one of its tasks is run again on
// machines that lack the image: its result is kept, so it exits as soon as the
// image is there. It gives way to any other task.

// warmth is an image worth having on every machine, with a done task that brings it.
type warmth struct {
	job *job
	at  micros.Micros
}

const (
	maxWarm  = 8
	warmSpan = 10 * micros.Minute
)

// noteWarm remembers the image of a job that is done, if its class is urgent.
func (c *Core) noteWarm(j *job) {
	if _, urgent := c.cfg.Urgent[j.sub.Class]; !urgent || j.sub.OneZone || j.sub.Apart {
		return // where its other attempts are would matter
	}
	for i := range c.warm {
		if c.warm[i].job.sub.Image == j.sub.Image {
			c.warm[i].at = c.now
			if j.sub.CPUs < c.warm[i].job.sub.CPUs {
				c.warm[i].job = j
			}
			return
		}
	}
	if len(c.warm) == maxWarm {
		oldest := 0
		for i := range c.warm {
			if c.warm[i].at < c.warm[oldest].at {
				oldest = i
			}
		}
		c.warm[oldest] = warmth{j, c.now}
		return
	}
	c.warm = append(c.warm, warmth{j, c.now})
}

// prefetch fetches urgent images on machines that lack them: first on empty
// ones, before they are filled, later wherever there is room.
func (c *Core) prefetch(s *share, free []*machine, empty bool) {
	if !c.canAnswer() || len(c.warm) == 0 {
		return
	}
	for _, w := range c.warm {
		sub := w.job.sub
		within := c.cfg.Urgent[sub.Class]
		if c.now-w.at > warmSpan || w.job.share != s.id && c.shareOf != nil {
			continue
		}
		team := c.cfg.Teams[w.job.team]
		for _, m := range free {
			mt, v := c.types[m.rec.Type], m.v
			if v.warmNext > c.now || v.images[sub.Image] || empty && v.sum.tasks > 0 || !c.fits(m, w.job) ||
				mt.FetchGBPerS <= 0 || micros.FromSeconds(sub.ImageGB/mt.FetchGBPerS) < within/4 ||
				!c.allowed(w.job, m, nil) || v.fetches(sub.Image) {
				continue
			}
			if s.used[w.job.team].over(team, sub) {
				break
			}
			c.newAttempt(s, w.job, 0, m).warm = true
			v.warmNext = c.now + 10*micros.Second
		}
	}
}

// warmed takes the state of a prefetching attempt.
func (c *Core) warmed(sl *slot) {
	if sl.state != slotExited {
		return
	}
	sl.acted = true
	if sl.why == wire.WhyDone {
		sl.m.v.images[sl.job.sub.Image] = true
		c.dirty = true
	}
}
