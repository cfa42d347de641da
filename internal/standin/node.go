package standin

import (
	"garnethitch/internal/core"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A controller of the simulation: its process, its clock and its calls.

// Node is one controller.
type Node struct {
	sim    *Sim
	id     int
	label  string
	rate   int64 // its steady clock runs this many millionths fast
	core   *core.Core
	life   int
	nextID core.ReplyID
	answer map[core.ReplyID]func(core.Answer)
	wake   micros.Micros
	recent []core.Call
	// cost is how long a step takes at present; backlog waits for the one under way.
	cost    micros.Micros
	working bool
	backlog []queuedInput
	// reports decodes what workers say, as a real controller does.
	reports *wire.ReportReader
	// frozenUntil: until then the process stands still, and what comes in waits.
	frozenUntil micros.Micros
	waiting     []core.Input
	release     Release // which version it runs
}

func (n *Node) start() {
	if n.core != nil {
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
	n.reports = wire.NewReportReader(1 << 20)
	n.core = core.New(cfg, n.sim.rng.Uint64())
	n.answer = map[core.ReplyID]func(core.Answer){}
	n.wake = micros.Never
	n.step(core.Tick{})
}

// crash ends the process without a word. Some of what it sent may be repeated.
func (n *Node) crash(down micros.Micros) {
	if n.core == nil {
		return
	}
	n.sim.noteStateRequests(n.core)
	n.core, n.answer = nil, nil
	n.sim.Restarts++
	n.sim.trace("%s crashes for %v s", n.label, down.Seconds())
	for _, call := range n.recent {
		if n.sim.chance(0.2) {
			n.sim.after(n.sim.span(0, 4*sec), func() { n.sim.serve(call, func(core.Result) {}) })
		}
	}
	n.recent = nil
	n.sim.after(down, n.start)
}

func (n *Node) steady() micros.Micros {
	t := n.sim.now
	return t + micros.Micros(int64(t)*n.rate/1_000_000)
}

func (n *Node) step(in core.Input) {
	if n.core == nil {
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

func (n *Node) carryOut(in core.Input, took micros.Micros) {
	at := core.Instant{Steady: n.steady(), Wall: n.sim.now + micros.Micros(n.id)*3*ms, Took: took}
	effects := n.core.Step(at, in)
	n.sim.countWork(in, n.core.LastWork())
	for _, e := range effects {
		switch e := e.(type) {
		case core.Answer:
			n.sent(e)
			if a, ok := e.Body.(wire.ReportAnswer); ok {
				n.sim.checkStarts(n, a.Commands)
			}
			if f := n.answer[e.Reply]; f != nil {
				delete(n.answer, e.Reply)
				f(e)
			}
		case core.Call:
			n.sent(e)
			if o, ok := e.Req.(wire.Orders); ok {
				n.sim.checkStarts(n, o.Commands)
			}
			n.call(e)
		case core.Log:
			n.sim.trace("%s %s %v", n.label, e.Text, e.Args)
			if e.Level == core.Error && e.Text == core.InvariantBroken {
				n.sim.broken("%s: %s %v", n.label, e.Text, e.Args)
			}
			if e.Text == core.EndedTaskStopped {
				n.sim.checkEndedStop(n, e.Args)
			}
		}
	}
	if w := n.core.Wake(); w < n.wake || n.wake <= at.Steady {
		n.wake = w
		life := n.life
		n.sim.after(max(w-at.Steady, ms), func() {
			if n.life == life && n.core != nil && n.steady() >= n.wake {
				n.step(core.Tick{})
			}
		})
	}
}

// sent passes an effect to the hook of the simulation.
func (n *Node) sent(effect core.Effect) {
	if n.sim.Sent != nil {
		n.sim.Sent(n.sim.now, n.label, effect)
	}
}

// ask gives the node a request; f gets the answer, if one comes.
func (n *Node) ask(make func(core.ReplyID) core.Input, f func(core.Answer)) {
	if n.core == nil {
		return
	}
	n.nextID++
	n.answer[n.nextID] = f
	n.step(make(n.nextID))
}

// checkin gives the node a worker's report, encoded and decoded as on the wire.
func (n *Node) checkin(rep *wire.Report, f func(core.Answer)) {
	if n.core == nil {
		return
	}
	body, err := wire.Encode(rep)
	if err != nil {
		n.sim.broken("report: %v", err)
		return
	}
	got, err := n.reports.Parse(body)
	if err != nil {
		n.sim.broken("report: %v", err)
		return
	}
	n.ask(func(id core.ReplyID) core.Input { return core.Checkin{Reply: id, Report: got} }, f)
}

func (n *Node) call(call core.Call) {
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
		func(reply func(core.Result)) {
			if call.To == core.ToState && n.sim.now < n.sim.State.refuse[n.label] {
				if _, isWatch := call.Req.(core.Watch); !isWatch {
					reply(core.Result{Status: 503}) // watches wait, as in an outage
				}
				return
			}
			if n.sim.refusesJobs(call) {
				reply(core.Result{Status: 429})
				return
			}
			if call.To == core.ToState && n.sim.lateWrite(n, call) {
				return
			}
			if _, isWatch := call.Req.(core.Watch); isWatch && n.sim.now < n.sim.State.watchCutOff[n.label] {
				return // what it would bring is lost on the way
			}
			n.sim.serve(call, reply)
		},
		func(r core.Result, ok bool) {
			if n.life != life || n.core == nil {
				return
			}
			if !ok {
				r = core.Result{}
			}
			r = release.received(r)
			r.ID = call.ID
			n.step(r)
		})
}

func (n *Node) link(call core.Call) string {
	switch call.To {
	case core.ToState:
		return n.label + "-state"
	case core.ToCloud:
		return n.label + "-cloud"
	case core.ToPeer:
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
