package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// queuedInput waits for a controller that is short of time.
type queuedInput struct {
	input    controller.Input
	queuedAt micros.Micros
}

// processBacklog takes the next input of the backlog, which takes its time.
func (n *node) processBacklog() {
	if n.stepInProgress || len(n.backlog) == 0 {
		return
	}
	n.stepInProgress = true
	incarnation, stepTime := n.incarnation, n.stepTime
	n.sim.after(stepTime, func() {
		if !n.isRunning(incarnation) {
			return
		}
		if n.sim.now < n.frozenUntil {
			n.freezeBacklog()
			return
		}
		next := n.backlog[0]
		n.backlog = n.backlog[1:]
		n.sim.LongestInputWait = max(n.sim.LongestInputWait, n.sim.now-next.queuedAt)
		n.process(next.input, stepTime)
		n.stepInProgress = false
		n.processBacklog()
	})
}

// freezeBacklog has the backlog wait with a process that is frozen, the input under way
// included.
func (n *node) freezeBacklog() {
	n.stepInProgress = false
	for _, queued := range n.backlog {
		n.frozenInputs = append(n.frozenInputs, queued.input)
	}
	n.backlog = nil
}

// slowDown makes some controllers slow for a while.
func (s *Simulation) slowDown(nodes []*node, d micros.Micros) {
	for _, n := range nodes {
		s.trace("%s takes %v s a step for %v s", n.label, s.plan.SlowStep.Seconds(), d.Seconds())
		n.stepTime = s.plan.SlowStep
		s.after(d, func() { n.stepTime = 0 })
	}
}

// scheduleSlowSteps slows one controller down, later all of them.
func (s *Simulation) scheduleSlowSteps() {
	s.after(s.between(10*sec, s.plan.ActiveTime/3), func() {
		s.slowDown([]*node{s.drawNode()}, s.between(10*sec, 25*sec))
	})
	s.after(s.between(s.plan.ActiveTime/2, s.plan.ActiveTime*3/4), func() {
		s.slowDown(s.nodes, s.between(10*sec, 20*sec))
	})
}
