package quota

import (
	"fmt"
	"slices"
	"testing"
)

// TestConcurrentGrants guards against use above a limit in force, or above an allowance, when
// several controllers grant from the same groups. Meanwhile processes end, controllers are cut
// off from the store, writes are late or lose their responses, and limits change at any moment.
// It also checks that no task still waits at the end, long after the last fault.
func TestConcurrentGrants(t *testing.T) {
	single := []Definition{{Name: "all", Limit: CPULimit(20)}}
	nested := []Definition{
		{Name: "all", Limit: CPULimit(40)},
		{Name: "lake", Parent: "all", Limit: CPULimit(20)},
		{Name: "hill", Parent: "all", Limit: CPULimit(30)},
	}
	guaranteed := slices.Clone(nested)
	guaranteed[1].Guarantee = Amount{CPUs: 15}
	for _, tc := range []struct {
		name        string
		plan        worldPlan
		definitions []Definition
		seeds       uint64
	}{
		{
			name:        "two controllers, one group",
			plan:        worldPlan{controllers: 2, taskSizes: []float64{1}, waitingPerShard: 30},
			definitions: single,
			seeds:       6,
		},
		{
			name:        "three controllers, tasks of several sizes",
			plan:        worldPlan{controllers: 3, taskSizes: []float64{1, 2, 4}, waitingPerShard: 20},
			definitions: single,
			seeds:       6,
		},
		{
			name:        "three controllers, one group with a guarantee",
			plan:        worldPlan{controllers: 3, taskSizes: []float64{1, 2}, waitingPerShard: 20},
			definitions: guaranteed,
			seeds:       6,
		},
		{
			name:        "three controllers, nested groups",
			plan:        worldPlan{controllers: 3, taskSizes: []float64{1, 4}, waitingPerShard: 20},
			definitions: nested,
			seeds:       10,
		},
		{
			name:        "five controllers, nested groups",
			plan:        worldPlan{controllers: 5, taskSizes: []float64{1, 2, 8}, waitingPerShard: 12},
			definitions: nested,
			seeds:       10,
		},
	} {
		plan := tc.plan
		plan.storeFaults = true
		plan.duration = 160 * sec
		for seed := range tc.seeds {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(seed, plan, tc.definitions)
				w.startFaults(4*sec, 90*sec, 92*sec)
				w.run()
				w.requireNoViolation(t)
				w.requireEventfulRun(t)
				w.requireNoneWaiting(t)
				t.Logf("%d grants, %d writes, %v", w.grants, w.writes, w.changes)
			})
		}
	}
}

// requireEventfulRun fails the test if too little happened for the checks to be meaningful.
func (w *world) requireEventfulRun(t *testing.T) {
	t.Helper()
	const (
		leastGrants    = 200
		leastAnnounced = 5
		leastInForce   = 3
	)
	moved := w.changes[Grown] > 0 && w.changes[Shrunk] > 0
	limited := w.changes[Announced] >= leastAnnounced && w.changes[InForce] >= leastInForce
	if w.grants < leastGrants || !moved || !limited {
		t.Errorf("too little happened: %d grants, %v", w.grants, w.changes)
	}
}

