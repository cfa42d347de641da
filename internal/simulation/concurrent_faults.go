package simulation

import (
	"fmt"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// concurrent faults: docs/meetings.md lists them. What a plan with Meet adds
// overlaps with the faults of single parts.

// concurrentFaults is what the faults of this file leave behind while they last.
type concurrentFaults struct {
	// lateFraction of transactions get no answer until lateUntil: with atOnce they are
	// carried out when they come, else 2 to 12 s later. only, if set, is the one
	// controller that it happens to.
	lateFraction float64
	lateUntil    micros.Micros
	atOnce       bool
	only         *Node
	// kept are copies of heartbeats for the next leader or owner.
	keepUntil micros.Micros
	kept      []*wire.Heartbeat
	// closeUntil and endUntil: users look closely, and call jobs off at their end.
	closeUntil micros.Micros
	endUntil   micros.Micros
	// quickUntil: machines are up within two seconds.
	quickUntil micros.Micros

	Late, Kept, CutReports, Cancelled, AtEnd, Looks, Odd, Gaps int
}

// lateWrite carries out a transaction without an answer, if it is one of those.
func (s *Simulation) lateWrite(n *Node, call controller.Call) bool {
	m := &s.concurrent
	if _, isTxn := call.Req.(wire.Txn); !isTxn || s.now >= m.lateUntil || m.only != nil && m.only != n || !s.chance(m.lateFraction) {
		return false
	}
	m.Late++
	d := micros.Micros(0)
	if !m.atOnce {
		d = s.span(2*sec, 12*sec)
	}
	s.after(d, func() { s.serve(call, func(controller.Result) {}) })
	return true
}

// keepHeartbeat keeps a copy of a heartbeat for the next leader or owner.
func (s *Simulation) keepHeartbeat(heartbeat *wire.Heartbeat) {
	if m := &s.concurrent; s.now < m.keepUntil && len(m.kept) < 400 && s.chance(0.3) {
		m.kept = append(m.kept, heartbeat)
	}
}

// releaseKept delivers what was kept to every controller, just as a new leader or
// owner begins, before and after it knows of that. Nobody hears the answers.
func (s *Simulation) releaseKept() {
	m := &s.concurrent
	kept := m.kept
	m.kept = nil
	for _, heartbeat := range kept {
		for _, n := range s.Nodes {
			m.Kept++
			s.after(s.span(0, 60*ms), func() { n.heartbeat(heartbeat, func(controller.Answer) {}) })
		}
	}
}

// boot is how long a rented machine takes to come up.
func (s *Simulation) boot() micros.Micros {
	if s.now < s.concurrent.quickUntil {
		return s.span(200*ms, 2*sec)
	}
	return s.span(sec, 10*sec)
}

// cancelNow has users call off jobs that run and have long to go, within a fifth of a
// second; some of their machines hang for a while from then on.
func (s *Simulation) cancelNow(count int, hang micros.Micros) {
	left := 3 * sec
	if s.plan.Gap {
		left = s.cfg.Cancel + 2*sec
	}
	var hung []string
	for _, u := range s.users {
		if count == 0 {
			break
		}
		if !u.accepted || u.asked || u.finalState != "" || len(u.done) == u.sub.Tasks {
			continue
		}
		running := false
		for t, w := range s.onJob[u.sub.ID] {
			if t.onMachine() && !w.Dead && t.until > s.now+left {
				running = true
				hung = append(hung, w.ID)
			}
		}
		if running {
			count--
			s.concurrent.Cancelled++
			s.after(s.span(0, 200*ms), u.requestCancel)
		}
	}
	if hang > 0 {
		slices.Sort(hung)
		hung = slices.Compact(hung)
		for _, id := range hung[:min(len(hung), 8)] {
			s.workers[id].hungUntil = s.now + hang
		}
	}
}

// maybeCancelAtEnd calls a job off at the moment at which its last task ends.
func (s *Simulation) maybeCancelAtEnd(u *user) {
	if s.now < s.concurrent.endUntil && len(u.done) == u.sub.Tasks && !u.asked && s.chance(0.6) {
		s.concurrent.AtEnd++
		u.requestCancel()
		s.after(s.span(0, 5*ms), func() { u.ask(u.node(), nil) })
		s.after(s.span(0, 5*ms), u.again)
	}
}

// lookClosely: right after a job was accepted, ended or confirmed as cancelled its
// user asks all nodes again and again within milliseconds, and repeats the
// submission; some cancel at once. No node may answer anything older.
func (u *user) lookClosely() {
	s := u.sim
	if s.now >= s.concurrent.closeUntil {
		return
	}
	for i := range 4 {
		for _, n := range s.Nodes {
			s.concurrent.Looks++
			s.after(micros.Micros(i)*ms+s.span(0, ms), func() { u.ask(n, nil) })
			if i%2 == 0 {
				s.after(micros.Micros(i)*ms+s.span(0, ms), func() { u.repeat(n) })
			}
		}
	}
	if u.finalState == "" && !u.asked && s.chance(0.15) {
		s.after(s.span(0, 3*ms), u.requestCancel)
	}
}

// oddRequests: submissions that lack a field or fit no machine, repeats that are
// malformed, cancellations of jobs that are done.
func (s *Simulation) oddRequests(d micros.Micros) {
	until := s.now + d
	var next func()
	next = func() {
		if s.now >= until || len(s.users) == 0 {
			return
		}
		s.after(s.span(200*ms, 800*ms), next)
		s.concurrent.Odd++
		u := s.users[s.rng.IntN(len(s.users))]
		n := s.Nodes[s.rng.IntN(len(s.Nodes))]
		unknown := fmt.Sprintf("job-%06d", 700000+s.rng.IntN(1000))
		sub, id := u.sub, unknown
		sub.CPUs = 1000
		lacking := s.chance(0.5)
		repeats := u.accepted && s.chance(0.5)
		if repeats {
			id = u.sub.ID
		}
		sub.ID = id
		finalState := u.finalState
		u.requestAt(n, func(r controller.ReplyID) controller.Input {
			if lacking {
				return controller.SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: id, Reason: "a field is missing"}}
			}
			return controller.SubmitRequest{Reply: r, Job: sub}
		}, 5*sec, func(a controller.Answer, ok bool) {
			switch {
			case !ok:
			case repeats && (a.Status == 400 || a.Status == 422 || a.Status == 404):
				s.broken("forgotten: an odd repeat of %s got %d", id, a.Status)
			case repeats:
				u.hear(a, finalState)
			case a.Status == 200 || a.Status == 201:
				s.broken("accepted though it can't run: %s got %d", id, a.Status)
			}
		})
		if u.finalState == wire.StateDone {
			u.requestAt(n, func(r controller.ReplyID) controller.Input { return controller.CancelRequest{Reply: r, ID: u.sub.ID} }, 5*sec, func(a controller.Answer, ok bool) {
				if ok {
					u.hear(a, wire.StateDone)
				}
			})
		}
	}
	next()
}

