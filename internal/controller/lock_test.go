package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestLockOwner checks that a lock counts as owned only by the process with the same label and
// incarnation, and that a former process of the same node is recognized.
func TestLockOwner(t *testing.T) {
	self := wire.OwnerRecord{Label: "n-0", Incarnation: 7}
	for _, tc := range []struct {
		name       string
		lock       lock
		self       wire.OwnerRecord
		wantOwned  bool
		wantFormer bool
	}{
		{"not held", lock{}, self, false, false},
		{"this process", lock{owner: self, ownerEpoch: 3}, self, true, false},
		{"released, the owner record still in memory", lock{owner: self}, self, false, false},
		{"a former process of this node", lock{owner: wire.OwnerRecord{Label: "n-0", Incarnation: 6}, ownerEpoch: 3}, self, false, true},
		{"another node", lock{owner: wire.OwnerRecord{Label: "n-1", Incarnation: 7}, ownerEpoch: 3}, self, false, false},
		{"this node without a lease", lock{owner: wire.OwnerRecord{Label: "n-0"}, ownerEpoch: 3}, wire.OwnerRecord{Label: "n-0"}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.lock.ownedBy(tc.self); got != tc.wantOwned {
				t.Errorf("owned: %v, want %v", got, tc.wantOwned)
			}
			if got := tc.lock.ownedByFormerProcess(tc.self); got != tc.wantFormer {
				t.Errorf("owned by a former process: %v, want %v", got, tc.wantFormer)
			}
		})
	}
}

// TestLockReleaseDue checks that a release is sent once per claim, and again only after a failure
// and the retry delay.
func TestLockReleaseDue(t *testing.T) {
	for _, tc := range []struct {
		name string
		lock lock
		want bool
	}{
		{"nothing sent", lock{ownerEpoch: 3}, true},
		{"in flight", lock{ownerEpoch: 3, releasingEpoch: 3}, false},
		{"of an earlier claim in flight", lock{ownerEpoch: 3, releasingEpoch: 2}, true},
		{"failed, before the retry", lock{ownerEpoch: 3, releaseRetryAt: 10*sec + 1}, false},
		{"failed, at the retry", lock{ownerEpoch: 3, releaseRetryAt: 10 * sec}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.lock.releaseDue(10 * sec); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestLockTransactions checks that a claim and a release apply only if the key is unchanged since
// it was seen.
func TestLockTransactions(t *testing.T) {
	l := lock{key: ownerKey(2), ownerEpoch: 3}
	for _, tc := range []struct {
		name string
		txn  wire.Txn
		want wire.Change
	}{
		{"claim", l.claimTxn([]byte("owner"), 7), wire.Change{Put: ownerKey(2), Value: []byte("owner"), Lease: 7}},
		{"release", l.releaseTxn(), wire.Change{Delete: ownerKey(2)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if len(tc.txn.Conditions) != 1 || tc.txn.Conditions[0] != (wire.Condition{Key: ownerKey(2), ModRevision: 3}) {
				t.Errorf("conditions %+v", tc.txn.Conditions)
			}
			if len(tc.txn.Changes) != 1 {
				t.Fatalf("changes %+v", tc.txn.Changes)
			}
			got := tc.txn.Changes[0]
			if got.Put != tc.want.Put || string(got.Value) != string(tc.want.Value) || got.Lease != tc.want.Lease || got.Delete != tc.want.Delete {
				t.Errorf("change %+v, want %+v", got, tc.want)
			}
		})
	}
}