// TestScatteredQuotaIsUsed guards against tasks that wait although the unused quota of all
// shards together has room for them, and against too many writes of the records. Free quota is
// spread over the allowances of several owners and must be gathered in one of them before a
// large task can start. There are no faults.
func TestScatteredQuotaIsUsed(t *testing.T) {
	const longestWait = 4 * sec
	for _, tc := range []struct {
		name               string
		plan               worldPlan
		limit              float64
		mostWritesPerGrant float64
	}{
		{
			name:               "tasks of several sizes",
			plan:               worldPlan{controllers: 3, taskSizes: []float64{1, 3, 7}, waitingPerShard: 10},
			limit:              11,
			mostWritesPerGrant: 2,
		},
		{
			name:               "a task takes nearly the whole limit",
			plan:               worldPlan{controllers: 3, taskSizes: []float64{9}, waitingPerShard: 2},
			limit:              10,
			mostWritesPerGrant: 4,
		},
		{
			name:               "two tasks fit",
			plan:               worldPlan{controllers: 5, taskSizes: []float64{5}, waitingPerShard: 3},
			limit:              12,
			mostWritesPerGrant: 3,
		},
		{
			name:               "many small tasks",
			plan:               worldPlan{controllers: 3, taskSizes: []float64{1}, waitingPerShard: 40},
			limit:              80,
			mostWritesPerGrant: 0.05,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := tc.plan
			plan.duration = 110 * sec
			w := newWorld(1, plan, []Definition{{Name: "all", Limit: CPULimit(tc.limit)}})
			w.run()
			w.requireNoViolation(t)
			if w.longestWait > longestWait {
				t.Errorf("a task waited %.1f s although free quota had room for it", w.longestWait.Seconds())
			}
			if float64(w.writes) > tc.mostWritesPerGrant*float64(w.grants) {
				t.Errorf("%d writes for %d grants, more than the case permits", w.writes, w.grants)
			}
			w.requireNoneWaiting(t)
			t.Logf("%d grants, %d writes, longest wait %.2f s", w.grants, w.writes, w.longestWait.Seconds())
		})
	}
}

// TestLentGuaranteeIsReturned guards against a guarantee that is not honoured in time. While a
// group has no tasks, other groups use its guarantee. Once its tasks come, it must have the
// guarantee back within the time that each case states, also if the watch of one owner that
// uses the guarantee is stalled, or all such owners are cut off from the store or have ended.
func TestLentGuaranteeIsReturned(t *testing.T) {
	const (
		tasksComeAt = 20 * sec
		guarantee   = 15
		leastLent   = 35
	)
	definitions := []Definition{
		{Name: "all", Limit: CPULimit(40)},
		{Name: "lake", Parent: "all", Guarantee: Amount{CPUs: guarantee}},
		{Name: "hill", Parent: "all"},
	}
	// Shard 0 has tasks of group lake only, from tasksComeAt on. The other shards fill the limit
	// of group all with tasks of group hill.
	wantedGroups := func(shard int, now Micros) []string {
		switch {
		case shard != 0:
			return []string{"hill"}
		case now >= tasksComeAt:
			return []string{"lake"}
		}
		return nil
	}
	for _, tc := range []struct {
		name   string
		fault  func(first, second *simulatedController)
		within Micros
	}{
		{"no fault", func(_, _ *simulatedController) {}, 5 * sec},
		{"the watch of a lender is stalled", func(first, _ *simulatedController) {
			first.watchStalledUntil = first.world.now + 5*sec
		}, 10 * sec},
		{"the lenders are cut off", func(first, second *simulatedController) {
			first.cutOffUntil = first.world.now + 8*sec
			second.cutOffUntil = second.world.now + 8*sec
		}, 14 * sec},
		{"the processes of the lenders end", func(first, second *simulatedController) {
			first.stop(60 * sec)
			second.stop(60 * sec)
		}, 12 * sec},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(3, worldPlan{
				controllers:     3,
				duration:        90 * sec,
				taskSizes:       []float64{1},
				waitingPerShard: 60,
				maxTaskDuration: 300 * sec,
				wantedGroups:    wantedGroups,
			}, definitions)
			lent, received := 0.0, 0.0
			w.after(tasksComeAt-sec, func() { tc.fault(w.controllers[1], w.controllers[2]) })
			w.after(tasksComeAt-2*sec, func() { lent = w.usedCPUs(allShards, "hill") })
			w.after(tasksComeAt+tc.within, func() { received = w.usedCPUs(allShards, "lake") })
			w.run()
			w.requireNoViolation(t)
			if lent < leastLent {
				t.Errorf("only %g CPUs were lent before the tasks came, too few for this test", lent)
			}
			if received < guarantee {
				t.Errorf("lake uses %g CPUs %v s after its tasks came, its guarantee is %d", received, tc.within.Seconds(), guarantee)
			}
		})
	}
}
