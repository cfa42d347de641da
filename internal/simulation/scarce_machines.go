package simulation

import (
	"garnethitch/internal/fakes"
)

// This file holds the jobs and the faults of Plan.Scarce: a few small, large or unusual tasks in a
// fleet that shrinks to nothing at times. Each job waits for one machine in particular, and no
// other work comes that would bring about a machine for it.

const (
	// longestScarceTask is the longest duration of a task.
	longestScarceTask = 100 * sec
	// sickPeriod is how long all machines fail their tasks.
	sickPeriod = 15 * sec
	// scarceReclaimNotice is the notice of the cloud before it reclaims spot machines.
	scarceReclaimNotice = 4 * sec
)

// taskShape is what a task needs.
type taskShape struct{ cpus, memGB float64 }

// scarceShapes are the shapes of the tasks: small ones, one without CPUs, ones for which memory
// matters, and one that fits no small machine.
var scarceShapes = []taskShape{
	{0.25, 0.9}, {0.25, 0.9}, {1, 2}, {0, 1}, {0, 14}, {0.5, 12}, {4, 2}, {1, 30}, {8, 8},
}

// adaptToScarcity changes the job for Plan.Scarce.
func (u *user) adaptToScarcity() {
	s := u.sim
	shape := scarceShapes[s.rng.IntN(len(scarceShapes))]
	sub := &u.Submission
	sub.Tasks = 1 + s.rng.IntN(2)
	sub.CPUs, sub.MemGB = shape.cpus, shape.memGB
	machineType, _ := fakes.MachineType("small")
	if sub.Types != nil && (shape.cpus > machineType.CPUs || shape.memGB > machineType.MemGB) {
		sub.Types = nil
	}
	sub.EstimateS = longestScarceTask.Seconds() / 2
	u.AlwaysFails = false
	u.willCancel = false
}

// scheduleScarcity schedules faults after which no machine is left that runs tasks: the machines
// fail them, or the cloud reclaims them. The last one comes at the end of ActiveTime.
func (s *Simulation) scheduleScarcity() {
	for range 2 {
		s.after(s.between(5*sec, s.plan.ActiveTime), s.makeMachinesSick)
		s.after(s.between(5*sec, s.plan.ActiveTime), s.reclaimAllMachines)
	}
	s.after(s.plan.ActiveTime-sickPeriod, func() {
		if s.chance(0.5) {
			s.makeMachinesSick()
		} else {
			s.reclaimAllMachines()
		}
	})
}

// makeMachinesSick makes all machines fail their tasks for sickPeriod.
func (s *Simulation) makeMachinesSick() {
	s.trace("all machines are sick")
	s.ScarceFaults++
	for _, w := range s.drawMachines(1) {
		w.FaultyUntil = s.now + sickPeriod
	}
}

// reclaimAllMachines makes the cloud reclaim all spot machines but a few.
func (s *Simulation) reclaimAllMachines() {
	s.trace("the cloud reclaims spot machines")
	s.ScarceFaults++
	for _, w := range s.drawMachines(0.8) {
		if w.Spot {
			w.AnnounceReclaim(scarceReclaimNotice)
		}
	}
}

// cloudWouldGive reports whether the cloud would rent out a machine on which the job's tasks may
// run, given the number of its placed tasks by zone.
func (s *Simulation) cloudWouldGive(u *user, zones map[string]int) bool {
	if !s.cloud.Available() {
		return false
	}
	for _, machineType := range fakes.MachineTypes() {
		fits := machineType.CPUs >= u.Submission.CPUs && machineType.MemGB >= u.Submission.MemGB
		if !fits || !u.allowsType(machineType.Name) {
			continue
		}
		for _, zone := range machineType.Zones {
			if (u.Submission.Zone == "" || u.Submission.Zone == zone) && u.allowsZone(zone, zones) {
				return true
			}
		}
	}
	return false
}
