package simulation

// Waves of a large fleet: all workers turn to another controller at once.

const (
	// leaderAwayFor is how long the leader is away.
	leaderAwayFor = 8 * sec
	// singleControllerFrom is when one controller is left alone with everything, and
	// singleControllerFor how long.
	singleControllerFrom = 45 * sec
	singleControllerFor  = 25 * sec
)

// scheduleReconnectionWaves ends the leader, later all controllers within a second, later all
// but one for longer than a worker's lease.
func (s *Simulation) scheduleReconnectionWaves() {
	s.after(12*sec, s.crashLeader)
	s.after(30*sec, func() { s.crashAll(100*ms, sec) })
	single := s.drawNode()
	s.after(singleControllerFrom, func() {
		for _, n := range s.nodes {
			if n != single {
				n.crash(singleControllerFor)
			}
		}
	})
	s.after(singleControllerFrom+singleControllerFor-sec, func() {
		if single.controller != nil {
			s.CommandedBySingle = single.controller.CommandedMachines()
			s.UpWithSingle = s.machinesUp()
		}
	})
}

func (s *Simulation) crashLeader() {
	for _, n := range s.nodes {
		if n.controller != nil && n.controller.IsLeader() {
			n.crash(leaderAwayFor)
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
