package controller

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// newLargeHarness returns a harness whose controller owns one shard with many machines, all of them
// full, and many open jobs with waiting tasks.
func newLargeHarness(tb testing.TB, machines, jobs, tasks int) *harness {
	h := &harness{now: sec, keys: map[string]wire.KeyValue{}, answers: map[ReplyID]Answer{}}
	cfg := Config{
		Label: "n-0", Shards: 1, Teams: []Team{{Name: "t"}, {Name: "u"}},
		Lease: 4 * sec, HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, CancelWithin: 70 * sec,
		StateRPS: 10_000, WriteRPS: 10_000, ValueBytes: 32 << 10, TxnOps: 24, MaxWorkerRequests: 64, CloudRPS: 100, ListLag: sec,
		DrainHorizon: 30 * sec, IdleReturn: micros.Minute, CordonPeriod: 30 * sec, MaxMachines: machines,
		StartWithin: map[string]micros.Micros{},
	}
	h.c = New(cfg, 1)
	h.run(sec)
	for i := range machines {
		h.cloudMachines = append(h.cloudMachines, wire.ListedMachine{ID: machineName(i), Addr: machineName(i), Type: "m", Zone: "a", State: wire.MachineRunning, AgeS: 1})
	}
	h.c.fleet.nextListAt, h.c.fleet.nextPlanAt = h.now, h.now+400*ms
	h.run(sec)
	if len(h.c.machines) != machines {
		tb.Fatalf("%d machines on record, want %d", len(h.c.machines), machines)
	}
	h.c.fleet.nextPlanAt, h.c.fleet.nextListAt = micros.Never, micros.Never
	for i := range jobs {
		h.submit(newSubmission(fmt.Sprintf("job-%06d", i), tasks))
		if len(h.workerCalls) > 0 {
			h.workerCalls = h.workerCalls[:0]
		}
	}
	for i := range machines {
		h.fill(i)
	}
	return h
}

// machineName returns the ID of the machine with an index.
func machineName(i int) string { return fmt.Sprintf("vm-%06d", i) }

// fill sends a machine's first heartbeat, and a second one that lists the tasks that the reply to
// the first one started.
func (h *harness) fill(i int) {
	_, body := h.heartbeat(heartbeatFrom(machineName(i), 1, 1, 0))
	h.heartbeat(heartbeatFrom(machineName(i), 1, 2, body.FencingToken, taskStatuses(startCommands(body.Commands), wire.TaskRunning)...))
}

// taskStatuses returns a status in the given state for the task of each command.
func taskStatuses(commands []wire.Command, state wire.TaskState) (out []wire.TaskStatus) {
	for _, c := range commands {
		out = append(out, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: state})
	}
	return out
}

// finishOneTask sends a heartbeat in which one task of a machine has ended, so that another one is
// started.
func (h *harness) finishOneTask(i int) {
	m := h.c.machines[machineName(i)]
	v := m.view
	var tasks []wire.TaskStatus
	for _, att := range v.attemptList {
		status := wire.TaskStatus{Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt, State: wire.TaskRunning}
		if len(tasks) == 0 && att.state != attemptExited {
			status.State, status.ExitReason = wire.TaskExited, wire.ExitDone
		} else if att.state == attemptExited {
			continue
		}
		tasks = append(tasks, status)
	}
	h.heartbeat(heartbeatFrom(m.id, v.agentEpoch, v.sequence+1, v.fencingToken, tasks...))
}