// checkStarts: no start is sent once the job's user has been told that it is
// cancelled.
func (s *Simulation) checkStarts(n *Node, commands []wire.Command) {
	for _, c := range commands {
		if c.Op != wire.OpStart {
			continue
		}
		job, _, err := wire.ParseTask(c.Task)
		if u := s.userOf(job); err == nil && u != nil && u.cancelConfirmed != 0 {
			s.broken("%s sends a start of %s %v s after its user was told that it is cancelled", n.label, c.Task, (s.now - u.cancelConfirmed).Seconds())
		}
	}
}

// leftWaiting is how long, once faults are over, a job may wait beside room.
const leftWaiting = 90 * sec

// checkWaiting: no fitting job is left waiting beside a machine that fits and has
// room, its team under its limit.
func (s *Simulation) checkWaiting() {
	if s.now < s.plan.Length+10*sec {
		return
	}
	for _, u := range s.users {
		if !u.accepted || u.wasAsked() || u.bad || u.finalState != "" {
			continue
		}
		if at, ok := u.ready(); !ok || s.now < at+10*sec {
			u.waits = 0 // held, and its owner has yet to hear
			continue
		}
		if u.waits == 0 || u.started != u.seen || !s.waitsBesideRoom(u) {
			u.seen, u.waits = u.started, s.now
			continue
		}
		if s.now-u.waits > leftWaiting {
			s.broken("left waiting: %s (%s) for %v s beside free room, %d of %d tasks done", u.sub.ID, u.sub.Class, (s.now - u.waits).Seconds(), len(u.done), u.sub.Tasks)
		}
	}
}

