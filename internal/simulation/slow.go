package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// queuedInput waits for a controller that is short of time.
type queuedInput struct {
	in controller.Input
	at micros.Micros
}

// work takes the next input of the backlog; it takes its time.
func (n *Node) work() {
	if n.working || len(n.backlog) == 0 {
		return
	}
	n.working = true
	life, cost := n.life, n.cost
	n.sim.after(cost, func() {
		if n.life != life || n.controller == nil {
			return
		}
		if n.sim.now < n.frozenUntil { // what is under way stands still with the process
			n.working = false
			for _, q := range n.backlog {
				n.waiting = append(n.waiting, q.in)
			}
			n.backlog = nil
			return
		}
		next := n.backlog[0]
		n.backlog = n.backlog[1:]
		n.sim.Waited = max(n.sim.Waited, n.sim.now-next.at)
		n.carryOut(next.in, cost)
		n.working = false
		n.work()
	})
}

// slowness makes some controllers slow for a while.
func (s *Simulation) slowness(nodes []*Node, d micros.Micros) {
	for _, n := range nodes {
		s.trace("%s takes %v s a step for %v s", n.label, s.plan.Slow.Seconds(), d.Seconds())
		n.cost = s.plan.Slow
		s.after(d, func() { n.cost = 0 })
	}
}

// scheduleSlowness slows one controller down, later all of them.
func (s *Simulation) scheduleSlowness() {
	s.after(s.span(10*sec, s.plan.Length/3), func() {
		s.slowness([]*Node{s.Nodes[s.rng.IntN(len(s.Nodes))]}, s.span(10*sec, 25*sec))
	})
	s.after(s.span(s.plan.Length/2, s.plan.Length*3/4), func() { s.slowness(s.Nodes, s.span(10*sec, 20*sec)) })
}

// atWork: a task runs on a machine, whose user has not cancelled it.
func (s *Simulation) atWork(w *Worker) bool {
	for _, t := range w.tasks {
		if t.onMachine() && !s.userOf(t.job).asked {
			return true
		}
	}
	return false
}
