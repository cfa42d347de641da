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
	// maxRecentCalls is the number of a controller's last calls that may be repeated after it
	// crashes.
	maxRecentCalls = 12
	// repeatedCallFraction is the probability that each of them is repeated.
	repeatedCallFraction = 0.2
	// maxHeartbeatBytes limits the size of an encoded heartbeat.
	maxHeartbeatBytes = 1 << 20
	// wallClockOffset is the difference between the wall clocks of a controller and the next one.
	wallClockOffset = 3 * ms
)

// node is a simulated controller: its process, its clock and its calls. The process may end and be
// started again.
type node struct {
	sim        *Simulation
	id         int
	label      string
	clockDrift fakes.ClockDrift
	release    Release // the release that it runs

	// State of the process; controller is nil while there is none.
	controller      *controller.Controller
	incarnation     int // number of the process; each start increments it
	nextReplyID     controller.ReplyID
	pendingReplies  map[controller.ReplyID]func(controller.Answer)
	wakeAt          micros.Micros // on the monotonic clock
	recentCalls     []controller.Call
	heartbeatReader *wire.HeartbeatReader // decodes heartbeats as a real controller does
	// receivedMessages counts the heartbeats and requests of other controllers that were received.
	receivedMessages int

	// stepTime is how long a step takes at present. backlog holds the inputs of slow steps; the
	// first one is in progress if stepInProgress.
	stepTime       micros.Micros
	stepInProgress bool
	backlog        []queuedInput
	// frozenUntil is the time until which the process is frozen; frozenInputs wait until then.
	frozenUntil  micros.Micros
	frozenInputs []controller.Input

	// The state service refuses the requests of this controller only until stateRefusedUntil. The
	// controller's watches get no answer until watchesLostUntil.
	stateRefusedUntil, watchesLostUntil micros.Micros
}

// start starts a process unless one is running.
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

// crash ends the process at once and starts another after the given downtime. Some of its recent
// calls may arrive a second time.
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

// monotonicClock returns the time on the process's monotonic clock, which drifts.
func (n *node) monotonicClock() micros.Micros { return n.clockDrift.Apply(n.sim.now) }

// wallClock returns the time on the process's wall clock.
func (n *node) wallClock() micros.Micros { return n.sim.now + micros.Micros(n.id)*wallClockOffset }

// handleInput gives the controller an input. While the process is frozen or slow, the input is
// queued; without a process it is dropped.
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

// process runs one step of the controller with an input, and executes the step's effects. took is
// passed to the controller as the duration of its previous step; a slow step has already been
// delayed by that time.
func (n *node) process(in controller.Input, took micros.Micros) {
	at := controller.Instant{Monotonic: n.monotonicClock(), Wall: n.wallClock(), PreviousStepDuration: took}
	effects := n.controller.Step(at, in)
	n.sim.countWork(in, n.controller.LastWork())
	for _, effect := range effects {
		n.executeEffect(effect)
	}
	n.scheduleWake(at.Monotonic)
}

// executeEffect delivers an answer, sends a call or handles a log entry.
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

// callOnSend passes an effect to Simulation.OnSend if that is set.
func (n *node) callOnSend(effect controller.Effect) {
	if n.sim.OnSend != nil {
		n.sim.OnSend(n.sim.now, n.label, effect)
	}
}

// deliverAnswer delivers an answer of the controller to whoever sent the request.
func (n *node) deliverAnswer(answer controller.Answer) {
	if reply, ok := answer.Body.(wire.HeartbeatReply); ok {
		n.sim.checkStartsSent(n, reply.Commands)
	}
	if deliver := n.pendingReplies[answer.Reply]; deliver != nil {
		delete(n.pendingReplies, answer.Reply)
		deliver(answer)
	}
}

// handleLog traces a log entry of the controller. A broken invariant is recorded as a violation,
// and the stop of a task whose job has ended is checked.
func (n *node) handleLog(entry controller.Log) {
	n.sim.trace("%s %s %v", n.label, entry.Text, entry.Args)
	if entry.Level == controller.Error && entry.Text == controller.InvariantBroken {
		n.sim.violated("%s: %s %v", n.label, entry.Text, entry.Args)
	}
	if entry.Text == controller.EndedTaskStopped {
		n.sim.checkEndedTaskStop(n, entry.Args)
	}
}

// scheduleWake schedules the controller's next tick at the time that the controller asks for.
func (n *node) scheduleWake(monotonicNow micros.Micros) {
	wake := n.controller.Wake()
	planned := n.wakeAt > monotonicNow && wake >= n.wakeAt
	if planned {
		return
	}
	n.wakeAt = wake
	incarnation := n.incarnation
	n.sim.after(max(wake-monotonicNow, ms), func() {
		if n.isRunning(incarnation) && n.monotonicClock() >= n.wakeAt {
			n.handleInput(controller.Tick{})
		}
	})
}

// isRunning reports whether the process with this incarnation is still running.
func (n *node) isRunning(incarnation int) bool {
	return n.incarnation == incarnation && n.controller != nil
}

// deliverRequest gives the controller the request that newInput returns. deliver is called with the
// answer, or never if there is none.
func (n *node) deliverRequest(newInput func(controller.ReplyID) controller.Input, deliver func(controller.Answer)) {
	if n.controller == nil {
		return
	}
	n.nextReplyID++
	n.pendingReplies[n.nextReplyID] = deliver
	n.handleInput(newInput(n.nextReplyID))
}

// deliverHeartbeat gives the controller a worker's heartbeat after encoding and decoding it as for
// the network. deliver is called with the answer, or never if there is none.
func (n *node) deliverHeartbeat(sent *wire.Heartbeat, deliver func(controller.Answer)) {
	if n.controller == nil {
		return
	}
	received, err := n.receivedHeartbeat(sent)
	if err != nil {
		n.sim.violated("heartbeat: %v", err)
		return
	}
	n.deliverRequest(func(id controller.ReplyID) controller.Input {
		return controller.Heartbeat{Reply: id, Heartbeat: received}
	}, deliver)
}

// call sends a call of the controller, and gives it the result. The result is empty if the call
// times out.
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

// serveCall passes a call on to the called component, unless a fault prevents that.
func (n *node) serveCall(call controller.Call, reply func(controller.Result)) {
	s := n.sim
	toState := call.To == controller.ToState
	_, isWatch := call.Req.(statestore.WatchKeys)
	switch {
	case toState && s.now < n.stateRefusedUntil:
		if !isWatch { // watches get no answer, as in an outage
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

// link returns the name of the network link that a call uses.
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

// peerLink returns the link to another controller. Its name is the same at both ends.
func (n *node) peerLink(peer string) string {
	return min(n.label, peer) + "-" + max(n.label, peer)
}

// workerLinks returns the links to all machines ever rented.
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
