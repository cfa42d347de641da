package simulation

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// maxRecentCalls is how many of its last calls may be repeated when a controller crashes.
	maxRecentCalls = 12
	// repeatedCallFraction of these are.
	repeatedCallFraction = 0.2
	// maxHeartbeatBytes bounds a heartbeat.
	maxHeartbeatBytes = 1 << 20
	// wallClockOffset is how far the wall clocks of two controllers in a row are apart.
	wallClockOffset = 3 * ms
)

// node is one controller of the simulation: its process, its clock and its calls.
type node struct {
	sim        *Simulation
	id         int
	label      string
	clockDrift fakes.ClockDrift
	release    Release // which version it runs

	// The process; controller is nil while there is none.
	controller      *controller.Controller
	incarnation     int
	nextReplyID     controller.ReplyID
	pendingReplies  map[controller.ReplyID]func(controller.Answer)
	wakeAt          micros.Micros
	recentCalls     []controller.Call
	heartbeatReader *wire.HeartbeatReader // decodes heartbeats, as that of a real controller

	// stepTime is how long a step takes at present; backlog waits for the one under way.
	stepTime       micros.Micros
	stepInProgress bool
	backlog        []queuedInput
	// frozenUntil is when the process stops being frozen; inputs wait until then.
	frozenUntil  micros.Micros
	frozenInputs []controller.Input

	// The state service refuses this controller alone until stateRefusedUntil, and its watches
	// get no answer until watchesLostUntil.
	stateRefusedUntil, watchesLostUntil micros.Micros
}

// start starts the process, if there is none.
func (n *node) start() {
	if n.controller != nil {
		return
	}
	cfg := n.config()
	cfg.Label = n.label
	for _, peer := range n.sim.nodes {
		if peer != n {
			cfg.Peers = append(cfg.Peers, peer.label)
		}
	}
	n.incarnation++
	n.frozenUntil = 0
	n.frozenInputs = nil
	n.stepInProgress = false
	n.backlog = nil
	n.heartbeatReader = wire.NewHeartbeatReader(maxHeartbeatBytes)
	n.controller = controller.New(cfg, n.sim.rng.Uint64())
	n.pendingReplies = map[controller.ReplyID]func(controller.Answer){}
	n.wakeAt = micros.Never
	n.handleInput(controller.Tick{})
}

// crash ends the process at once, for a while. Some of what it sent may be repeated.
func (n *node) crash(down micros.Micros) {
	if n.controller == nil {
		return
	}
	n.sim.addStateRequests(n.controller)
	n.controller = nil
	n.pendingReplies = nil
	n.sim.Restarts++
	n.sim.trace("%s crashes for %v s", n.label, down.Seconds())
	for _, call := range n.recentCalls {
		if n.sim.chance(repeatedCallFraction) {
			n.sim.after(n.sim.between(0, 4*sec), func() { n.sim.serve(call, func(controller.Result) {}) })
		}
	}
	n.recentCalls = nil
	n.sim.after(down, n.start)
}

// steadyClock returns what the process's steady clock shows.
func (n *node) steadyClock() micros.Micros { return n.clockDrift.Apply(n.sim.now) }

// wallClock returns what the process's wall clock shows.
func (n *node) wallClock() micros.Micros { return n.sim.now + micros.Micros(n.id)*wallClockOffset }

// handleInput gives the controller an input, which waits while the process is frozen or busy.
func (n *node) handleInput(in controller.Input) {
	switch {
	case n.controller == nil:
	case n.sim.now < n.frozenUntil:
		n.frozenInputs = append(n.frozenInputs, in)
	case n.stepTime > 0 || n.stepInProgress:
		n.backlog = append(n.backlog, queuedInput{in, n.sim.now})
		n.processBacklog()
	default:
		n.process(in, 0)
	}
}

// process has the controller take an input, and carries out the effects.
func (n *node) process(in controller.Input, took micros.Micros) {
	at := controller.Instant{Steady: n.steadyClock(), Wall: n.wallClock(), Took: took}
	effects := n.controller.Step(at, in)
	n.sim.countWork(in, n.controller.LastWork())
	for _, effect := range effects {
		n.executeEffect(effect)
	}
	n.scheduleWake(at.Steady)
}

func (n *node) executeEffect(effect controller.Effect) {
	switch e := effect.(type) {
	case controller.Answer:
		n.callOnSend(e)
		n.deliverAnswer(e)
	case controller.Call:
		n.callOnSend(e)
		if command, ok := e.Req.(wire.DirectCommand); ok {
			n.sim.checkStartsSent(n, command.Commands)
		}
		n.call(e)
	case controller.Log:
		n.handleLog(e)
	}
}

func (n *node) callOnSend(effect controller.Effect) {
	if n.sim.OnSend != nil {
		n.sim.OnSend(n.sim.now, n.label, effect)
	}
}

func (n *node) deliverAnswer(answer controller.Answer) {
	if reply, ok := answer.Body.(wire.HeartbeatReply); ok {
		n.sim.checkStartsSent(n, reply.Commands)
	}
	if deliver := n.pendingReplies[answer.Reply]; deliver != nil {
		delete(n.pendingReplies, answer.Reply)
		deliver(answer)
	}
}

