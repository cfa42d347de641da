package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// The simulation's network: messages are delayed, lost, held back and cut.

type cutMode int

const (
	cutNone cutMode = iota
	cutHold
	cutReset
)

// delay of one message: mostly short, now and then long.
func (s *Simulation) delay() micros.Micros {
	if s.plan.Faults && s.chance(0.01) {
		return s.span(100*ms, 900*ms)
	}
	return s.span(300, 4*ms)
}

// send carries a message over a link named by its ends. Over a link that is
// cut it vanishes, or is held back and delivered once the cut is over.
func (s *Simulation) send(link string, deliver func()) {
	switch s.cuts[link] {
	case cutHold:
		if s.chance(0.8) {
			s.held[link] = append(s.held[link], deliver)
		}
		return
	case cutReset:
		return
	}
	if s.plan.Faults && s.chance(0.012) {
		return
	}
	s.after(s.delay(), deliver)
}

func (s *Simulation) cut(links []string, mode cutMode, d micros.Micros) {
	for _, l := range links {
		s.cuts[l] = mode
	}
	s.after(d, func() {
		for _, l := range links {
			delete(s.cuts, l)
			for _, f := range s.held[l] {
				s.after(s.delay(), f)
			}
			delete(s.held, l)
		}
	})
}

// exchange carries a request and its answer. serve gets a function to answer
// with; the client gives up after the timeout.
func exchange[T any](s *Simulation, link string, timeout micros.Micros, serve func(reply func(T)), done func(answer T, ok bool)) {
	over := false
	finish := func(v T, ok bool) {
		if !over {
			over = true
			done(v, ok)
		}
	}
	var zero T
	s.after(timeout, func() { finish(zero, false) })
	s.send(link, func() {
		serve(func(v T) { s.send(link, func() { finish(v, true) }) })
	})
}

// serve lets the called side answer.
func (s *Simulation) serve(call controller.Call, reply func(controller.Result)) {
	switch call.To {
	case controller.ToState:
		s.state.Serve(call.Req, reply)
	case controller.ToCloud:
		s.cloud.Serve(call.Req, reply)
	case controller.ToWorker:
		if w := s.workers[call.Addr]; w != nil && s.now >= w.unreachableUntil {
			w.serve(call.Req, func(r controller.Result) {
				if s.now >= s.lostCommandReplies[w.ID] {
					reply(r)
				}
			})
		}
	case controller.ToPeer:
		s.servePeer(call, reply)
	}
}

// servePeer hands a message to another controller, encoded and decoded as on
// the wire.
func (s *Simulation) servePeer(call controller.Call, reply func(controller.Result)) {
	for _, n := range s.Nodes {
		if n.label != call.Addr || n.controller == nil {
			continue
		}
		var req peer.Request
		b, err := peer.Encode(call.Req)
		if err == nil {
			err = peer.Decode(b, &req)
		}
		if err != nil {
			s.broken("peer message: %v", err)
			return
		}
		n.release.receivedRequest(&req)
		n.ask(func(id controller.ReplyID) controller.Input { return controller.PeerRequest{Reply: id, Req: req} }, func(a controller.Answer) {
			reply(controller.Result{Status: a.Status, Body: a.Body})
		})
	}
}
