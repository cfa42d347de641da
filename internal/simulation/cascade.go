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
	// cascadeFaultDuration is how long a cascade's fault lasts.
	cascadeFaultDuration = 15 * sec
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
	// OwnerCrashes means that it is away for longer than its lease.
	OwnerCrashes
	// OwnerRestarts means that it ends and is back at once.
	OwnerRestarts
	// OwnerCutOff means that it loses the network.
	OwnerCutOff
	// OwnerRefusedByState means that the state service refuses it alone.
	OwnerRefusedByState
	// LimitsLowered means that the state service lowers its limits, for all.
	LimitsLowered
)

// Cascade plans one cancellation.
type Cascade struct {
	Shape      CascadeShape
	Dependents int
	// CancelMiddle cancels a job half-way down instead of the first.
	CancelMiddle bool
	Fault        CascadeFault
	// LimitsLoweredBefore lowers the limits before the jobs are submitted.
	LimitsLoweredBefore bool
	// UpgradeFrom is the version that a rolling upgrade begins with, the cancellation coming
	// while it lasts.
	UpgradeFrom Release
}

// unavailableOwners returns how many controllers the fault takes away for longer than a lease.
func (c Cascade) unavailableOwners() int {
	switch c.Fault {
	case OwnerCrashes, OwnerCutOff, OwnerRefusedByState:
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
	if plan.LimitsLoweredBefore {
		s.lowerLimits()
	}
	c := &cascade{Cascade: plan, sim: s}
	c.addMembers()
	c.target = c.members[0]
	if c.CancelMiddle {
		c.target = c.members[len(c.members)/2]
	}
	s.after(cascadeAcceptedBy, c.start)
}

// addMembers adds the users of the jobs, the one that all depend on first.
func (c *cascade) addMembers() {
	first := c.addMember()
	first.Runs[0] = 5 * micros.Minute // it is not done before it is cancelled
	for last := first; len(c.members) <= c.Dependents; {
		switch c.Shape {
		case Wide:
			c.addMember(first)
		case Deep:
			last = c.addMember(last)
		case Diamonds:
			left, right := c.addMember(last), c.addMember(last)
			last = c.addMember(left, right)
		}
	}
}

// addMember adds a user with a job of one task that depends on others.
func (c *cascade) addMember(dependencies ...*user) *user {
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
	u.Fails = false
	u.willCancel = false
	u.Runs = []micros.Micros{4 * sec}
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
		s.after(submitRetryInterval, c.start)
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
	case OwnerCrashes:
		n.crash(cascadeFaultDuration)
	case OwnerRestarts:
		n.crash(200 * ms)
	case OwnerCutOff:
		links := append(n.workerLinks(), n.stateLink(), n.cloudLink(), n.userLink())
		links = append(links, n.peerLinks()...)
		s.cut(links, cutHold, cascadeFaultDuration)
	case OwnerRefusedByState:
		n.stateRefusedUntil = s.now + cascadeFaultDuration
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
	until, cancelled := c.target.cancelDeadline()
	if !cancelled {
		c.sim.after(100*ms, c.awaitConfirmation)
		return
	}
	c.sim.after(until-c.sim.now, c.checkCancelled)
}

// checkCancelled checks that all jobs that depend on the target are cancelled, and no others.
func (c *cascade) checkCancelled() {
	s := c.sim
	notCancelled := 0
	for _, u := range c.members {
		cancelled := s.recordOf(u).State == wire.StateCancelled
		affected := u == c.target || slices.Contains(u.ancestors(), c.target)
		if affected && !cancelled {
			notCancelled++
		}
		if cancelled && !affected {
			s.violated("went_back: %s is cancelled, nothing that it needs is", u.Submission.ID)
		}
		if cancelled {
			s.CascadeCancelled++
		}
	}
	if notCancelled > 0 {
		s.violated("orphaned: %d of %d jobs are not cancelled %v s after the one that they need", notCancelled, len(c.members), s.cfg.Cancel.Seconds())
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
	return controller.CancellableDependents(cfg, c.unavailableOwners(), 0)
}
