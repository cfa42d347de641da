package quota

import "testing"

// TestOuterClaimFollowsInnerAllowance guards against a deadlock of two owners, one with quota of
// the inner group and the other with quota of the outer group. A shard claims quota of the outer
// group only for tasks for which it has quota of the inner group.
func TestOuterClaimFollowsInnerAllowance(t *testing.T) {
	inner := recordInForce(10, row(0, 0, 0, 1), row(1, 10, 10, 1))
	inner.Parent = outerGroup
	outer := recordInForce(20, row(0, 0, 0, 1), row(1, 10, 10, 1))
	outer.Teams = nil
	h := newHarness(inner, outer)
	usages := h.claims(0, 5)
	wantInner := usages[innerGroup].Want.CPUs
	wantOuter := usages[outerGroup].Want.CPUs
	if wantInner != 5 || wantOuter != 0 {
		t.Errorf("without inner quota, wants %g CPUs of the inner group and %g of the outer group, want 5 and 0", wantInner, wantOuter)
	}
	h.step(UsageReport{Shard: 0, Groups: usages})
	inner.Rows = []Row{row(0, 3, 5, 1), row(1, 7, 7, 1)}
	h.learn(innerGroup, inner, 11)
	if wantOuter := h.claims(0, 5)[outerGroup].Want.CPUs; wantOuter != 3 {
		t.Errorf("with quota of the inner group for 3 CPUs, wants %g of the outer group, want 3", wantOuter)
	}
}
