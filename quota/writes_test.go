package quota

import "testing"

// TestUnknownOutcome guards against granting what a write of unknown outcome may have given up,
// and against losing that amount forever. The record is written again until a newer write
// settles which allowance the shard has.
func TestUnknownOutcome(t *testing.T) {
	h := newHarness(recordInForce(10, row(0, 8, 8, 1), row(1, 2, 2, 1)))
	for range 9 { // long enough for the unused part to be given up
		h.reportUsage(2, 0)
	}
	h.requireWrites(t, "once part of the allowance has been unused for a while", 1)
	h.requireAllowed(t, "while a write that gives up 6 is in flight", 2)

	h.step(WriteResult{ID: h.writes[0].ID, Outcome: Unknown})
	h.reportUsage(2, 6) // the tasks are back, and the known record still allows 8
	h.requireAllowed(t, "while a write that gives up 6 is in doubt", 2)
	h.reportUsage(2, 6)
	h.requireWrites(t, "after a write of unknown outcome", 2)

	h.step(WriteResult{ID: h.writes[1].ID, Outcome: Applied, ModRevision: 11})
	h.requireAllowed(t, "after a newer write", 8)
	h.learn(innerGroup, h.writes[0].Record, 9)
	h.requireAllowed(t, "after an older record", 8)
}
