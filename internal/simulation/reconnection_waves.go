package simulation

// This file holds the faults of Plan.ReconnectionWaves, in which all workers of a large fleet
// switch to another controller at once.

const (
	// leaderDowntime is how long the leader is down after its crash.
	leaderDowntime = 8 * sec
	// singleControllerStart is when all controllers but one crash, singleControllerDuration how
	// long they are down.
	singleControllerStart    = 45 * sec
	singleControllerDuration = 25 * sec
)

// scheduleReconnectionWaves schedules a crash of the leader, later a crash of all controllers for
// at most a second, and later a crash of all but one for longer than a worker's lease. Just before
// they return, it counts the machines that the single remaining controller commands.
func (s *Simulation) scheduleReconnectionWaves() {
	s.after(12*sec, s.crashLeader)
	s.after(30*sec, func() { s.crashAll(100*ms, sec) })
	single := s.drawNode()
	s.after(singleControllerStart, func() {
		for _, n := range s.nodes {
			if n != single {
				n.crash(singleControllerDuration)
			}
		}
	})
	s.after(singleControllerStart+singleControllerDuration-sec, func() {
		if single.controller != nil {
			s.CommandedBySingle = single.controller.CommandedMachines()
			s.UpWithSingle = s.machinesUp()
		}
	})
}

// crashLeader crashes the first controller that leads, if any does.
func (s *Simulation) crashLeader() {
	for _, n := range s.nodes {
		if n.controller != nil && n.controller.IsLeader() {
			n.crash(leaderDowntime)
			return
		}
	}
}

// machinesUp counts the machines that are up.
func (s *Simulation) machinesUp() (count int) {
	for _, w := range s.workers {
		if w.Up() {
			count++
		}
	}
	return count
}
