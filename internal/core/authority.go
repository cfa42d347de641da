package core

import "garnethitch/internal/wire"

// What this node is entitled to is decided here: whether it may command the machines of a
// share, hear a report, renew a machine's lease by answering it, start, free a machine, let
// it go, record, tell and lead. The times come from fence.go. docs/incidents/2026-12-cancelled-task-ran-on.md
// lists on what knowledge each path relies, and how old that may be.

// reason says why an act is allowed or refused.
type reason int

const (
	reasonNone reason = iota
	// Allowed.
	reasonCurrentView
	reasonBlind
	reasonAnswered
	// Refused, for a whole share.
	reasonNotOwner
	reasonHandingBack
	reasonNewerClaim
	reasonLeaseTooOld
	reasonBlindTooLong
	// Refused, for one machine.
	reasonRetiring
	reasonReturned
	reasonOldReport
	reasonHigherToken
	reasonOutOfReach
	reasonUnknownJob
	reasonLateStart

	reasonCount
)

// reasonNames are the words of the log and of the counters.
var reasonNames = [reasonCount]string{
	reasonNone:         "none",
	reasonCurrentView:  "current_view",
	reasonBlind:        "blind",
	reasonAnswered:     "answered",
	reasonNotOwner:     "not_owner",
	reasonHandingBack:  "handing_back",
	reasonNewerClaim:   "newer_claim",
	reasonLeaseTooOld:  "lease_too_old",
	reasonBlindTooLong: "blind_too_long",
	reasonRetiring:     "retiring",
	reasonReturned:     "returned",
	reasonOldReport:    "old_report",
	reasonHigherToken:  "higher_token",
	reasonOutOfReach:   "out_of_reach",
	reasonUnknownJob:   "unknown_job",
	reasonLateStart:    "late_start",
}

func (r reason) String() string { return reasonNames[r] }

// verdict is whether an act is allowed, and why.
type verdict struct {
	allowed bool
	reason  reason
}

func allow(r reason) verdict  { return verdict{true, r} }
func refuse(r reason) verdict { return verdict{false, r} }

// canAnswer: may this node speak for its shares from memory, and record?
func (c *Core) canAnswer() bool {
	return c.own.lease != 0 && c.now < c.own.renewed+c.bounds.Answer
}

// canCommand: may it answer reports and command machines?
func (c *Core) canCommand() bool {
	return c.own.lease != 0 && c.now < c.own.renewed+c.bounds.Command
}

// mayStart: no other node can have told a user of a cancellation that this one does
// not know of. Beyond the lease that is so only while every other controller says that
// it has lost the state service too: a successor may have told, and what it tells on
// may be under way.
func (c *Core) mayStart() bool {
	if c.canAnswer() {
		return true
	}
	for _, p := range c.peers {
		if !c.alive(p) || p.stateOK {
			return false
		}
	}
	return true
}

// mayCommandShare: may this node answer the reports of a share's machines and send
// them orders? An owner that can't learn which jobs a former owner ended lets its
// machines' leases run out: tasks of a cancelled job may be on them.
func (c *Core) mayCommandShare(s *share) verdict {
	switch {
	case !s.active:
		return refuse(reasonNotOwner)
	case s.handing:
		return refuse(reasonHandingBack)
	case s.mark < s.ceiling:
		return refuse(reasonNewerClaim)
	case !c.canCommand():
		return refuse(reasonLeaseTooOld)
	case s.current:
		return allow(reasonCurrentView)
	case c.now < c.own.job.completeAt+c.bounds.Blind:
		return allow(reasonBlind)
	}
	return refuse(reasonBlindTooLong)
}

// acting gives the share if this node owns it and may command.
func (c *Core) acting(id int) *share {
	if s := c.own.shares[id]; c.mayCommandShare(s).allowed {
		return s
	}
	return nil
}

// mayHear: may this node take what a report says of a machine on record?
func (c *Core) mayHear(m *machine, rep *wire.Report) verdict {
	if m.rec.Retiring {
		return refuse(reasonRetiring)
	}
	s := c.own.shares[m.rec.Share]
	switch v := c.mayCommandShare(s); {
	case !v.allowed:
		return v
	case m.v == nil:
		return refuse(reasonNotOwner)
	case m.returned:
		return refuse(reasonReturned)
	case m.v.known && !newer(rep, m.v):
		return refuse(reasonOldReport)
	case rep.Token > c.token(s, m):
		return refuse(reasonHigherToken)
	default:
		return v
	}
}

