package quota

import "testing"

// TestUnknownOutcome checks that what a write of unknown outcome gives up is not granted, and not
// lost for ever either: the record is written again until the outcome is known.
func TestUnknownOutcome(t *testing.T) {
	h := newHarness(recordInForce(10, row(0, 8, 8, 1), row(1, 2, 2, 1)))
	for range 9 { // until what is unused is given up
		h.reportUsage(2, 0)
	}
	h.requireWrites(t, "once part has been unused", 1)
	h.requireAllowed(t, "while a write gives up 6", 2)

	h.step(WriteResult{ID: h.writes[0].ID, Outcome: Unknown})
	h.reportUsage(2, 6) // wanted again, and the record still says 8
	h.requireAllowed(t, "while a write that gives up 6 is in doubt", 2)
	h.reportUsage(2, 6)
	h.requireWrites(t, "after a write of unknown outcome", 2)

	h.step(WriteResult{ID: h.writes[1].ID, Outcome: Applied, ModRevision: 11})
	h.requireAllowed(t, "after a newer write", 8)
	h.learn(innerGroup, h.writes[0].Record, 9)
	h.requireAllowed(t, "after an older record", 8)
}
