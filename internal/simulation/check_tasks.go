package simulation

import (
	"slices"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

// renewalMargin is what drift between clocks and steps of time may add to a lease.
const renewalMargin = 200 * ms

// occupiesMachine reports whether a worker's task is on its machine. A hanging machine's tasks
// end with its lease, though it says so later.
func (s *Simulation) occupiesMachine(w *worker, t *fakes.Task) bool {
	return t.OnMachine() && !w.Dead && !w.LeaseExpired()
}

// checkStart checks the rules at the moment when a task has its image.
func (s *Simulation) checkStart(w *worker, t *fakes.Task) {
	s.Started++
	s.trace("start %s attempt %x on %s agent epoch %d", t.Name, t.Attempt, w.ID, w.AgentEpoch())
	u := s.userOf(t.Job)
	if u == nil {
		s.violated("invented: %s started, nobody submitted it", t.Name)
		return
	}
	u.starts++
	s.checkDependenciesDone(u, t)
	if u.pastCancelTime() {
		s.violated("ran_cancelled: %s starts long after its cancellation", t.Name)
	}
	zones := s.checkRunsOnce(w, t)
	s.checkTeamLimit(u.Submission.Team)
	s.checkGroupsOf(u.Submission.Team)
	s.checkPlacement(w, t, u, zones)
}

// checkRunsOnce checks that a task runs on one machine only, and returns how many of the
// job's other tasks are in each zone.
func (s *Simulation) checkRunsOnce(w *worker, t *fakes.Task) map[string]int {
	zones := map[string]int{}
	for other, onWorker := range s.tasksByJob[t.Job] {
		if !s.occupiesMachine(onWorker, other) {
			continue
		}
		if onWorker != w && other.Name == t.Name {
			s.violated("ran_twice: %s runs on %s and is started on %s", t.Name, onWorker.ID, w.ID)
		}
		if onWorker != w || other.Name != t.Name {
			zones[onWorker.Zone]++
		}
	}
	return zones
}

// checkPlacement checks that a task starts only where its job allows, given where the job's
// others are.
func (s *Simulation) checkPlacement(w *worker, t *fakes.Task, u *user, zones map[string]int) {
	zoneAllowed := u.Submission.Zone == "" || u.Submission.Zone == w.Zone
	if !w.suits(u) || !zoneAllowed {
		s.violated("wrong_place: %s on %s", t.Name, w.ID)
	}
	if u.elsewhere(w.Zone, zones) {
		s.violated("wrong_place: %s in %s, others are in %v", t.Name, w.Zone, zones)
	}
	if u.crowds(w.Zone, zones) {
		s.violated("wrong_place: %s is one too many in %s", t.Name, w.Zone)
	}
}

// checkTeamLimit checks that a team's tasks use no more than its limit.
func (s *Simulation) checkTeamLimit(name string) {
	for _, team := range s.plan.Teams {
		if team.Name != name || team.CPUsMax <= 0 {
			continue
		}
		if used := s.usageOf(name); used > team.CPUsMax+fakes.RoundingTolerance {
			s.violated("quota: %s uses %v CPUs of %v", team.Name, used, team.CPUsMax)
		}
	}
}

// usageOf returns how many CPUs the tasks of some teams use.
func (s *Simulation) usageOf(teams ...string) (used float64) {
	for _, u := range s.users {
		if !slices.Contains(teams, u.Submission.Team) {
			continue
		}
		for t, w := range s.tasksByJob[u.Submission.ID] {
			if s.occupiesMachine(w, t) {
				used += u.Submission.CPUs
			}
		}
	}
	return used
}

// checkCancelledTasks checks that no task is on a machine once its cancellation's time is over.
func (w *worker) checkCancelledTasks() {
	for _, t := range w.Tasks() {
		w.checkCancelledTask(t)
	}
}

func (w *worker) checkCancelledTask(t *fakes.Task) {
	if t.OnMachine() && w.sim.userOf(t.Job).pastCancelTime() {
		w.sim.violated("ran_cancelled: %s is still on %s", t.Name, w.ID)
	}
}

// checkLeaseRenewal checks that a reply that renews a machine's lease past the time of a
// cancelled task brings the task's stop. Else the task is gone in time only if all goes well
// from then on.
func (s *Simulation) checkLeaseRenewal(w *worker) {
	leaseUntil := w.LeaseUntil()
	for _, t := range w.Tasks() {
		u := s.userOf(t.Job)
		if t.Exited() || u == nil {
			continue
		}
		until, cancelled := u.cancelTime()
		if cancelled && leaseUntil > until+renewalMargin {
			s.violated("renewed: the lease of %s, which ends %v s after %s was called cancelled, and %s has not been stopped", w.ID, (leaseUntil - u.cancelConfirmed).Seconds(), t.Job, t.Name)
		}
	}
}

// checkStartsSent checks that no start is sent once the job's cancellation was reported to its
// user.
func (s *Simulation) checkStartsSent(n *node, commands []wire.Command) {
	for _, command := range commands {
		if command.Op != wire.OpStart {
			continue
		}
		job, _, err := wire.ParseTask(command.Task)
		u := s.userOf(job)
		if err == nil && u != nil && u.cancelConfirmed != 0 {
			s.violated("%s sends a start of %s %v s after its cancellation was confirmed", n.label, command.Task, (s.now - u.cancelConfirmed).Seconds())
		}
	}
}

// checkEndedTaskStop checks that what a controller stops because its job has ended is of a job
// that has, or that nobody submitted. args are those of the log entry.
func (s *Simulation) checkEndedTaskStop(n *node, args []any) {
	s.EndedTaskStops++
	i := slices.Index(args, any("job"))
	job, _ := args[i+1].(string)
	value, ok := s.state.Value(wire.JobKey(job))
	if !ok {
		return
	}
	var record wire.JobRecord
	if wire.Decode(value, &record) != nil || !record.Final() {
		s.violated("stopped: %s stops a task of %s, which is open: %v", n.label, job, args)
	}
}

// checkReturn counts machines that are returned with work on them although nothing is wrong.
func (s *Simulation) checkReturn(m *fakes.Machine) {
	if !s.plan.hasFaults() && !m.Dead && s.workers[m.ID].working() {
		s.ReturnedBusy++
		s.trace("%s returned with work on it", m.ID)
	}
}
