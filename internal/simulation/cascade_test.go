package simulation

import (
	"fmt"
	"testing"

	"garnethitch/internal/controller"
)

// TestCascades checks that cancelling a job cancels all its dependents by the deadline of the
// cancellation, up to the number of dependents that the settings allow for, and that the rules hold
// meanwhile. The owner of the jobs may crash or be cut off, the state service may refuse it or
// lower its limits, and the controllers may be upgraded.
func TestCascades(t *testing.T) {
	for _, tc := range []struct {
		name    string
		teams   []controller.Team
		cascade Cascade
	}{
		{"wide", fourTeams(), Cascade{Shape: Wide, Dependents: 900}},
		{"wide, sharded by job", oneTeam(), Cascade{Shape: Wide, Dependents: 900}},
		{"wide, limits lowered before", fourTeams(), Cascade{Shape: Wide, Dependents: 900, LimitsLoweredBefore: true}},
		{"wide, limits lowered meanwhile", fourTeams(), Cascade{Shape: Wide, Dependents: 900, Fault: LimitsLowered}},
		{"wide, the owner ends", fourTeams(), Cascade{Shape: Wide, Dependents: 400, Fault: OwnerCrashes}},
		{"wide, the owner returns at once", fourTeams(), Cascade{Shape: Wide, Dependents: 900, Fault: OwnerRestarts}},
		{"wide, the owner is cut off", fourTeams(), Cascade{Shape: Wide, Dependents: 400, Fault: OwnerCutOff}},
		{"wide, the owner is refused", fourTeams(), Cascade{Shape: Wide, Dependents: 400, Fault: OwnerRefusedByState, LimitsLoweredBefore: true}},
		{"deep", fourTeams(), Cascade{Shape: Deep, Dependents: 200}},
		{"deep, sharded by job, from the middle", oneTeam(), Cascade{Shape: Deep, Dependents: 200, CancelMiddle: true}},
		{"deep, the owner ends", fourTeams(), Cascade{Shape: Deep, Dependents: 200, Fault: OwnerCrashes}},
		{"deep, the owner is refused", oneTeam(), Cascade{Shape: Deep, Dependents: 200, Fault: OwnerRefusedByState}},
		{"diamonds, from the middle", fourTeams(), Cascade{Shape: Diamonds, Dependents: 300, CancelMiddle: true}},
		{"diamonds, the owner returns at once", oneTeam(), Cascade{Shape: Diamonds, Dependents: 300, Fault: OwnerRestarts, LimitsLoweredBefore: true}},
		{"wide, during an upgrade from the previous release", fourTeams(), Cascade{Shape: Wide, Dependents: 300, UpgradeFrom: ReleaseWithoutDependentRecords}},
		{"deep, during an upgrade from the previous release", oneTeam(), Cascade{Shape: Deep, Dependents: 200, UpgradeFrom: ReleaseWithoutDependentRecords}},
		{"diamonds, the owner is cut off", fourTeams(), Cascade{Shape: Diamonds, Dependents: 300, Fault: OwnerCutOff}},
	} {
		for seed := range seeds(1) {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				s := newTraced(t, Plan{Seed: uint64(seed) + 1, Nodes: 3, Machines: 4, Cascade: &tc.cascade, UpgradeFrom: tc.cascade.UpgradeFrom, Teams: tc.teams, ActiveTime: 90 * sec, RecoveryTime: 300 * sec})
				if most := s.maxDependents(tc.cascade); tc.cascade.Dependents > most {
					t.Fatalf("the cascade has %d dependents, but at most %d can be cancelled in time", tc.cascade.Dependents, most)
				}
				s.Run()
				reportViolations(t, s)
				if least := tc.cascade.Dependents / 3; s.CascadeCancelled < least {
					t.Errorf("%d jobs were cancelled, want at least %d", s.CascadeCancelled, least)
				}
			})
		}
	}
}
