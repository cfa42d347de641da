package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A controller of the simulation: its process, its clock and its calls.

// Node is one controller.
type Node struct {
	sim        *Simulation
	id         int
	label      string
	rate       int64 // its steady clock runs this many millionths fast
	controller *controller.Controller
	life       int
	nextID     controller.ReplyID
	answer     map[controller.ReplyID]func(controller.Answer)
	wake       micros.Micros
	recent     []controller.Call
	// cost is how long a step takes at present; backlog waits for the one under way.
	cost    micros.Micros
	working bool
	backlog []queuedInput
	// heartbeats decodes what workers say, as a real controller does.
	heartbeats *wire.HeartbeatReader
	// frozenUntil: until then the process stands still, and what comes in waits.
	frozenUntil micros.Micros
	waiting     []controller.Input
	release     Release // which version it runs
	// stateRefusedUntil: until then the state service refuses it alone, and watchesLostUntil:
	// until then its watches bring nothing.
	stateRefusedUntil, watchesLostUntil micros.Micros
}

func (n *Node) start() {
	if n.controller != nil {
		return
	}
	cfg := n.config()
	cfg.Label = n.label
	for _, o := range n.sim.Nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, o.label)
		}
	}
	n.life++
	n.frozenUntil, n.waiting = 0, nil
	n.working, n.backlog = false, nil
	n.heartbeats = wire.NewHeartbeatReader(1 << 20)
	n.controller = controller.New(cfg, n.sim.rng.Uint64())
	n.answer = map[controller.ReplyID]func(controller.Answer){}
	n.wake = micros.Never
	n.step(controller.Tick{})
}

// crash ends the process without a word. Some of what it sent may be repeated.
func (n *Node) crash(down micros.Micros) {
	if n.controller == nil {
		return
	}
	n.sim.noteStateRequests(n.controller)
	n.controller, n.answer = nil, nil
	n.sim.Restarts++
	n.sim.trace("%s crashes for %v s", n.label, down.Seconds())
	for _, call := range n.recent {
		if n.sim.chance(0.2) {
			n.sim.after(n.sim.span(0, 4*sec), func() { n.sim.serve(call, func(controller.Result) {}) })
		}
	}
	n.recent = nil
	n.sim.after(down, n.start)
}

func (n *Node) steady() micros.Micros {
	t := n.sim.now
	return t + micros.Micros(int64(t)*n.rate/1_000_000)
}

func (n *Node) step(in controller.Input) {
	if n.controller == nil {
		return
	}
	if n.sim.now < n.frozenUntil {
		n.waiting = append(n.waiting, in)
		return
	}
	if n.cost > 0 || n.working {
		n.backlog = append(n.backlog, queuedInput{in, n.sim.now})
		n.work()
		return
	}
	n.carryOut(in, 0)
}

func (n *Node) carryOut(in controller.Input, took micros.Micros) {
	at := controller.Instant{Steady: n.steady(), Wall: n.sim.now + micros.Micros(n.id)*3*ms, Took: took}
	effects := n.controller.Step(at, in)
	n.sim.countWork(in, n.controller.LastWork())
	for _, e := range effects {
		switch e := e.(type) {
		case controller.Answer:
			n.sent(e)
			if a, ok := e.Body.(wire.HeartbeatReply); ok {
				n.sim.checkStarts(n, a.Commands)
			}
			if f := n.answer[e.Reply]; f != nil {
				delete(n.answer, e.Reply)
				f(e)
			}
		case controller.Call:
			n.sent(e)
			if o, ok := e.Req.(wire.DirectCommand); ok {
				n.sim.checkStarts(n, o.Commands)
			}
			n.call(e)
		case controller.Log:
			n.sim.trace("%s %s %v", n.label, e.Text, e.Args)
			if e.Level == controller.Error && e.Text == controller.InvariantBroken {
				n.sim.broken("%s: %s %v", n.label, e.Text, e.Args)
			}
			if e.Text == controller.EndedTaskStopped {
				n.sim.checkEndedStop(n, e.Args)
			}
		}
	}
	if w := n.controller.Wake(); w < n.wake || n.wake <= at.Steady {
		n.wake = w
		life := n.life
		n.sim.after(max(w-at.Steady, ms), func() {
			if n.life == life && n.controller != nil && n.steady() >= n.wake {
				n.step(controller.Tick{})
			}
		})
	}
}

// sent passes an effect to the hook of the simulation.
func (n *Node) sent(effect controller.Effect) {
	if n.sim.Sent != nil {
		n.sim.Sent(n.sim.now, n.label, effect)
	}
}

// ask gives the node a request; f gets the answer, if one comes.
func (n *Node) ask(make func(controller.ReplyID) controller.Input, f func(controller.Answer)) {
	if n.controller == nil {
		return
	}
	n.nextID++
	n.answer[n.nextID] = f
	n.step(make(n.nextID))
}

// heartbeat gives the node a worker's heartbeat, encoded and decoded as on the wire.
func (n *Node) heartbeat(heartbeat *wire.Heartbeat, f func(controller.Answer)) {
	if n.controller == nil {
		return
	}
	body, err := wire.Encode(heartbeat)
	if err != nil {
		n.sim.broken("report: %v", err)
		return
	}
	got, err := n.heartbeats.Parse(body)
	if err != nil {
		n.sim.broken("report: %v", err)
		return
	}
	n.ask(func(id controller.ReplyID) controller.Input { return controller.Heartbeat{Reply: id, Heartbeat: got} }, f)
}

func (n *Node) call(call controller.Call) {
	life, release := n.life, n.release
	if t, ok := call.Req.(wire.Txn); ok {
		n.checkLimits(t)
	}
	call = release.sent(call)
	n.recent = append(n.recent, call)
	if len(n.recent) > 12 {
		n.recent = n.recent[1:]
	}
	exchange(n.sim, n.link(call), call.Timeout,
		func(reply func(controller.Result)) {
			if call.To == controller.ToState && n.sim.now < n.stateRefusedUntil {
				if _, isWatch := call.Req.(controller.Watch); !isWatch {
					reply(controller.Result{Status: 503}) // watches wait, as in an outage
				}
				return
			}
			if n.sim.refusesJobs(call) {
				reply(controller.Result{Status: 429})
				return
			}
			if call.To == controller.ToState && n.sim.lateWrite(n, call) {
				return
			}
			if _, isWatch := call.Req.(controller.Watch); isWatch && n.sim.now < n.watchesLostUntil {
				return // what it would bring is lost on the way
			}
			n.sim.serve(call, reply)
		},
		func(r controller.Result, ok bool) {
			if n.life != life || n.controller == nil {
				return
			}
			if !ok {
				r = controller.Result{}
			}
			r = release.received(r)
			r.ID = call.ID
			n.step(r)
		})
}

func (n *Node) link(call controller.Call) string {
	switch call.To {
	case controller.ToState:
		return n.label + "-state"
	case controller.ToCloud:
		return n.label + "-cloud"
	case controller.ToPeer:
		return n.peerLink(call.Addr)
	}
	return n.label + "-" + call.Addr
}

// workerLinks are a controller's links to all machines, peerLinks those to the others.
func (n *Node) workerLinks() (links []string) {
	for _, name := range n.sim.names {
		links = append(links, n.label+"-"+name)
	}
	return links
}

func (n *Node) peerLinks() (links []string) {
	for _, o := range n.sim.Nodes {
		if o != n {
			links = append(links, n.peerLink(o.label))
		}
	}
	return links
}

// peerLink is named alike from both ends.
func (n *Node) peerLink(other string) string {
	return min(n.label, other) + "-" + max(n.label, other)
}
