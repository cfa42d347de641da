package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/wire"
)

// This file selects the machines that a job may use and orders them by how well they suit it.

// unplacedTask describes a task for which a round found no capacity on any machine that its
// constraint allows; see constraintOf.
type unplacedTask struct {
	resources  scheduling.Resources
	constraint string
}

// rulesOut reports whether the job's tasks cannot be placed either: they need at least as much as u
// and may run on no other machines.
func (u unplacedTask) rulesOut(j *job) bool {
	return u.resources.Fits(resourcesOf(j.sub)) && (u.constraint == "" || u.constraint == j.constraint)
}

// constraintOf returns a string that identifies the set of machines that a submission allows. It is
// empty if the submission allows all machines.
func constraintOf(sub *wire.Submission) string {
	if sub.Types == nil && sub.Zone == "" && sub.Spot {
		return ""
	}
	return fmt.Sprintf("%t %s %s", sub.Spot, sub.Zone, strings.Join(sub.Types, " "))
}

// zonesOf counts a job's tasks by zone, including tasks whose start is not confirmed yet. It returns
// nil if the job does not constrain the zones of its tasks.
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

// allowed reports whether a job's constraints allow one of its tasks to start on a machine. zones
// counts the job's other tasks by zone.
func (c *Controller) allowed(j *job, m *machine, zones map[string]int) bool {
	sub := j.sub
	if m.rec.Spot && !sub.Spot || !typeAllowed(sub, m.rec.Type) || sub.Zone != "" && sub.Zone != m.rec.Zone {
		return false
	}
	if sub.SameZone && anyTaskOutside(zones, m.rec.Zone) {
		return false
	}
	return !sub.Spread || zones[m.rec.Zone] < maxTasksPerZone(sub)
}

// maxTasksPerZone returns how many tasks of a job that spreads its tasks may be in one zone.
func maxTasksPerZone(sub *wire.Submission) int { return (sub.Tasks + 1) / 2 }

// anyTaskOutside reports whether any task is in a zone other than the given one.
func anyTaskOutside(zones map[string]int, zone string) bool {
	for name, tasks := range zones {
		if tasks > 0 && name != zone {
			return true
		}
	}
	return false
}

// candidate is a machine together with its score for a job.
type candidate struct {
	machine *machine
	score   float64
}

// candidates returns the machines of free that have capacity for a task of a job, in descending
// order of score. The slice is reused: it is valid until the next call.
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

// score rates how well a machine suits a job's task; higher is better.
func (c *Controller) score(j *job, m *machine) float64 {
	v := m.view
	cpus := c.types.cpusOf(m)
	return scheduling.Candidate{
		Image:         v.imageState(j.sub.Image),
		FailedThisJob: j.run.failuresByMachine[m.id].count > 0,
		FailedAnyJob:  len(v.failuresByJob) > 0,
		Slowness:      c.slowness(m),
		CPUs:          cpus,
		FreeCPUs:      cpus - v.usage.total.CPUs - j.sub.CPUs,
	}.Score()
}

// imageState returns whether the machine has an image, fetches it, or lacks it.
func (v *machineView) imageState(image string) scheduling.ImageState {
	switch {
	case v.images[image]:
		return scheduling.ImageCached
	case v.fetches(image):
		return scheduling.ImageFetching
	}
	return scheduling.ImageMissing
}

// fetches reports whether an attempt on the machine fetches an image or has yet to do so.
func (v *machineView) fetches(image string) bool {
	for _, att := range v.attemptList {
		if att.state <= attemptFetching && att.job != nil && att.job.sub.Image == image {
			return true
		}
	}
	return false
}