// handleLog follows what the controller logs, and takes an invariant that it finds broken as
// a violation.
func (n *node) handleLog(entry controller.Log) {
	n.sim.trace("%s %s %v", n.label, entry.Text, entry.Args)
	if entry.Level == controller.Error && entry.Text == controller.InvariantBroken {
		n.sim.violated("%s: %s %v", n.label, entry.Text, entry.Args)
	}
	if entry.Text == controller.EndedTaskStopped {
		n.sim.checkEndedTaskStop(n, entry.Args)
	}
}

// scheduleWake gives the controller a tick when it wants one.
func (n *node) scheduleWake(steadyNow micros.Micros) {
	wake := n.controller.Wake()
	planned := n.wakeAt > steadyNow && wake >= n.wakeAt
	if planned {
		return
	}
	n.wakeAt = wake
	incarnation := n.incarnation
	n.sim.after(max(wake-steadyNow, ms), func() {
		if n.isRunning(incarnation) && n.steadyClock() >= n.wakeAt {
			n.handleInput(controller.Tick{})
		}
	})
}

// isRunning reports whether a process has not ended.
func (n *node) isRunning(incarnation int) bool {
	return n.incarnation == incarnation && n.controller != nil
}

// deliverRequest gives the controller the deliverRequest that newInput makes; deliver gets the answer, if one
// comes.
func (n *node) deliverRequest(newInput func(controller.ReplyID) controller.Input, deliver func(controller.Answer)) {
	if n.controller == nil {
		return
	}
	n.nextReplyID++
	n.pendingReplies[n.nextReplyID] = deliver
	n.handleInput(newInput(n.nextReplyID))
}

// deliverHeartbeat gives the controller a worker's deliverHeartbeat, encoded and decoded as on the wire.
func (n *node) deliverHeartbeat(sent *wire.Heartbeat, deliver func(controller.Answer)) {
	if n.controller == nil {
		return
	}
	body, err := wire.Encode(sent)
	if err != nil {
		n.sim.violated("heartbeat: %v", err)
		return
	}
	received, err := n.heartbeatReader.Parse(body)
	if err != nil {
		n.sim.violated("heartbeat: %v", err)
		return
	}
	n.deliverRequest(func(id controller.ReplyID) controller.Input {
		return controller.Heartbeat{Reply: id, Heartbeat: received}
	}, deliver)
}

// call carries a call of the controller, and gives it the result.
func (n *node) call(call controller.Call) {
	if txn, ok := call.Req.(wire.Txn); ok {
		n.checkLimits(txn)
	}
	incarnation, release := n.incarnation, n.release
	call = release.downgradeCall(call)
	n.recentCalls = append(n.recentCalls, call)
	if len(n.recentCalls) > maxRecentCalls {
		n.recentCalls = n.recentCalls[1:]
	}
	exchange(n.sim, n.link(call), call.Timeout, func(reply func(controller.Result)) {
		n.serveCall(call, reply)
	}, func(result controller.Result, ok bool) {
		if !n.isRunning(incarnation) {
			return
		}
		if !ok {
			result = controller.Result{}
		}
		result = release.downgradeResult(result)
		result.ID = call.ID
		n.handleInput(result)
	})
}

// serveCall passes a call on to the called side, unless a fault prevents that.
func (n *node) serveCall(call controller.Call, reply func(controller.Result)) {
	s := n.sim
	toState := call.To == controller.ToState
	_, isWatch := call.Req.(statestore.WatchKeys)
	switch {
	case toState && s.now < n.stateRefusedUntil:
		if !isWatch { // watches wait, as in an outage
			reply(controller.Result{Status: http.StatusServiceUnavailable})
		}
	case s.refusesJobs(call):
		reply(controller.Result{Status: http.StatusTooManyRequests})
	case toState && s.maybeExecuteUnanswered(n, call):
	case isWatch && s.now < n.watchesLostUntil:
	default:
		s.serve(call, reply)
	}
}

// link returns the link that a call goes over.
func (n *node) link(call controller.Call) string {
	switch call.To {
	case controller.ToState:
		return n.stateLink()
	case controller.ToCloud:
		return n.cloudLink()
	case controller.ToPeer:
		return n.peerLink(call.Addr)
	}
	return n.workerLink(call.Addr)
}

func (n *node) stateLink() string { return n.label + "-state" }

func (n *node) cloudLink() string { return n.label + "-cloud" }

func (n *node) userLink() string { return "user-" + n.label }

func (n *node) workerLink(machine string) string { return n.label + "-" + machine }

// peerLink is named alike from both ends.
func (n *node) peerLink(peer string) string {
	return min(n.label, peer) + "-" + max(n.label, peer)
}

// workerLinks returns the links to all machines.
func (n *node) workerLinks() (links []string) {
	for _, name := range n.sim.machineNames {
		links = append(links, n.workerLink(name))
	}
	return links
}

// peerLinks returns the links to all other controllers.
func (n *node) peerLinks() (links []string) {
	for _, peer := range n.sim.nodes {
		if peer != n {
			links = append(links, n.peerLink(peer.label))
		}
	}
	return links
}