// waitsBesideRoom: a task of the job is nowhere, and would fit now.
func (s *Simulation) waitsBesideRoom(u *user) bool {
	placed, zones := map[int]bool{}, map[string]int{}
	for t, w := range s.onJob[u.sub.ID] {
		if t.state != wire.TaskExited && !w.Dead {
			placed[t.idx] = true
			zones[w.Zone]++
		}
	}
	waits := 0
	for idx := range u.sub.Tasks {
		if !placed[idx] && !u.done[idx] {
			waits++
		}
	}
	if waits == 0 || !s.underLimit(u) || !s.underGroups(u) {
		return false
	}
	for _, name := range s.names {
		w := s.workers[name]
		if w.Dead || w.reclaimAt != 0 || s.now < w.UpAt+10*sec || s.now < w.hungUntil || s.now < w.faultyUntil || s.now < w.unreachableUntil || s.now < w.cutOffUntil ||
			w.Spot && !u.sub.Spot || u.sub.Types != nil && !slices.Contains(u.sub.Types, w.Type) || !w.fits(u) {
			continue
		}
		elsewhere := false
		for z, n := range zones {
			elsewhere = elsewhere || u.sub.SameZone && n > 0 && z != w.Zone
		}
		if !elsewhere && (!u.sub.Spread || zones[w.Zone]+1 <= (u.sub.Tasks+1)/2) {
			return true
		}
	}
	return false
}

// underLimit: the job's team could use one more of its tasks.
func (s *Simulation) underLimit(u *user) bool {
	for _, team := range s.plan.Teams {
		if team.Name != u.sub.Team || team.CPUsMax <= 0 {
			continue
		}
		used := u.sub.CPUs
		for _, o := range s.users {
			for t, w := range s.onJob[o.sub.ID] {
				if o.sub.Team == team.Name && t.state != wire.TaskExited && !w.Dead {
					used += o.sub.CPUs
				}
			}
		}
		return used <= team.CPUsMax+1e-6
	}
	return true
}

// cutHeartbeats keeps a part of the machines from reaching any controller, makeUnreachable keeps
// what is sent to them from arriving.
func (s *Simulation) cutHeartbeats(part float64, d micros.Micros) {
	for _, w := range s.some(part) {
		w.cutOffUntil = s.now + d
		s.concurrent.CutReports++
	}
}

func (s *Simulation) makeUnreachable(part float64, d micros.Micros) {
	for _, w := range s.some(part) {
		w.unreachableUntil = s.now + d
		s.Unreachable++
	}
}

// owner is the controller that owns most shards and leads, as far as the state
// service knows.
func (s *Simulation) owner() *Node {
	holds := s.state.LocksByController()
	best := s.Nodes[0]
	for _, n := range s.Nodes {
		if holds[n.label] > holds[best.label] {
			best = n
		}
	}
	return best
}

func (s *Simulation) lateWrites(fraction float64, atOnce bool, d micros.Micros) {
	m := &s.concurrent
	m.lateFraction, m.atOnce, m.lateUntil, m.only = fraction, atOnce, s.now+d, nil
}

// scheduleConcurrentFaults lets concurrent faults happen one after the other, in an order
// that the seed draws.
func (s *Simulation) scheduleConcurrentFaults() {
	list := append(s.faultsOfOwners(), s.faultsOfMessages()...)
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for i, f := range list[:9] {
		s.after(s.span(5*sec, 9*sec)+micros.Micros(i)*(s.plan.Length-10*sec)/9, f)
	}
}

