package simulation

// Waves of a large fleet: all workers turn to another controller at once.

const (
	// leaderDowntime is how long the leader is away.
	leaderDowntime = 8 * sec
	// singleControllerStart is when one controller is left alone with everything, and
	// singleControllerFor how long.
	singleControllerStart    = 45 * sec
	singleControllerDuration = 25 * sec
)

// scheduleReconnectionWaves ends the leader, later all controllers within a second, later all
// but one for longer than a worker's lease.
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
			s.CommandedBySingle = single.controller.Commanded()
			s.UpWithSingle = s.machinesUp()
		}
	})
}

func (s *Simulation) crashLeader() {
	for _, n := range s.nodes {
		if n.controller != nil && n.controller.Leads() {
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
