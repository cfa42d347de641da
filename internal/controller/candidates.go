package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/wire"
)

// Which machines a job may use, and which of them suit it best.

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

// zonesOf counts a job's tasks by zone, those that may be there included; nil
// if it does not matter to the job.
func (c *Controller) zonesOf(j *job) map[string]int {
	if !j.sub.SameZone && !j.sub.Spread {
		return nil
	}
	zones := map[string]int{}
	for _, att := range j.run.active {
		zones[att.machine.rec.Zone]++
	}
	return zones
}

// allowed tells whether a job's task may start on a machine, given where the
// job's other tasks are.
func (c *Controller) allowed(j *job, m *machine, zones map[string]int) bool {
	sub := j.sub
	if m.rec.Spot && !sub.Spot || !typeAllowed(sub, m.rec.Type) || sub.Zone != "" && sub.Zone != m.rec.Zone {
		return false
	}
	if sub.SameZone {
		for z, n := range zones {
			if n > 0 && z != m.rec.Zone {
				return false
			}
		}
	}
	if sub.Spread && zones[m.rec.Zone]+1 > (sub.Tasks+1)/2 {
		return false
	}
	return true
}

// candidates gives the machines with room for a job's tasks, the best first:
// those that have the image or are fetching it, then the fullest.
func (c *Controller) candidates(j *job, free []*machine) []scored {
	list := c.scratch[:0]
	for _, m := range free {
		c.visited++
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

func (c *Controller) score(j *job, m *machine) float64 {
	mt, v := c.types[m.rec.Type], m.view
	score := 0.0
	switch {
	case v.images[j.sub.Image]:
		score += 4
	case v.fetches(j.sub.Image):
		score += 2
	}
	// Failed here before, this job or others: rather elsewhere.
	if j.run.failuresByMachine[m.id] > 0 {
		score -= 6
	}
	if len(v.failuresByJob) > 0 {
		score -= 4
	}
	score -= 6 * c.slowness(m)
	if mt.CPUs > 0 {
		score += 1 - (mt.CPUs-v.usage.cpus-j.sub.CPUs)/mt.CPUs
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
