package quota

import "testing"

// TestOuterClaimFollowsInnerAllowance checks that an outer group is asked only for tasks that have quota of
// the inner one.
func TestOuterClaimFollowsInnerAllowance(t *testing.T) {
	inner := recordInForce(10, row(0, 0, 0, 1), row(1, 10, 10, 1))
	inner.Parent = outerGroup
	outer := recordInForce(20, row(0, 0, 0, 1), row(1, 10, 10, 1))
	outer.Teams = nil
	h := newHarness(inner, outer)
	uses := h.claims(0, 5)
	wantInner := uses[innerGroup].Want.CPUs
	wantOuter := uses[outerGroup].Want.CPUs
	if wantInner != 5 || wantOuter != 0 {
		t.Errorf("wants %g of the inner group and %g of the outer one", wantInner, wantOuter)
	}
	h.step(UsageReport{Shard: 0, Groups: uses})
	inner.Rows = []Row{row(0, 3, 5, 1), row(1, 7, 7, 1)}
	h.learn(innerGroup, inner, 11)
	if wantOuter := h.claims(0, 5)[outerGroup].Want.CPUs; wantOuter != 3 {
		t.Errorf("wants %g of the outer group with quota for 3 of the inner one", wantOuter)
	}
}
