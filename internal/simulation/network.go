package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// heldFraction of messages over a link that holds them back are delivered later.
	heldFraction = 0.8
	// lostFraction and slowFraction of messages are lost and late where there are faults.
	lostFraction = 0.012
	slowFraction = 0.01
)

// cutMode is what happens to messages over a link that is cut.
type cutMode int

const (
	cutNone  cutMode = iota
	cutHold          // they are delivered once the cut is over
	cutReset         // they are lost
)

// String returns the mode in a word.
func (m cutMode) String() string {
	return [...]string{cutNone: "none", cutHold: "hold", cutReset: "reset"}[m]
}

// network is the links between controllers, services, workers and users. Messages are delayed,
// lost, held back and cut. A link is named by its ends.
type network struct {
	cuts map[string]cutMode
	held map[string][]func()
}

func newNetwork() network {
	return network{cuts: map[string]cutMode{}, held: map[string][]func(){}}
}

// drawDelay draws the delay of one message: mostly short, now and then long.
func (s *Simulation) drawDelay() micros.Micros {
	if s.plan.Faults && s.chance(slowFraction) {
		return s.between(100*ms, 900*ms)
	}
	return s.between(300, 4*ms)
}

// send carries a message over a link.
func (s *Simulation) send(link string, deliver func()) {
	switch s.network.cuts[link] {
	case cutHold:
		if s.chance(heldFraction) {
			s.network.held[link] = append(s.network.held[link], deliver)
		}
		return
	case cutReset:
		return
	}
	if s.plan.Faults && s.chance(lostFraction) {
		return
	}
	s.after(s.drawDelay(), deliver)
}

// cut cuts links for a while.
func (s *Simulation) cut(links []string, mode cutMode, d micros.Micros) {
	for _, link := range links {
		s.network.cuts[link] = mode
	}
	s.after(d, func() { s.restore(links) })
}

// restore ends the cut of links.
func (s *Simulation) restore(links []string) {
	for _, link := range links {
		delete(s.network.cuts, link)
		for _, deliver := range s.network.held[link] {
			s.after(s.drawDelay(), deliver)
		}
		delete(s.network.held, link)
	}
}

// exchange carries a request and its answer. serve gets a function to answer with; done is
// called once, with ok false if there was no answer within the timeout.
func exchange[T any](s *Simulation, link string, timeout micros.Micros, serve func(reply func(T)), done func(answer T, ok bool)) {
	finished := false
	finish := func(answer T, ok bool) {
		if !finished {
			finished = true
			done(answer, ok)
		}
	}
	s.after(timeout, func() {
		var none T
		finish(none, false)
	})
	s.send(link, func() {
		serve(func(answer T) { s.send(link, func() { finish(answer, true) }) })
	})
}

// serve passes a call on to the called side.
func (s *Simulation) serve(call controller.Call, reply func(controller.Result)) {
	switch call.To {
	case controller.ToState:
		s.state.Serve(call.Req, reply)
	case controller.ToCloud:
		s.cloud.Serve(call.Req, reply)
	case controller.ToWorker:
		s.serveWorker(call, reply)
	case controller.ToPeer:
		s.servePeer(call, reply)
	}
}

// serveWorker hands a request to a worker, unless it, or the reply to it, is lost.
func (s *Simulation) serveWorker(call controller.Call, reply func(controller.Result)) {
	w := s.workers[call.Addr]
	if w == nil || s.now < w.unreachableUntil {
		return
	}
	w.Serve(call.Req, func(r controller.Result) {
		if s.now >= s.lostRepliesUntil[w.ID] {
			reply(r)
		}
	})
}

// servePeer hands a message to another controller, encoded and decoded as on the wire.
func (s *Simulation) servePeer(call controller.Call, reply func(controller.Result)) {
	for _, n := range s.nodes {
		if n.label == call.Addr && n.controller != nil {
			n.servePeer(call.Req, reply)
		}
	}
}

func (n *node) servePeer(sent any, reply func(controller.Result)) {
	var received peer.Request
	encoded, err := peer.Encode(sent)
	if err == nil {
		err = peer.Decode(encoded, &received)
	}
	if err != nil {
		n.sim.violated("peer message: %v", err)
		return
	}
	n.release.downgradeRequest(&received)
	n.deliverRequest(func(id controller.ReplyID) controller.Input {
		return controller.PeerRequest{Reply: id, Req: received}
	}, func(a controller.Answer) {
		reply(controller.Result{Status: a.Status, Body: a.Body})
	})
}
