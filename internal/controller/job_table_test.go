package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"garnethitch/internal/wire"
)

// TestFinalJobsForgetOldest checks that finalJobs keeps the most recently ended jobs, up to its
// limit.
func TestFinalJobsForgetOldest(t *testing.T) {
	for _, tc := range []struct {
		name  string
		added int
		want  []string
	}{
		{"none", 0, nil},
		{"fewer than the limit", 2, []string{"0", "1"}},
		{"as many as the limit", 3, []string{"0", "1", "2"}},
		{"one more", 4, []string{"1", "2", "3"}},
		{"several times the limit", 11, []string{"10", "8", "9"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := finalJobs{limit: 3, byID: map[string]finalJob{}}
			for i := range tc.added {
				f.add(fmt.Sprint(i), finalJob{state: wire.StateDone})
			}
			if got := slices.Sorted(maps.Keys(f.byID)); !slices.Equal(got, tc.want) {
				t.Errorf("finalJobs holds %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRecordFinal checks that a record overrides what another controller said about a job's end, and
// that nothing overrides a record.
func TestRecordFinal(t *testing.T) {
	recorded := finalJob{state: wire.StateDone, tasks: 2, recorded: true, endMS: 7}
	byPeer := finalJob{state: wire.StateDone}
	broadcast := finalJob{state: wire.StateCancelled, broadcast: true}
	for _, tc := range []struct {
		name   string
		before *finalJob
		add    finalJob
		isNew  bool
		want   finalJob
	}{
		{"not known, recorded", nil, recorded, true, recorded},
		{"not known, by another controller", nil, byPeer, true, byPeer},
		{"by another controller, then recorded", &byPeer, recorded, true, recorded},
		{"by another controller twice", &byPeer, byPeer, false, byPeer},
		{"recorded, then by another controller", &recorded, byPeer, false, recorded},
		{"recorded twice", &recorded, recorded, false, recorded},
		{"broadcast, then recorded", &broadcast, finalJob{state: wire.StateCancelled, recorded: true}, true,
			finalJob{state: wire.StateCancelled, recorded: true, broadcast: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table jobTable
			table.init(10)
			if tc.before != nil {
				table.recordFinal("job-000001", *tc.before)
			}
			if got := table.recordFinal("job-000001", tc.add); got != tc.isNew {
				t.Errorf("recordFinal returned %v, want %v", got, tc.isNew)
			}
			if got, _ := table.final("job-000001"); got != tc.want {
				t.Errorf("the table holds %+v, want %+v", got, tc.want)
			}
		})
	}
}