// faultsOfOwners are those in which controllers end or change.
func (s *Simulation) faultsOfOwners() []func() {
	m := &s.concurrent
	lease := s.cfg.WorkerLease
	all := func(down micros.Micros) {
		for _, n := range s.Nodes {
			n.crash(s.span(20*ms, down))
		}
	}
	return []func(){
		// A heartbeat is held back until a new leader has acted; an old one reaches every
		// controller just as it begins; copies come after newer ones.
		func() {
			m.keepUntil = s.now + 20*sec
			s.copiesUntil = s.now + 30*sec
			s.after(s.span(2*sec, 18*sec), func() { s.owner().crash(s.span(20*ms, 5*sec)) })
		},
		// Jobs are cancelled in the seconds in which work changes hands.
		func() {
			s.owner().crash(s.span(20*ms, 6*sec))
			for range 4 {
				s.after(s.span(0, 6*sec), func() { s.cancelNow(2, s.span(0, lease)) })
			}
		},
		// All controllers are away for longer than a lease.
		func() {
			s.cancelNow(3, 0)
			for _, n := range s.Nodes {
				n.crash(lease + s.span(0, 4*sec))
			}
		},
		// Workers reach no controller, while orders reach them; a leader changes.
		func() {
			s.cutHeartbeats(0.5, s.span(lease/2, 2*lease))
			s.after(s.span(0, lease), func() { s.owner().crash(s.span(20*ms, 4*sec)) })
		},
		// New machines are up at once while writes lag, and the leader ends.
		func() {
			m.quickUntil = s.now + 30*sec
			s.lateWrites(0.5, s.chance(0.5), 20*sec)
			s.massDeath(0.3)
			s.after(s.span(2*sec, 15*sec), func() { s.owner().crash(s.span(20*ms, 4*sec)) })
		},
		// The state service refuses the leader alone and then everybody for longer than
		// a cancellation has, while users cancel and ask.
		func() {
			s.owner().stateRefusedUntil = s.now + s.span(2*sec, 8*sec)
			s.cancelNow(3, 0)
			s.after(s.span(sec, 5*sec), func() {
				s.state.SetOutage(s.now + s.cfg.Cancel + 5*sec)
				s.cancelNow(2, 0)
			})
		},
		// Hand-overs back and forth, also within a second, and all end.
		func() {
			for i := range 10 {
				s.after(micros.Micros(i)*3*sec, func() { s.owner().crash(s.span(20*ms, sec)) })
			}
			s.after(s.span(5*sec, 25*sec), func() { all(500 * ms) })
			s.after(s.span(5*sec, 25*sec), func() { s.state.SetOutage(s.now + s.span(sec, 6*sec)) })
			s.after(s.span(5*sec, 25*sec), func() { s.cancelNow(2, 0) })
		},
	}
}

// faultsOfMessages are those in which messages are late, lost or odd.
func (s *Simulation) faultsOfMessages() []func() {
	m := &s.concurrent
	lease := s.cfg.WorkerLease
	return []func(){
		// A leader ends while machines can't be reached, or don't hear the new one's answer.
		func() {
			s.makeUnreachable(0.4, s.span(lease/2, lease+5*sec))
			s.after(s.span(0, 4*sec), func() { s.owner().crash(s.span(20*ms, 5*sec)) })
		},
		// Transactions are carried out late, or at once with their answers lost.
		func() { s.lateWrites(0.5, false, 25*sec) },
		func() { s.lateWrites(0.5, true, 25*sec) },
		// A leader keeps its workers and users only; jobs are cancelled through another.
		func() {
			n := s.owner()
			s.cut(append(n.peerLinks(), n.label+"-state"), cutReset, s.span(lease, 2*lease))
			for range 3 {
				s.after(s.span(0, lease), func() { s.cancelNow(2, 0) })
			}
		},
		// Teams at their limits, cancelled jobs whose machines hang or are cut off, and
		// a leader that changes.
		func() {
			s.cancelNow(6, s.span(lease/2, lease+4*sec))
			s.massHang(0.2, s.span(sec, lease))
			s.after(s.span(0, 3*sec), func() { s.owner().crash(s.span(20*ms, 5*sec)) })
		},
		func() { m.endUntil = s.now + 30*sec },
		func() { s.oddRequests(40 * sec) },
		func() { m.closeUntil = s.now + 40*sec },
	}
}

// scheduleGap plays the gap twice. What the owner writes is carried out, but its
// answers are lost and its watches bring nothing; a moment later it is refused; then
// the state service is away for all for longer than cancelled tasks may last.
func (s *Simulation) scheduleGap() {
	play := func() {
		n := s.owner()
		s.concurrent.Gaps++
		s.concurrent.lateFraction, s.concurrent.atOnce, s.concurrent.lateUntil, s.concurrent.only = 1, true, s.now+600*ms, n
		n.watchesLostUntil = s.now + 10*sec
		s.after(600*ms, func() { n.stateRefusedUntil = s.now + s.span(3*sec, 8*sec) })
		s.cancelNow(6, 0)
		s.after(s.span(1500*ms, 2500*ms), func() { s.state.SetOutage(s.now + s.cfg.Cancel + 6*sec) })
		if s.chance(0.4) { // and it can't hear the others either
			var links []string
			for _, o := range s.Nodes {
				if o != n {
					links = append(links, n.peerLink(o.label))
				}
			}
			s.after(600*ms, func() { s.cut(links, cutReset, s.cfg.Cancel) })
		}
	}
	s.after(s.span(15*sec, 25*sec), play)
	s.after(s.plan.Length*2/3, play)
}