// TestWorkPerHeartbeat checks that the work for a heartbeat does not grow with the number of
// machines or jobs. It counts visits instead of measuring time.
func TestWorkPerHeartbeat(t *testing.T) {
	work := func(machines, jobs, tasks int) float64 {
		h := newLargeHarness(t, machines, jobs, tasks)
		before := h.c.visited
		const turns = 200
		for i := range turns {
			h.c.maintenance.lastRunAt = h.now // keep maintenance out of the count
			h.finishOneTask(i % machines)
		}
		return float64(h.c.visited-before) / turns
	}
	small := work(50, 20, 500)
	for _, tc := range []struct {
		name                  string
		machines, jobs, tasks int
	}{
		{"many machines", 2200, 20, 500},
		{"a fleet, large arrays", 3100, 150, 2000},
		{"a fleet, many jobs", 1900, 500, 90},
		{"four thousand machines", 4000, 150, 500},
		{"six thousand machines", 6000, 150, 500},
		{"many jobs", 200, 300, 200},
		{"long arrays", 200, 20, 20_000},
	} {
		if got := work(tc.machines, tc.jobs, tc.tasks); got > 2*small+10 {
			t.Errorf("%s: a heartbeat visits %.0f machines, jobs and attempts, compared with %.0f in a small fleet", tc.name, got, small)
		}
	}
}

// TestUnchangedHeartbeat checks that a heartbeat with the same task list as the previous one costs
// only a comparison, however many tasks it lists. A heartbeat that lists fewer tasks, or that comes
// after a command was sent, is processed in full.
func TestUnchangedHeartbeat(t *testing.T) {
	h := newLargeHarness(t, 50, 20, 500)
	m := h.c.machines[machineName(7)]
	v := m.view
	var tasks []wire.TaskStatus
	for _, att := range v.attemptList {
		tasks = append(tasks, wire.TaskStatus{Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt, State: wire.TaskRunning})
	}
	send := func(tasks []wire.TaskStatus) uint64 {
		h.c.maintenance.lastRunAt, h.c.schedulingDue = h.now, false
		before := h.c.visited
		h.heartbeat(heartbeatFrom(m.id, v.agentEpoch, v.sequence+1, v.fencingToken, tasks...))
		return h.c.visited - before
	}
	send(tasks)
	if n := send(tasks); n > 1 { // one visit: the first job in the queue
		t.Errorf("an unchanged heartbeat visits %d attempts", n)
	}
	if n := testing.AllocsPerRun(50, func() { send(tasks) }); n > 12 {
		t.Errorf("an unchanged heartbeat takes %.0f allocations", n)
	}
	gone := v.attemptList[0]
	h.c.dropAttempt(gone)
	send(tasks)
	if v.attempts[gone.key] == nil {
		t.Error("an attempt that was dropped here but is still listed by its machine was not adopted")
	}
	attempts := len(v.attemptList)
	send(tasks[1:])
	if v.attempts[gone.key] != nil || len(v.attemptList) == attempts+1 {
		t.Error("an attempt that its machine no longer lists was kept")
	}
}

// TestWakeUps checks that maintenance seldom wakes an idle controller, and wakes it often while a
// shard is not reconciled or has no owner.
func TestWakeUps(t *testing.T) {
	wakes := func(h *harness) int {
		n := 0
		for end := h.now + 10*sec; h.now < end; n++ {
			h.now = max(h.c.Wake(), h.now+ms)
			h.step(Tick{})
		}
		return n
	}
	calm := newHarness(t, nil)
	calm.reconcileMachine("vm-1")
	calm.reconcileMachine("vm-2")
	if n := wakes(calm); n > 60 {
		t.Errorf("%d wake-ups in 10 s without activity, want at most 60", n)
	}
	busy := newHarness(t, nil)
	busy.reconcileMachine("vm-1")
	busy.c.ownership.shards[0].reconciled = false
	if interval := busy.c.maintenanceInterval(); interval != activeMaintenanceInterval {
		t.Errorf("maintenance runs every %v while a shard is not reconciled", interval)
	}
	busy.c.ownership.shards[0].reconciled, busy.c.ownership.shards[0].ownerEpoch = true, 0
	if interval := busy.c.maintenanceInterval(); interval != activeMaintenanceInterval {
		t.Errorf("maintenance runs every %v while a shard has no owner", interval)
	}
}

