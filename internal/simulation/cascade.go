package simulation

import (
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A cancellation that reaches many jobs is a plan of its own, since its users, and the
// limit on writes that they run into, would hide whatever else a run is about.

const (
	// cascadeAcceptedBy is when the jobs of a cascade may be accepted.
	cascadeAcceptedBy = 20 * sec
	// cascadeFaultTime is how long a cascade's fault lasts.
	cascadeFaultTime = 15 * sec
)

// CascadeShape is how the jobs depend on each other.
type CascadeShape int

// Shapes of a cascade.
const (
	// Wide means that all depend on the same job.
	Wide CascadeShape = iota + 1
	// Deep means that each depends on the one before it.
	Deep
	// Diamonds are pairs that depend on the one before them both, and one that depends on
	// the pair.
	Diamonds
)

// CascadeFault is what happens to the owner of most of the jobs at the cancellation.
type CascadeFault int

// Faults of a cascade.
const (
	NoFault CascadeFault = iota
	// OwnerEnds means that it is away for longer than its lease.
	OwnerEnds
	// OwnerReturns means that it ends and is back at once.
	OwnerReturns
	// OwnerCutOff means that it loses the network.
	OwnerCutOff
	// OwnerRefused means that the state service refuses it alone.
	OwnerRefused
	// LimitsLowered means that the state service lowers its limits, for all.
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
	// UpgradeFrom is the version that a rolling upgrade begins with, the cancellation coming
	// while it lasts.
	UpgradeFrom Release
}

// ownersAway returns how many controllers the fault takes away for longer than a lease.
func (c Cascade) ownersAway() int {
	switch c.Fault {
	case OwnerEnds, OwnerCutOff, OwnerRefused:
		return 1
	}
	return 0
}

// cascade is a Cascade that is being played.
type cascade struct {
	Cascade
	sim     *Simulation
	members []*user
	target  *user // whose job is cancelled
}

// addCascade submits the jobs, and cancels one of them once all are accepted.
func (s *Simulation) addCascade(plan Cascade) {
	limits := s.state.Limits()
	limits.WritesPerSecond = s.cfg.WriteRPS
	s.state.SetLimits(limits)
	if plan.Limited {
		s.lowerLimits()
	}
	c := &cascade{Cascade: plan, sim: s}
	c.addMembers()
	c.target = c.members[0]
	if c.Middle {
		c.target = c.members[len(c.members)/2]
	}
	s.after(cascadeAcceptedBy, c.start)
}

// addMembers adds the users of the jobs, the one that all depend on first.
func (c *cascade) addMembers() {
	first := c.add()
	first.TaskDurations[0] = 5 * micros.Minute // it is not done before it is cancelled
	for last := first; len(c.members) <= c.Dependents; {
		switch c.Shape {
		case Wide:
			c.add(first)
		case Deep:
			last = c.add(last)
		case Diamonds:
			left, right := c.add(last), c.add(last)
			last = c.add(left, right)
		}
	}
}

// add adds a user with a job of one task that depends on others.
func (c *cascade) add(dependencies ...*user) *user {
	s := c.sim
	u := newUser(s, len(s.users))
	u.Submission.Class = "plain"
	u.Submission.Team = s.plan.Teams[0].Name
	u.Submission.Priority = "standard"
	u.Submission.Tasks = 1
	u.Submission.CPUs = 1
	u.Submission.SameZone = false
	u.Submission.Spread = false
	u.Submission.Types = nil
	u.Submission.Spot = true
	u.AlwaysFails = false
	u.willCancel = false
	u.TaskDurations = []micros.Micros{4 * sec}
	u.Progress = make([]micros.Micros, 1)
	u.dependOn(dependencies)
	s.addUser(u)
	c.members = append(c.members, u)
	s.after(s.between(5*sec, cascadeAcceptedBy), func() { u.submitAfterDependencies(false) })
	return u
}

// start cancels the target once all jobs are accepted, and injects the fault.
func (c *cascade) start() {
	s := c.sim
	if slices.ContainsFunc(c.members, func(u *user) bool { return !u.accepted }) {
		s.after(submitRetry, c.start)
		return
	}
	s.trace("all accepted, %s is cancelled", c.target.Submission.ID)
	owner := s.ownerOf(c.members[len(c.members)-1])
	c.target.requestCancel()
	s.after(s.between(0, 300*ms), func() { s.injectCascadeFault(c.Fault, owner) })
	c.awaitConfirmation()
}

// injectCascadeFault injects a cascade's fault at a controller.
func (s *Simulation) injectCascadeFault(fault CascadeFault, n *node) {
	switch fault {
	case OwnerEnds:
		n.crash(cascadeFaultTime)
	case OwnerReturns:
		n.crash(200 * ms)
	case OwnerCutOff:
		links := append(n.workerLinks(), n.stateLink(), n.cloudLink(), n.userLink())
		links = append(links, n.peerLinks()...)
		s.cut(links, cutHold, cascadeFaultTime)
	case OwnerRefused:
		n.stateRefusedUntil = s.now + cascadeFaultTime
	case LimitsLowered:
		s.lowerLimits()
	}
}

// lowerLimits gives the state service its lower limits.
func (s *Simulation) lowerLimits() {
	s.trace("the state service lowers its limits")
	limits := fakes.StateLimits{ValueBytes: loweredValueBytes, TxnOps: loweredTxnOps}
	if s.state.Limits().WritesPerSecond > 0 {
		limits.WritesPerSecond = loweredWriteRate
	}
	s.state.SetLimits(limits)
}

// ownerOf returns the controller that owns a job's shard, by its own word.
func (s *Simulation) ownerOf(u *user) *node {
	for _, n := range s.nodes {
		if n.controller != nil && n.controller.Owns(u.Submission.ID) {
			return n
		}
	}
	return s.nodes[0]
}

// awaitConfirmation waits until the cancellation is reported, and then for its time.
func (c *cascade) awaitConfirmation() {
	until, cancelled := c.target.cancelTime()
	if !cancelled {
		c.sim.after(100*ms, c.awaitConfirmation)
		return
	}
	c.sim.after(until-c.sim.now, c.check)
}

// check checks that all jobs that depend on the target are cancelled, and no others.
func (c *cascade) check() {
	s := c.sim
	late := 0
	for _, u := range c.members {
		cancelled := s.recordOf(u).State == wire.StateCancelled
		affected := u == c.target || slices.Contains(u.ancestors(), c.target)
		if affected && !cancelled {
			late++
		}
		if cancelled && !affected {
			s.violated("went_back: %s is cancelled, nothing that it needs is", u.Submission.ID)
		}
		if cancelled {
			s.CascadeCancelled++
		}
	}
	if late > 0 {
		s.violated("orphaned: %d of %d jobs are not cancelled %v s after the one that they need", late, len(c.members), s.cfg.Cancel.Seconds())
	}
	c.members[0].requestCancel() // what is left would take hours to run in order
}

// recordOf returns a job's record in the state service.
func (s *Simulation) recordOf(u *user) (record wire.JobRecord) {
	value, ok := s.state.Value(wire.JobKey(u.Submission.ID))
	if !ok {
		return record
	}
	if err := wire.Decode(value, &record); err != nil {
		s.violated("record of %s: %v", u.Submission.ID, err)
	}
	return record
}

// maxDependents returns how many dependents the settings allow for a cascade.
func (s *Simulation) maxDependents(c Cascade) int {
	cfg := s.settingsFor(ReleaseCurrent)
	cfg.Peers = make([]string, s.plan.Nodes-1)
	return controller.CancellableDependents(cfg, c.ownersAway(), 0)
}
