package authority

import (
	"testing"

	"garnethitch/internal/micros"
)

func TestJobStatusOf(t *testing.T) {
	current := JobsView{Current: true, OwnerEpoch: 20, Revision: 30, CompleteAsOf: now - micros.Second}
	stale := JobsView{Current: false, OwnerEpoch: 20, Revision: 15, CompleteAsOf: now - micros.Second}
	beyondGrace := stale
	beyondGrace.CompleteAsOf = now - testBounds.StaleViewGrace
	for _, tc := range []struct {
		name string
		task TaskKnowledge
		view JobsView
		want JobStatus
	}{
		{"remembered as ended", TaskKnowledge{JobEnded: true, JobOpen: true}, stale, JobEnded},
		{"known as open", TaskKnowledge{JobOpen: true}, current, JobOpen},
		{"started under a claim that the view includes", TaskKnowledge{StartEpoch: 20, SeenAt: now}, current, JobEnded},
		{"started under a later claim, just seen", TaskKnowledge{StartEpoch: 21, SeenAt: now}, current, JobStatusUnknown},
		{"started under a later claim, older than the view", TaskKnowledge{StartEpoch: 21, SeenAt: current.CompleteAsOf - 1}, current, JobEnded},
		{"started under a claim later than the view's revision, within the grace", TaskKnowledge{StartEpoch: 31, SeenAt: now}, current, JobOpen},
		{"stale view, started before it", TaskKnowledge{StartEpoch: 15, SeenAt: now}, stale, JobStatusUnknown},
		{"stale view, started after it, within the grace", TaskKnowledge{StartEpoch: 16, SeenAt: now}, stale, JobOpen},
		{"stale view, started after it, beyond the grace", TaskKnowledge{StartEpoch: 16, SeenAt: now}, beyondGrace, JobStatusUnknown},
		{"stale view, seen only when it was last complete", TaskKnowledge{StartEpoch: 15, SeenAt: stale.CompleteAsOf}, stale, JobStatusUnknown},
		{"stale view, seen before it was last complete", TaskKnowledge{StartEpoch: 15, SeenAt: stale.CompleteAsOf - 1}, stale, JobEnded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.task.Now = now
			if got := JobStatusOf(tc.task, tc.view, testBounds); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}