// TestWorkPerRound checks that a round visits each machine only a few times, however many tasks
// wait.
func TestWorkPerRound(t *testing.T) {
	for _, tc := range []struct{ machines, jobs, tasks int }{{200, 20, 500}, {2200, 20, 500}, {2200, 300, 500}, {3100, 150, 2000}, {1900, 500, 90}, {700, 20, 20_000}, {4000, 150, 500}, {6000, 150, 500}} {
		h := newLargeHarness(t, tc.machines, tc.jobs, tc.tasks)
		before := h.c.visited
		h.now += micros.Second
		h.c.schedulingDue = true
		h.step(Tick{})
		if got, most := h.c.visited-before, uint64(10*tc.machines+3*tc.jobs+100); got > most {
			t.Errorf("%d machines, %d jobs of %d tasks: a step visits %d, want at most %d", tc.machines, tc.jobs, tc.tasks, got, most)
		}
	}
}

// TestWorkPerRoundOfZonedJobs checks that a round does not try every job that is bound to one zone
// on every machine with free capacity. The next round must continue where it stopped, and reach the
// job behind them. A zone-bound job that fits nowhere rules out no other job: in the simulation
// with 4,000 machines (TestLargeFleet) one round visited each machine 9.4 times, and in other runs
// up to 20 times.
func TestWorkPerRoundOfZonedJobs(t *testing.T) {
	const machines, zoned = 2200, 100
	h := newLargeHarness(t, machines, 0, 0)
	filler := newSubmission("job-000900", machines)
	filler.CPUs = 3
	h.submit(filler)
	h.workerCalls = h.workerCalls[:0]
	for i := range machines { // leave one of four CPUs free on each machine
		fencingToken := h.c.machines[machineName(i)].view.fencingToken
		_, body := h.heartbeat(heartbeatFrom(machineName(i), 1, 3, fencingToken))
		h.heartbeat(heartbeatFrom(machineName(i), 1, 4, fencingToken, taskStatuses(startCommands(body.Commands), wire.TaskRunning)...))
	}
	for i := range zoned {
		sub := newSubmission(fmt.Sprintf("job-%06d", 1000+i), 2)
		sub.SameZone, sub.CPUs, sub.Priority = true, 2, "high"
		h.request(func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: sub} })
	}
	last := newSubmission("job-002000", 1)
	last.Priority = "best_effort"
	h.request(func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: last} })
	most := uint64(0)
	j := h.c.jobs.open[last.ID]
	for began := h.now; len(j.run.active) == 0; {
		if h.now > began+10*sec {
			t.Fatal("the job behind the zone-bound jobs has not started after 10 s")
		}
		before := h.c.visited
		h.now += schedulingInterval
		h.step(Tick{})
		most = max(most, h.c.visited-before)
	}
	if most > 10*machines {
		t.Errorf("a step visits %d machines, jobs and attempts, want at most %d", most, 10*machines)
	}
}

// TestMessageOfLargeFleet checks that the status that a controller sends to the leader about 6,000
// idle machines, with names as long as a UUID, lists every machine in one message. Beyond that size
// only some machines are listed, but all are counted; the others are listed in later messages.
func TestMessageOfLargeFleet(t *testing.T) {
	const machines = 6000
	h := newLargeHarness(t, machines, 1, 1)
	for _, m := range h.c.machines {
		m.id += strings.Repeat("x", 36-len(m.id))
	}
	c := h.c
	for i := range machines {
		c.misdirectedHeartbeats[machineName(i)] = h.now
	}
	c.ownership.leader.owner.Label = "n-1"
	demandStatus := func() (*peer.Status, int) {
		st := &peer.Status{ControllerState: c.controllerStateFor(&peerView{label: "n-0"}), Demand: c.demands()}
		for i := range maxNamesPerStatus {
			st.ReturnedMachines = append(st.ReturnedMachines, machineName(i))
			st.Cancelled = append(st.Cancelled, machineName(i))
		}
		b, err := peer.Encode(peer.Request{From: "n-0", Status: st})
		if err != nil {
			t.Fatal(err)
		}
		return st, len(b)
	}
	st, size := demandStatus()
	if d := st.Demand[0]; len(d.Machines) < machines-1 || d.TotalMachines != machines || len(st.MisdirectedMachines) != machines {
		t.Errorf("%d machines listed, %d misdirected, %d counted, of %d", len(d.Machines), len(st.MisdirectedMachines), d.TotalMachines, machines)
	}
	if size > peer.MaxMessage*9/10 {
		t.Errorf("the message has %d bytes, want at most nine tenths of %d", size, peer.MaxMessage)
	}
	for _, m := range c.machines {
		m.id += strings.Repeat("x", 200-len(m.id))
	}
	st, size = demandStatus()
	if d := st.Demand[0]; len(d.Machines) == 0 || len(d.Machines) == machines || d.TotalMachines != machines {
		t.Errorf("beyond the bound, %d machines are listed and %d counted, of %d", len(d.Machines), d.TotalMachines, machines)
	}
	if size > peer.MaxMessage*9/10 {
		t.Errorf("beyond the bound, the message has %d bytes, want at most nine tenths of %d", size, peer.MaxMessage)
	}
}

