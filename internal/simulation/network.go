package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

const (
	// heldFraction is the fraction of messages over a link cut with cutHold that are delivered
	// later; the others are lost.
	heldFraction = 0.8
	// lostFraction and slowFraction are the fractions of messages that are lost and that are late
	// in plans with Faults.
	lostFraction = 0.012
	slowFraction = 0.01
)

// cutMode is what happens to messages over a link that is cut.
type cutMode int

const (
	cutNone  cutMode = iota // not cut
	cutHold                 // most messages are held back and delivered once the cut is over
	cutReset                // messages are lost
)

// String returns the name of the mode.
func (m cutMode) String() string {
	return [...]string{cutNone: "none", cutHold: "hold", cutReset: "reset"}[m]
}

// network holds the state of the links between controllers, services, workers and users. A link is
// named after its two ends.
type network struct {
	cuts map[string]cutMode  // by link
	held map[string][]func() // deliveries of messages that are held back, by link
}

func newNetwork() network {
	return network{cuts: map[string]cutMode{}, held: map[string][]func(){}}
}

// drawDelay draws the delay of one message. Most delays are short; in plans with Faults some are
// long.
func (s *Simulation) drawDelay() micros.Micros {
	if s.plan.Faults && s.chance(slowFraction) {
		return s.between(100*ms, 900*ms)
	}
	return s.between(300, 4*ms)
}

// send sends a message over a link. deliver is called when the message arrives, and never if it is
// lost.
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

// cut cuts links for the duration d.
func (s *Simulation) cut(links []string, mode cutMode, d micros.Micros) {
	for _, link := range links {
		s.network.cuts[link] = mode
	}
	s.after(d, func() { s.restore(links) })
}

// restore ends the cut of links and delivers the messages that were held back.
func (s *Simulation) restore(links []string) {
	for _, link := range links {
		delete(s.network.cuts, link)
		for _, deliver := range s.network.held[link] {
			s.after(s.drawDelay(), deliver)
		}
		delete(s.network.held, link)
	}
}

// exchange sends a request over a link and its answer back. serve is called when the request
// arrives, with the function to answer with. done is called once, with ok false if no answer
// arrives within the timeout.
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

// serve passes a call on to the component that it is addressed to.
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

// serveWorker passes a call on to a worker. The call is lost while the worker can't be reached, and
// the reply is lost until the time in lostRepliesUntil.
func (s *Simulation) serveWorker(call controller.Call, reply func(controller.Result)) {
	w := s.workers[call.Addr]
	if w == nil || s.now < w.unreachableUntil {
		return
	}
	w.Serve(call.Req, func(r controller.Result) {
		r = s.copyLater(w, call, r)
		if s.now >= s.lostRepliesUntil[w.ID] {
			reply(r)
		}
	})
}

// servePeer passes a call on to the controller that it is addressed to, if that is running.
func (s *Simulation) servePeer(call controller.Call, reply func(controller.Result)) {
	for _, n := range s.nodes {
		if n.label == call.Addr && n.controller != nil {
			n.servePeer(call.Req, reply)
		}
	}
}

// servePeer gives the controller a request of another controller after encoding and decoding it as
// for the network.
func (n *node) servePeer(sent any, reply func(controller.Result)) {
	received, err := n.receivedRequest(sent)
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
