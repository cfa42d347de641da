package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/wire"
)

// Which machines a job may use, and which of them suit it best.

// unplacedTask is what a task needs for which a round found no capacity on the machines that the
// constraint allows; see constraintOf.
type unplacedTask struct {
	resources  scheduling.Resources
	constraint string
}

// rulesOut reports whether no machine has capacity for the job's tasks, since there is none for a
// task that needs no more and may run wherever they may.
func (u unplacedTask) rulesOut(j *job) bool {
	return u.resources.Fits(resourcesOf(j.sub)) && (u.constraint == "" || u.constraint == j.constraint)
}

// constraintOf names the machines that a submission allows; empty: any.
func constraintOf(sub *wire.Submission) string {
	if sub.Types == nil && sub.Zone == "" && sub.Spot {
		return ""
	}
	return fmt.Sprintf("%t %s %s", sub.Spot, sub.Zone, strings.Join(sub.Types, " "))
}

// zonesOf counts a job's tasks by zone, those that may be there included. It returns nil if their
// zones do not matter to the job.
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

// allowed reports whether a job's task may start on a machine, given in which zones the job's
// other tasks are.
func (c *Controller) allowed(j *job, m *machine, zones map[string]int) bool {
	sub := j.sub
	if m.rec.Spot && !sub.Spot || !typeAllowed(sub, m.rec.Type) || sub.Zone != "" && sub.Zone != m.rec.Zone {
		return false
	}
	if sub.SameZone && anyOutside(zones, m.rec.Zone) {
		return false
	}
	mostPerZone := (sub.Tasks + 1) / 2
	return !sub.Spread || zones[m.rec.Zone] < mostPerZone
}

// anyOutside reports whether a task is in another zone than the given one.
func anyOutside(zones map[string]int, zone string) bool {
	for name, tasks := range zones {
		if tasks > 0 && name != zone {
			return true
		}
	}
	return false
}

// candidate is a machine with how well it suits a job.
type candidate struct {
	machine *machine
	score   float64
}

// candidates returns the machines with capacity for a job's tasks, the best first. The result is
// valid until the next call.
func (c *Controller) candidates(j *job, free []*machine) []candidate {
	list := c.scheduling.candidateScratch[:0]
	for _, m := range free {
		c.visited++
		if c.fits(m, j) && c.allowed(j, m, nil) {
			list = append(list, candidate{m, c.score(j, m)})
		}
	}
	c.scheduling.candidateScratch = list
	slices.SortStableFunc(list, func(a, b candidate) int { return -cmp.Compare(a.score, b.score) })
	return list
}

// score returns how well a machine suits a job's task, the better the higher.
func (c *Controller) score(j *job, m *machine) float64 {
	v := m.view
	cpus := c.types.cpusOf(m)
	return scheduling.Candidate{
		Image:         v.imageState(j.sub.Image),
		FailedThisJob: j.run.failuresByMachine[m.id] > 0,
		FailedAnyJob:  len(v.failuresByJob) > 0,
		Slowness:      c.slowness(m),
		CPUs:          cpus,
		FreeCPUs:      cpus - v.usage.total.CPUs - j.sub.CPUs,
	}.Score()
}

// imageState returns how far the machine has an image.
func (v *machineView) imageState(image string) scheduling.ImageState {
	switch {
	case v.images[image]:
		return scheduling.ImageCached
	case v.fetches(image):
		return scheduling.ImageFetching
	}
	return scheduling.ImageMissing
}

// fetches reports whether an attempt on the machine waits for an image, or will.
func (v *machineView) fetches(image string) bool {
	for _, att := range v.attemptList {
		if att.state <= attemptFetching && att.job != nil && att.job.sub.Image == image {
			return true
		}
	}
	return false
}