// BenchmarkHeartbeat shows how the cost of a heartbeat grows. Compare allocations and the ratio
// between sizes rather than absolute times.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ machines, jobs, tasks int }{{50, 20, 2000}, {700, 100, 1000}, {2200, 300, 1000}, {3100, 150, 2000}} {
		b.Run(fmt.Sprintf("%d machines %d jobs", size.machines, size.jobs), func(b *testing.B) {
			h := newLargeHarness(b, size.machines, size.jobs, size.tasks)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.finishOneTask(i % size.machines)
			}
		})
	}
}

// BenchmarkRound shows the cost of a scheduling round in which all machines are full.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{50, 700, 2200, 3100} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			h := newLargeHarness(b, machines, 100, 1000)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.now += 100 * ms
				h.c.schedulingDue = true
				h.step(Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the memory taken by each machine, waiting job and final job, in bytes.
func BenchmarkMemory(b *testing.B) {
	held := func(machines, jobs, finished int) float64 {
		h := newLargeHarness(b, machines, jobs, 500)
		for i := range finished {
			h.c.jobs.finals.add(fmt.Sprintf("job-%06d", 500_000+i), finalJob{state: wire.StateDone, tasks: 1})
		}
		var ms runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&ms)
		runtime.KeepAlive(h)
		return float64(ms.HeapAlloc)
	}
	for range b.N {
		base := held(200, 40, 0)
		b.ReportMetric((held(1200, 40, 0)-base)/1000, "B/machine")
		b.ReportMetric((held(200, 240, 0)-base)/200, "B/job")
		b.ReportMetric((held(200, 40, 10_000)-base)/10_000, "B/finished-job")
	}
}

// TestWorkOfDAGs checks that hundreds of DAGs that wait add hardly any work to a heartbeat or to a
// walk over the queue: blocked jobs must not be in the queue.
func TestWorkOfDAGs(t *testing.T) {
	work := func(dags int) (perHeartbeat, walk float64) {
		h := newLargeHarness(t, 50, 20, 500)
		for p := range dags {
			first := newSubmission(fmt.Sprintf("job-%06d", 500_000+10*p), 100)
			h.submit(first)
			for stage := 1; stage < 5; stage++ {
				s := newSubmission(fmt.Sprintf("job-%06d", 500_000+10*p+stage), 50)
				s.DependsOn = []string{fmt.Sprintf("job-%06d", 500_000+10*p+stage-1)}
				h.submit(s)
			}
			h.workerCalls = h.workerCalls[:0]
		}
		before := h.c.visited
		for i := range 100 {
			h.c.maintenance.lastRunAt = h.now
			h.finishOneTask(i % 50)
		}
		return float64(h.c.visited-before) / 100, float64(len(h.c.queue(h.c.ownership.shards[0])))
	}
	none, _ := work(0)
	many, queue := work(300)
	if many > 2*none+10 {
		t.Errorf("a heartbeat visits %.0f machines, jobs and attempts with DAGs, %.0f without", many, none)
	}
	if queue > 20+300 {
		t.Errorf("%.0f jobs are in the queue, so blocked jobs are among them", queue)
	}
}
