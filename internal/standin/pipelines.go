package standin

import (
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/core"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Pipelines of jobs that depend on each other, and a roll from the version in
// production: nodes that behave as it does in all that they write and read, replaced
// one by one.

// lower are the limits that the state service will have; new nodes keep to them from
// the start.
const (
	lowerValue = 2 << 10
	lowerOps   = 4
	lowerWrite = 60.0
)

// newPipelines adds users whose jobs need each other.
func (s *Sim) newPipelines() {
	ordinary := slices.Clone(s.users)
	begin := 5 * sec
	if s.plan.Roll {
		begin = s.rolledAt() + 2*sec
	}
	add := func(at micros.Micros, needs ...*user) *user {
		u := newUser(s, len(s.users))
		u.bad, u.cancels, u.needs = false, false, needs
		u.sub.Tasks = min(u.sub.Tasks, 3)
		u.runs = u.runs[:u.sub.Tasks]
		for i := range u.runs {
			u.runs[i] = s.span(2*sec, 6*sec) // a deep pipeline is to be over within Rest
		}
		if u.sub.Class == "rush" && len(needs) < 2 {
			u.sub.Priority = "best_effort"
		}
		for _, d := range needs {
			u.sub.Dependencies = append(u.sub.Dependencies, d.sub.ID)
		}
		if len(needs) > 0 && s.chance(0.2) {
			u.sub.Dependencies = append(u.sub.Dependencies, u.sub.Dependencies[0])
			u.sub.Dependencies = slices.Compact(u.sub.Dependencies)
		}
		s.users = append(s.users, u)
		s.byJob[u.sub.ID] = u
		late := len(needs) > 0 && s.chance(0.15)
		s.after(at, func() { u.submitAfter(late) })
		return u
	}
	for range s.plan.Pipelines {
		at := s.span(begin, max(begin, s.plan.Length*3/4))
		var members []*user
		switch s.rng.IntN(4) {
		case 0: // deep
			last := add(at)
			members = append(members, last)
			for range 10 {
				last = add(at, last)
				members = append(members, last)
			}
		case 1: // wide, on an ordinary job
			first := ordinary[s.rng.IntN(len(ordinary))]
			for range 8 {
				members = append(members, add(at, first))
			}
		default: // two stages side by side, and one that needs both
			a := add(at)
			b, c := add(at, a), add(at, a)
			d := add(at, b, c)
			members = []*user{a, b, c, d, add(at, d)}
		}
		if s.chance(0.4) {
			members[s.rng.IntN(len(members))].cancels = true
		}
	}
}

// submitAfter submits a job once those that it needs are accepted, or over if it is a
// late one.
func (u *user) submitAfter(late bool) {
	for _, d := range u.needs {
		switch {
		case d.gaveUp:
			u.gaveUp = true
			return
		case !d.accepted || late && d.told == "":
			u.sim.after(200*ms, func() { u.submitAfter(late) })
			return
		}
	}
	u.submit()
}

// ancestors are all jobs that a job needs, directly or through others, each once: in
// diamonds there are as many ways to one as two to the power of its distance.
func (u *user) ancestors() []*user {
	if u.allNeeded == nil && len(u.needs) > 0 {
		seen := map[*user]bool{}
		for _, d := range u.needs {
			for _, a := range append([]*user{d}, d.ancestors()...) {
				if !seen[a] {
					seen[a] = true
					u.allNeeded = append(u.allNeeded, a)
				}
			}
		}
	}
	return u.allNeeded
}

// wasAsked: its user or that of one that it needs has asked to cancel it.
func (u *user) wasAsked() bool {
	return u.asked || slices.ContainsFunc(u.ancestors(), func(a *user) bool { return a.asked })
}

// ready is when the last job that it needs was done; ok is false while one is not.
func (u *user) ready() (at micros.Micros, ok bool) {
	at = u.acceptedAt
	for _, d := range u.needs {
		if len(d.done) < d.sub.Tasks {
			return 0, false
		}
		at = max(at, d.doneAt)
	}
	return at, true
}

// checkEarly: no task starts before all that its job needs is done.
func (s *Sim) checkEarly(u *user, t *task) {
	for _, d := range u.needs {
		if len(d.done) < d.sub.Tasks {
			s.broken("too_early: %s starts, %d of %d tasks of %s are done", t.name, len(d.done), d.sub.Tasks, d.sub.ID)
		}
	}
	if len(u.needs) > 0 {
		s.Chained++
	}
}

// checkOrphan: no job is called queued or running long after its user was told that
// one before it is cancelled.
func (u *user) checkOrphan(state string) {
	s := u.sim
	if state != wire.StatePending && state != wire.StateRunning {
		return
	}
	for _, d := range u.ancestors() {
		if d.cancelTold != 0 && s.now > d.cancelTold+s.cfg.Cancel {
			s.broken("orphaned: %s is called %s %v s after %s was called cancelled", u.sub.ID, state, (s.now - d.cancelTold).Seconds(), d.sub.ID)
		}
	}
}

// rolledAt is when all nodes have the new version, about: crashes beside the roll may
// delay it.
func (s *Sim) rolledAt() micros.Micros { return 12*sec + micros.Micros(len(s.Nodes))*7*sec }

// scheduleRoll replaces the nodes one by one, in an order that the seed draws, and
// lowers the state service's limits some time later.
func (s *Sim) scheduleRoll() {
	order := s.rng.Perm(len(s.Nodes))
	for _, n := range s.Nodes {
		n.old = true
	}
	for i, k := range order {
		n := s.Nodes[k]
		s.after(10*sec+micros.Micros(i)*7*sec, func() {
			n.old = false
			if n.core != nil {
				s.trace("%s gets the new version", n.label)
				n.crash(s.span(200*ms, 4*sec))
			}
		})
	}
	s.after(s.span(12*sec, s.rolledAt()+30*sec), func() { // while old nodes run, or later
		s.lowerLimits()
	})
}

// config is what a node is told.
func (n *Node) config() core.Config { return n.sim.config(!n.old) }

// config are the settings as the old version or this one takes them: only this one
// knows of the limits to come.
func (s *Sim) config(limitsToCome bool) core.Config {
	cfg := s.cfg
	if (s.plan.Roll || s.plan.Wave != nil) && limitsToCome {
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
		rec.Submission.Dependencies = nil
	}
	out, err := wire.Encode(rec)
	if err != nil {
		panic(fmt.Sprintf("stand-in: %v", err))
	}
	return out
}

// oldCall and oldResult are what a node of the version in production sends, and makes
// of an answer.
func oldCall(call core.Call) core.Call {
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

func oldResult(r core.Result) core.Result {
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
