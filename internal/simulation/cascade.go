package simulation

import (
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A cancellation that reaches many jobs: a plan of its own, since its users, and the
// limit on writes that they run into, would drown whatever else a run is about.

// CascadeShape is how the jobs need each other.
type CascadeShape int

// Shapes of a cascade.
const (
	// Wide: all need the same job.
	Wide CascadeShape = iota + 1
	// Deep: each needs the one before it.
	Deep
	// Diamonds: pairs that need the one before them both, and one that needs the pair.
	Diamonds
)

// CascadeFault is what happens to the owner of most of the jobs at the cancellation.
type CascadeFault int

// Faults of a cascade.
const (
	NoFault CascadeFault = iota
	// OwnerEnds: it is away for longer than its lease.
	OwnerEnds
	// OwnerReturns: it ends and is back at once.
	OwnerReturns
	// OwnerCutOff: it loses the network.
	OwnerCutOff
	// OwnerRefused: the state service refuses it alone.
	OwnerRefused
	// LimitsLowered: the state service lowers its limits, for all.
	LimitsLowered
)

// Cascade plans one cancellation.
type Cascade struct {
	Shape      CascadeShape
	Dependents int
	// Middle cancels a job half-way down instead of the first.
	Middle bool
	Fault  CascadeFault
	// Limited lowers the limits before the jobs are submitted.
	Limited bool
	// Roll is the version that a roll begins with, the cancellation coming while it lasts.
	Roll Release
}

// away is how many controllers the fault takes away for longer than a lease.
func (w Cascade) away() int {
	switch w.Fault {
	case OwnerEnds, OwnerCutOff, OwnerRefused:
		return 1
	}
	return 0
}

// newCascade submits the jobs, and cancels one of them once all are accepted.
func (s *Simulation) newCascade(w Cascade) {
	limits := s.state.Limits()
	limits.WritesPerSecond = s.cfg.WriteRPS
	s.state.SetLimits(limits)
	if w.Limited {
		s.lowerLimits()
	}
	team := s.plan.Teams[0].Name
	add := func(needs ...*user) *user {
		u := newUser(s, len(s.users))
		u.sub.Class, u.sub.Team, u.sub.Priority, u.sub.Tasks = "plain", team, "standard", 1
		u.sub.CPUs, u.sub.SameZone, u.sub.Spread, u.sub.Types, u.sub.Spot = 1, false, false, nil, true
		u.bad, u.cancels, u.needs = false, false, needs
		u.runs, u.progress = []micros.Micros{4 * sec}, make([]micros.Micros, 1)
		for _, d := range needs {
			u.sub.DependsOn = append(u.sub.DependsOn, d.sub.ID)
		}
		s.users = append(s.users, u)
		s.byJob[u.sub.ID] = u
		s.after(s.span(5*sec, 20*sec), func() { u.submitAfter(false) })
		return u
	}
	first := add()
	first.runs[0] = 5 * micros.Minute // it is not done before it is cancelled
	members := []*user{first}
	for last := first; len(members) <= w.Dependents; {
		switch w.Shape {
		case Wide:
			members = append(members, add(first))
		case Deep:
			last = add(last)
			members = append(members, last)
		case Diamonds:
			a, b := add(last), add(last)
			last = add(a, b)
			members = append(members, a, b, last)
		}
	}
	target := first
	if w.Middle {
		target = members[len(members)/2]
	}
	s.after(20*sec, func() { s.startCascade(w, members, target) })
}

// startCascade cancels a job once all are accepted, and brings the fault about.
func (s *Simulation) startCascade(w Cascade, members []*user, target *user) {
	for _, u := range members {
		if !u.accepted {
			s.after(200*ms, func() { s.startCascade(w, members, target) })
			return
		}
	}
	s.trace("all accepted, %s is cancelled", target.sub.ID)
	owner := s.ownerOf(members[len(members)-1])
	target.requestCancel()
	s.after(s.span(0, 300*ms), func() { s.bringAbout(w.Fault, owner) })
	s.checkCascade(members, target)
}

// bringAbout lets a cascade's fault happen to a controller.
func (s *Simulation) bringAbout(fault CascadeFault, n *Node) {
	switch fault {
	case OwnerEnds:
		n.crash(15 * sec)
	case OwnerReturns:
		n.crash(200 * ms)
	case OwnerCutOff:
		links := append(n.workerLinks(), n.label+"-state", n.label+"-cloud", "user-"+n.label)
		links = append(links, n.peerLinks()...)
		s.cut(links, cutHold, 15*sec)
	case OwnerRefused:
		n.stateRefusedUntil = s.now + 15*sec
	case LimitsLowered:
		s.lowerLimits()
	}
}

// lowerLimits gives the state service its lower limits.
func (s *Simulation) lowerLimits() {
	s.trace("the state service lowers its limits")
	limits := fakes.StateLimits{ValueBytes: lowerValue, TxnOps: lowerOps}
	if s.state.Limits().WritesPerSecond > 0 {
		limits.WritesPerSecond = lowerWrite
	}
	s.state.SetLimits(limits)
}

// ownerOf is the controller that owns a job's shard, as far as the state service knows.
func (s *Simulation) ownerOf(u *user) *Node {
	for _, n := range s.Nodes {
		if n.controller != nil && n.controller.Owns(u.sub.ID) {
			return n
		}
	}
	return s.Nodes[0]
}

// checkCascade: when the time of the cancellation is over, all that need the job stand as
// cancelled, and nothing else does.
func (s *Simulation) checkCascade(members []*user, target *user) {
	if target.cancelConfirmed == 0 {
		s.after(100*ms, func() { s.checkCascade(members, target) })
		return
	}
	s.after(target.cancelConfirmed+s.cfg.Cancel-s.now, func() {
		late := 0
		for _, u := range members {
			cancelled := s.recordOf(u).State == wire.StateCancelled
			wanted := u == target || slices.Contains(u.ancestors(), target)
			if wanted && !cancelled {
				late++
			}
			if cancelled && !wanted {
				s.broken("went_back: %s is cancelled, nothing that it needs is", u.sub.ID)
			}
			if cancelled {
				s.CascadeCancelled++
			}
		}
		if late > 0 {
			s.broken("orphaned: %d of %d jobs are not cancelled %v s after the one that they need", late, len(members), s.cfg.Cancel.Seconds())
		}
		members[0].requestCancel() // what is left would take hours to run in order
	})
}

// recordOf is a job's record in the state service.
func (s *Simulation) recordOf(u *user) (rec wire.JobRecord) {
	if value, ok := s.state.Value(wire.JobKey(u.sub.ID)); ok {
		if err := wire.Decode(value, &rec); err != nil {
			s.broken("record of %s: %v", u.sub.ID, err)
		}
	}
	return rec
}

// bound is how many dependents the settings allow for a cascade.
func (s *Simulation) bound(w Cascade) int {
	cfg := s.config(true)
	cfg.Peers = make([]string, s.plan.Nodes-1)
	return controller.CancellableDependents(cfg, w.away(), 0)
}
