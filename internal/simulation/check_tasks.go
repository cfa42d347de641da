package simulation

import (
	"slices"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

// renewalMargin is how much clock drift and the granularity of ticks may extend a worker's lease.
const renewalMargin = 200 * ms

// occupiesMachine reports whether a task runs on its worker's machine. The tasks of a hanging
// machine end when its lease expires, although the worker reports that later.
func (s *Simulation) occupiesMachine(w *worker, t *fakes.Task) bool {
	return t.OnMachine() && !w.Dead && !w.LeaseExpired()
}

// checkStart checks the rules about starts when a task's image is loaded and the task starts.
func (s *Simulation) checkStart(w *worker, t *fakes.Task) {
	s.Started++
	s.trace("start %s attempt %x on %s agent epoch %d", t.Name, t.Attempt, w.ID, w.AgentEpoch())
	u := s.userOf(t.Job)
	if u == nil {
		s.violated("invented: %s started, but no user submitted its job", t.Name)
		return
	}
	u.starts++
	s.checkDependenciesDone(u, t)
	if u.pastCancelDeadline() {
		s.violated("ran_cancelled: %s starts after the deadline of its cancellation", t.Name)
	}
	zones := s.checkRunsOnce(w, t)
	s.checkTeamLimit(u.Submission.Team)
	s.checkGroupsOf(u.Submission.Team)
	s.checkPlacement(w, t, u, zones)
}

// checkRunsOnce checks that a task runs on one machine only, and returns the number of the job's
// other running tasks by zone.
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

// checkPlacement checks that a task starts only where its job allows it, given the number of the
// job's other tasks by zone.
func (s *Simulation) checkPlacement(w *worker, t *fakes.Task, u *user, zones map[string]int) {
	zoneAllowed := u.Submission.Zone == "" || u.Submission.Zone == w.Zone
	if !w.allowedBy(u) || !zoneAllowed {
		s.violated("wrong_place: %s starts on %s, which its job does not allow", t.Name, w.ID)
	}
	if u.violatesSameZone(w.Zone, zones) {
		s.violated("wrong_place: %s starts in zone %s, but the job's other tasks are in %v", t.Name, w.Zone, zones)
	}
	if u.violatesSpread(w.Zone, zones) {
		s.violated("wrong_place: %s exceeds its job's maximum of tasks in zone %s", t.Name, w.Zone)
	}
}

// checkTeamLimit checks that a team's tasks use no more than its limit.
func (s *Simulation) checkTeamLimit(name string) {
	for _, team := range s.plan.Teams {
		if team.Name != name || team.CPUsMax <= 0 {
			continue
		}
		if used := s.usageOf(name); used > team.CPUsMax+fakes.RoundingTolerance {
			s.violated("quota: team %s uses %v CPUs, its limit is %v", team.Name, used, team.CPUsMax)
		}
	}
}

// usageOf returns how many CPUs the running tasks of the given teams use.
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

// checkCancelledTasks checks that no task of a cancelled job is on the machine after the deadline
// of the cancellation.
func (w *worker) checkCancelledTasks() {
	for _, t := range w.Tasks() {
		w.checkCancelledTask(t)
	}
}

func (w *worker) checkCancelledTask(t *fakes.Task) {
	if t.OnMachine() && w.sim.userOf(t.Job).pastCancelDeadline() {
		w.sim.violated("ran_cancelled: %s is still on %s", t.Name, w.ID)
	}
}

// checkLeaseRenewal checks that a reply which renews a machine's lease past the deadline of a
// cancellation also stops the cancelled job's tasks. Otherwise the tasks would be gone in time
// only if no fault happens from then on.
func (s *Simulation) checkLeaseRenewal(w *worker) {
	leaseUntil := w.LeaseUntil()
	for _, t := range w.Tasks() {
		u := s.userOf(t.Job)
		if t.Exited() || u == nil {
			continue
		}
		until, cancelled := u.cancelDeadline()
		if cancelled && leaseUntil > until+renewalMargin {
			s.violated("renewed: the lease of %s now ends %v s after %s was reported as cancelled, but %s was not stopped", w.ID, (leaseUntil - u.cancelConfirmedAt).Seconds(), t.Job, t.Name)
		}
	}
}

// checkStartsSent checks that a controller sends no start of a task after the job's cancellation
// was reported to its user.
func (s *Simulation) checkStartsSent(n *node, commands []wire.Command) {
	for _, command := range commands {
		if command.Op != wire.OpStart {
			continue
		}
		job, _, err := wire.ParseTaskName(command.Task)
		u := s.userOf(job)
		if err == nil && u != nil && u.cancelConfirmedAt != 0 {
			s.violated("%s sends a start of %s %v s after its job was reported as cancelled", n.label, command.Task, (s.now - u.cancelConfirmedAt).Seconds())
		}
	}
}

// checkEndedTaskStop checks a controller's log entry about a task that it stops because the task's
// job has ended: the job's record must be final or missing. args are the arguments of the entry.
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
		s.violated("stopped: %s stops a task of %s, which has not ended: %v", n.label, job, args)
	}
}

// countBusyReturn counts a machine that is returned while it runs tasks, if the plan has no fault
// that explains it.
func (s *Simulation) countBusyReturn(m *fakes.Machine) {
	if !s.plan.mayReturnBusyMachines() && !m.Dead && s.workers[m.ID].runsWantedTask() {
		s.ReturnedBusy++
		s.trace("%s returned with tasks on it", m.ID)
	}
}
