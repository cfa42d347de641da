package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// queuedInput is an input in the backlog of a slow controller.
type queuedInput struct {
	input    controller.Input
	queuedAt micros.Micros
}

// processBacklog processes the inputs of the backlog one after the other, each after stepTime.
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

// freezeBacklog moves the backlog, including the input in progress, to the inputs that wait until
// the process is no longer frozen.
func (n *node) freezeBacklog() {
	n.stepInProgress = false
	for _, queued := range n.backlog {
		n.frozenInputs = append(n.frozenInputs, queued.input)
	}
	n.backlog = nil
}

// slowDown makes the steps of some controllers take the plan's SlowStep for the duration d.
func (s *Simulation) slowDown(nodes []*node, d micros.Micros) {
	for _, n := range nodes {
		s.trace("each step of %s takes %v s for the next %v s", n.label, s.plan.SlowStep.Seconds(), d.Seconds())
		n.stepTime = s.plan.SlowStep
		s.after(d, func() { n.stepTime = 0 })
	}
}

// scheduleSlowSteps slows down one controller, and later all controllers.
func (s *Simulation) scheduleSlowSteps() {
	s.after(s.between(10*sec, s.plan.ActiveTime/3), func() {
		s.slowDown([]*node{s.drawNode()}, s.between(10*sec, 25*sec))
	})
	s.after(s.between(s.plan.ActiveTime/2, s.plan.ActiveTime*3/4), func() {
		s.slowDown(s.nodes, s.between(10*sec, 20*sec))
	})
}
