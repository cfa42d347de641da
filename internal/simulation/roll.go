package simulation

import (
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A roll from an older version: nodes that behave as it does in all that they write and
// read, replaced one by one.

// Release is a version that a node may run.
type Release int

// Releases that may run side by side.
const (
	// Current is this version.
	Current Release = iota
	// Production knows no dependencies and no limits to come (025d571).
	Production
	// LastLanded knows both, and asks nobody to record dependents (040d356).
	LastLanded
	// WithoutGroups is as this version, but knows no groups of teams (88a546a).
	WithoutGroups
)

// lower are the limits that the state service will have; new nodes keep to them from
// the start.
const (
	lowerValue = 2 << 10
	lowerOps   = 4
	lowerWrite = 60.0
)

// rollEvery is how long after one node the next is replaced.
const rollEvery = 7 * sec

// rollBegins is when the first node is replaced; in a cascade just before its cancellation.
func (s *Simulation) rollBegins() micros.Micros {
	if s.plan.Cascade != nil {
		return 24 * sec
	}
	return 10 * sec
}

// rolledAt is when all nodes have the new version, about: crashes beside the roll may
// delay it.
func (s *Simulation) rolledAt() micros.Micros {
	return s.rollBegins() + 2*sec + micros.Micros(len(s.Nodes))*rollEvery
}

// scheduleRoll replaces the nodes one by one, in a command that the seed draws, and
// lowers the state service's limits some time later.
func (s *Simulation) scheduleRoll() {
	order := s.rng.Perm(len(s.Nodes))
	for _, n := range s.Nodes {
		n.release = s.plan.Roll
	}
	for i, k := range order {
		n := s.Nodes[k]
		if i == 1 && s.plan.Seed%4 == 0 {
			i = 0 // two at a time
		}
		s.after(s.rollBegins()+micros.Micros(i)*rollEvery, func() {
			n.replace(Current)
		})
		if s.plan.RollBack {
			s.after(s.plan.Length*2/3+micros.Micros(i)*rollEvery, func() { n.replace(s.plan.Roll) })
		}
	}
	s.after(s.span(12*sec, s.rolledAt()+30*sec), func() { // while old nodes run, or later
		s.lowerLimits()
	})
}

// replace ends a node, to start again as another version.
func (n *Node) replace(by Release) {
	n.release = by
	if n.controller != nil {
		if by == Current {
			n.sim.trace("%s gets the new version", n.label)
		} else {
			n.sim.trace("%s gets the old version back", n.label)
		}
		n.crash(n.sim.span(200*ms, 4*sec))
	}
}

// config is what a node is told.
func (n *Node) config() controller.Config {
	cfg := n.sim.config(n.release != Production)
	if n.release != Current {
		cfg.Quota = nil
	}
	return cfg
}

// config are the settings as the old version or this one takes them: only this one
// knows of the limits to come.
func (s *Simulation) config(limitsToCome bool) controller.Config {
	cfg := s.cfg
	if (s.plan.Roll != Current || s.plan.Cascade != nil) && limitsToCome {
		cfg.ValueBytes, cfg.TxnOps, cfg.WriteRPS = lowerValue, lowerOps, lowerWrite
	}
	return cfg
}

// checkLimits: a new node writes nothing that the limits to come would refuse.
func (n *Node) checkLimits(t wire.Txn) {
	cfg := n.config()
	if t.Writes() > cfg.TxnOps || len(t.If) > 4*cfg.TxnOps {
		n.sim.broken("%s sends %d changes and %d conditions in a transaction", n.label, t.Writes(), len(t.If))
	}
	for _, c := range t.Then {
		if c.Put != "" && wire.StoredSize(c.Value, cfg.ValueBytes) > cfg.ValueBytes {
			n.sim.broken("%s writes a value of %d bytes to %s", n.label, len(c.Value), c.Put)
		}
	}
}

// oldJob is a job's record as the version in production knows it.
type oldJob struct {
	Submission *wire.Submission `cbor:"sub,omitempty"`
	AcceptedMS int64            `cbor:"at"`
	State      string           `cbor:"state"`
	Tasks      int              `cbor:"tasks"`
}

// asOld gives a value as the version in production reads and writes it.
func asOld(key string, value wire.Raw) wire.Raw {
	var rec oldJob
	if !strings.HasPrefix(key, wire.PrefixJob) || wire.Decode(value, &rec) != nil {
		return value
	}
	if rec.Submission != nil {
		rec.Submission.DependsOn = nil
	}
	out, err := wire.Encode(rec)
	if err != nil {
		panic(fmt.Sprintf("stand-in: %v", err))
	}
	return out
}

// sent and received are what a node of a release sends, and makes of an answer.
func (v Release) sent(call controller.Call) controller.Call {
	if req, ok := call.Req.(peer.Request); ok && v != Current && req.Status != nil {
		status := *req.Status
		status.Quota, status.Traces = false, nil
		if v != WithoutGroups {
			status.Record = nil
		}
		req.Status = &status
		call.Req = req
	}
	if v != Production {
		return call
	}
	if t, ok := call.Req.(wire.Txn); ok {
		t.Then = slices.Clone(t.Then)
		for i, c := range t.Then {
			if c.Put != "" {
				t.Then[i].Value = asOld(c.Put, c.Value)
			}
		}
		call.Req = t
	}
	return call
}

func (v Release) received(r controller.Result) controller.Result {
	if resp, ok := r.Body.(*peer.Response); ok && v != Current && resp.Status != nil {
		ack := *resp.Status
		ack.Quota = false
		r.Body = &peer.Response{From: resp.From, Status: &ack, Answer: resp.Answer, OK: resp.OK}
	}
	if v != Production {
		return r
	}
	switch b := r.Body.(type) {
	case *wire.KeyValue:
		kv := *b
		kv.Value = asOld(kv.Key, kv.Value)
		r.Body = &kv
	case *wire.KeyList:
		list := *b
		list.Items = slices.Clone(b.Items)
		for i, kv := range list.Items {
			list.Items[i].Value = asOld(kv.Key, kv.Value)
		}
		r.Body = &list
	case *wire.Events:
		ev := *b
		ev.Events = slices.Clone(b.Events)
		for i, e := range ev.Events {
			if e.Put != "" {
				ev.Events[i].Value = asOld(e.Put, e.Value)
			}
		}
		r.Body = &ev
	}
	return r
}

// receivedRequest is what a node of a release makes of another controller's message.
func (v Release) receivedRequest(req *peer.Request) {
	if v == Current || req.Status == nil {
		return
	}
	req.Status.Quota, req.Status.Traces = false, nil
	if v != WithoutGroups {
		req.Status.Record = nil
	}
}
