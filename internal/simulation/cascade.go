package simulation

import (
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Cancellations that cascade to many dependents have separate plans: their many users and the write
// limit that they reach would hide whatever else a run is meant to test.

const (
	// cascadeSubmittedBy is the time by which users begin to submit the jobs of a cascade; a job
	// waits until its dependencies are accepted. The cancellation follows once all jobs are
	// accepted.
	cascadeSubmittedBy = 20 * sec
	// cascadeFaultDuration is how long the fault of a cascade lasts.
	cascadeFaultDuration = 15 * sec
)

// CascadeShape is the shape of the graph of dependencies between the jobs of a cascade.
type CascadeShape int

// Shapes of a cascade.
const (
	// Wide makes all jobs depend on the first one.
	Wide CascadeShape = iota + 1
	// Deep makes each job depend on the previous one.
	Deep
	// Diamonds is a chain of diamonds: two jobs depend on the last job of the previous diamond, and
	// a third depends on both.
	Diamonds
)

// CascadeFault is the fault that is injected just after the cancellation.
type CascadeFault int

// Faults of a cascade. The owner is the controller that owns the shard of the last job.
const (
	NoFault CascadeFault = iota
	// OwnerCrashes ends the owner for longer than its lease.
	OwnerCrashes
	// OwnerRestarts ends the owner and starts it again almost at once.
	OwnerRestarts
	// OwnerCutOff cuts all network links of the owner.
	OwnerCutOff
	// OwnerRefusedByState makes the state service refuse the requests of the owner only.
	OwnerRefusedByState
	// LimitsLowered lowers the limits of the state service for all controllers.
	LimitsLowered
)

// Cascade describes a set of interdependent jobs, one of which is cancelled.
type Cascade struct {
	Shape      CascadeShape
	Dependents int // jobs besides the first
	// CancelMiddle cancels the middle one of the jobs instead of the first.
	CancelMiddle bool
	Fault        CascadeFault
	// LimitsLoweredBefore lowers the limits of the state service before the jobs are submitted.
	LimitsLoweredBefore bool
	// UpgradeFrom is the release from which a rolling upgrade begins, shortly after the jobs are
	// submitted. The cancellation is meant to be in progress during the upgrade.
	UpgradeFrom Release
}

// unavailableOwners returns how many controllers the fault makes unavailable for longer than a
// lease.
func (c Cascade) unavailableOwners() int {
	switch c.Fault {
	case OwnerCrashes, OwnerCutOff, OwnerRefusedByState:
		return 1
	}
	return 0
}

// cascade is the state of a Cascade during a run.
type cascade struct {
	Cascade
	sim     *Simulation
	members []*user
	target  *user // user whose job is cancelled
}

// addCascade adds the users of a cascade's jobs, and cancels one job once all are accepted.
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
	s.after(cascadeSubmittedBy, c.start)
}

// addMembers adds the users of the jobs, beginning with the job that all others depend on.
func (c *cascade) addMembers() {
	first := c.addMember()
	first.TaskDurations[0] = 5 * micros.Minute // so that it is not done before it is cancelled
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

// addMember adds a user with a job of one task that depends on the jobs of other users.
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
	u.AlwaysFails = false
	u.willCancel = false
	u.TaskDurations = []micros.Micros{4 * sec}
	u.Progress = make([]micros.Micros, 1)
	u.dependOn(dependencies)
	s.addUser(u)
	c.members = append(c.members, u)
	s.after(s.between(5*sec, cascadeSubmittedBy), func() { u.submitAfterDependencies(false) })
	return u
}

// start cancels the target once all jobs are accepted, and injects the fault.
func (c *cascade) start() {
	s := c.sim
	if slices.ContainsFunc(c.members, func(u *user) bool { return !u.accepted }) {
		s.after(submitRetryInterval, c.start)
		return
	}
	s.trace("all jobs of the cascade are accepted, %s is cancelled", c.target.Submission.ID)
	owner := s.ownerOf(c.members[len(c.members)-1])
	c.target.requestCancel()
	s.after(s.between(0, 300*ms), func() { s.injectCascadeFault(c.Fault, owner) })
	c.awaitConfirmation()
}

// injectCascadeFault injects a cascade's fault; n is the owner that it affects.
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

// lowerLimits lowers the limits of the state service. The write rate is lowered only if it is
// limited already.
func (s *Simulation) lowerLimits() {
	s.trace("the state service lowers its limits")
	limits := fakes.StateLimits{ValueBytes: loweredValueBytes, TxnOps: loweredTxnOps}
	if s.state.Limits().WritesPerSecond > 0 {
		limits.WritesPerSecond = loweredWriteRate
	}
	s.state.SetLimits(limits)
}

// ownerOf returns the first controller that considers itself the owner of a job's shard, or the
// first of all controllers if none does.
func (s *Simulation) ownerOf(u *user) *node {
	for _, n := range s.nodes {
		if n.controller != nil && n.controller.OwnsJob(u.Submission.ID) {
			return n
		}
	}
	return s.nodes[0]
}

// awaitConfirmation waits until the cancellation is reported to its user, and runs the check when
// the deadline of the cancellation is reached.
func (c *cascade) awaitConfirmation() {
	until, cancelled := c.target.cancelDeadline()
	if !cancelled {
		c.sim.after(100*ms, c.awaitConfirmation)
		return
	}
	c.sim.after(until-c.sim.now, c.checkCancelled)
}

// checkCancelled checks that the target and all its dependents are cancelled, and no other jobs.
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
			s.violated("went_back: %s is cancelled, but no job that it depends on is", u.Submission.ID)
		}
		if cancelled {
			s.CascadeCancelled++
		}
	}
	if notCancelled > 0 {
		s.violated("orphaned: %d of %d jobs are not cancelled %v s after the job that they depend on", notCancelled, len(c.members), s.cfg.CancelWithin.Seconds())
	}
	c.members[0].requestCancel() // the remaining jobs would take hours to run one after the other
}

// recordOf returns a job's record in the state service, or an empty one if there is none.
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

// maxDependents returns how many dependents a controller with these settings can cancel in time
// despite the cascade's fault.
func (s *Simulation) maxDependents(c Cascade) int {
	cfg := s.settingsFor(ReleaseCurrent)
	cfg.Peers = make([]string, s.plan.Nodes-1)
	return controller.CancellableDependents(cfg, c.unavailableOwners(), 0)
}