// mayRenew: may a report that was heard be answered, which renews the machine's lease?
func (c *Core) mayRenew(s *share, m *machine, rep *wire.Report) verdict {
	if m.v.settled && c.holdsUnknown(s, m) || !m.v.settled && c.listsUnknown(s, rep) {
		// Nothing vouches for the task: its user may have been told long ago that the job
		// is cancelled. The view of jobs settles it in a moment; if it can't, the lease
		// runs out.
		return refuse(reasonUnknownJob)
	}
	if c.holdsLateStart(m) {
		return refuse(reasonLateStart)
	}
	if c.outOfReach(m) {
		// What it says counts; what it is told does not arrive. No answer renews its
		// lease by chance while we count on the end of that.
		return refuse(reasonOutOfReach)
	}
	return allow(reasonAnswered)
}

// holdsLateStart: an order that was not answered may yet start a task on the machine whose
// job is over, or is to be cancelled, and has been for so long that the machine's session,
// which the order names, must end.
func (c *Core) holdsLateStart(m *machine) bool {
	if m.v.unclear == 0 {
		return false
	}
	for _, att := range m.v.list {
		if att.state == attemptUnclear && att.halt == haltHard && c.now >= att.haltFrom+c.bounds.LateStart {
			return true
		}
	}
	return false
}

// speaksFor: this node may tell of an open job from memory.
func (c *Core) speaksFor(j *job) bool {
	s := c.acting(j.share)
	return j.run != nil && s != nil && c.canAnswer() && (s.current || j.run.fresh)
}

// leading: may this node rent, return and assign machines for all?
func (c *Core) leading() bool {
	return c.isMine(&c.own.leader) && c.own.leader.mark != c.own.stepped && c.canAnswer()
}

// mayFree: does a machine provably hold no task any more, since its lease has run out?
// Once another node could own the share, it may have answered the machine and so renewed
// its lease (ran_twice in the grown simulation: a node that had lost the state service and
// its peers, but not its workers).
func (c *Core) mayFree(s *share, m *machine) bool {
	v := m.v
	if v.gone || !v.known && !v.doubt || !c.canAnswer() {
		return false
	}
	bound := max(v.settledAt, v.answered) + c.bounds.WorkerGone
	if !v.settled {
		bound = max(s.freeAt, v.answered+c.bounds.WorkerGone, v.settledAt+c.bounds.WorkerGone)
	}
	return c.now >= bound
}

// releasable: nothing is on the machine, and nothing that could come.
func (c *Core) releasable(m *machine, retire bool) bool {
	v := m.v
	return !v.releasing && !v.orderBusy && v.unclear == 0 && (v.settled || v.gone) && v.empty() &&
		(retire || !v.gone && v.known) && !c.oversize(m.batch) && !m.batch.busy && c.now >= m.batch.next
}

// InvariantBroken is the text of the log line that tells of a broken invariant.
const InvariantBroken = "invariant broken"

// invariantFails notes that what must hold whenever this node acts does not. The line
// tells the evidence; service goes on.
func (c *Core) invariantFails(name string, evidence ...any) {
	c.decisions.broken++
	c.log(Error, InvariantBroken, append([]any{"invariant", name, "count", c.decisions.broken}, evidence...)...)
}

// checkRenewal: no answer renews the lease of a machine on which a cancelled task is left
// without its stop, or a task of a job that this node does not know and nothing vouches for.
func (c *Core) checkRenewal(s *share, m *machine) {
	if !m.v.settled {
		return
	}
	for _, att := range m.v.list {
		if c.owesStop(att) {
			c.invariantFails("a renewal stops cancelled tasks", "task", wire.TaskName(att.key.job, att.idx), "machine", m.id, "mark", s.mark)
		}
		if c.fedStanding(s, att) != standingOpen {
			c.invariantFails("a renewal feeds no task of an unknown job", "task", wire.TaskName(att.key.job, att.idx), "machine", m.id, "mark", s.mark)
		}
	}
}

// checkStart: no start is sent for a job that is over or is to be cancelled.
func (c *Core) checkStart(att *attempt) {
	if att.prefetch {
		return // for its image only, of a job that is done
	}
	if _, over := c.jobs.final(att.key.job); over || c.cancelled(att.key.job) {
		c.invariantFails("no start of a job that is over", "task", wire.TaskName(att.key.job, att.idx), "machine", att.m.id)
	}
}
