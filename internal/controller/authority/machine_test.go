package authority

import (
	"testing"

	"garnethitch/internal/micros"
)

func TestMayAcceptHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(m *MachineKnowledge, heartbeat *HeartbeatKnowledge)
		want   Decision
	}{
		{"a new heartbeat", func(*MachineKnowledge, *HeartbeatKnowledge) {}, Allow(ReasonCurrentView)},
		{"the first heartbeat", func(m *MachineKnowledge, _ *HeartbeatKnowledge) {
			m.PositionKnown, m.LastPosition = false, HeartbeatPosition{}
		}, Allow(ReasonCurrentView)},
		{"a stale view of jobs within its grace", func(m *MachineKnowledge, _ *HeartbeatKnowledge) { m.Shard = Allow(ReasonStaleViewWithinGrace) }, Allow(ReasonStaleViewWithinGrace)},
		{"the shard may not be commanded", func(m *MachineKnowledge, _ *HeartbeatKnowledge) { m.Shard = Refuse(ReasonReleasing) }, Refuse(ReasonReleasing)},
		{"cordoned, in a shard that may not be commanded", func(m *MachineKnowledge, _ *HeartbeatKnowledge) {
			m.Cordoned, m.Shard = true, Refuse(ReasonNotOwner)
		}, Refuse(ReasonCordoned)},
		{"not tracked by this node yet", func(m *MachineKnowledge, _ *HeartbeatKnowledge) { m.Tracked = false }, Refuse(ReasonNotOwner)},
		{"returned to the cloud", func(m *MachineKnowledge, _ *HeartbeatKnowledge) { m.Returned = true }, Refuse(ReasonReturned)},
		{"a copy of the last heartbeat", func(_ *MachineKnowledge, heartbeat *HeartbeatKnowledge) { heartbeat.Position.Sequence = 5 }, Refuse(ReasonStaleHeartbeat)},
		{"from an earlier agent epoch", func(_ *MachineKnowledge, heartbeat *HeartbeatKnowledge) {
			heartbeat.Position = HeartbeatPosition{AgentEpoch: 1, Sequence: 99}
		}, Refuse(ReasonStaleHeartbeat)},
		{"from a later agent epoch", func(_ *MachineKnowledge, heartbeat *HeartbeatKnowledge) {
			heartbeat.Position = HeartbeatPosition{AgentEpoch: 3, Sequence: 1}
		}, Allow(ReasonCurrentView)},
		{"a lower fencing token", func(_ *MachineKnowledge, heartbeat *HeartbeatKnowledge) { heartbeat.FencingToken-- }, Allow(ReasonCurrentView)},
		{"another owner's fencing token", func(_ *MachineKnowledge, heartbeat *HeartbeatKnowledge) { heartbeat.FencingToken++ }, Refuse(ReasonHigherFencingToken)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			known := MachineKnowledge{
				Shard:         Allow(ReasonCurrentView),
				Tracked:       true,
				PositionKnown: true,
				LastPosition:  HeartbeatPosition{AgentEpoch: 2, Sequence: 5},
				FencingToken:  40,
			}
			heartbeat := HeartbeatKnowledge{Position: HeartbeatPosition{AgentEpoch: 2, Sequence: 6}, FencingToken: 40}
			tc.change(&known, &heartbeat)
			if got := MayAcceptHeartbeat(known, heartbeat); got != tc.want {
				t.Errorf("got %+v (%s), want %+v (%s)", got, got.Reason, tc.want, tc.want.Reason)
			}
		})
	}
}

func TestMayRenewMachineLease(t *testing.T) {
	for _, tc := range []struct {
		name  string
		known RenewalKnowledge
		want  Decision
	}{
		{"no reason to refuse", RenewalKnowledge{}, Allow(ReasonHeartbeatAccepted)},
		{"a task of an unknown job", RenewalKnowledge{UnknownJob: true}, Refuse(ReasonUnknownJob)},
		{"a late start", RenewalKnowledge{LateStart: true}, Refuse(ReasonLateStart)},
		{"replies do not arrive", RenewalKnowledge{Unreachable: true}, Refuse(ReasonUnreachable)},
		{"all reasons: the unknown job comes first", RenewalKnowledge{UnknownJob: true, LateStart: true, Unreachable: true}, Refuse(ReasonUnknownJob)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := MayRenewMachineLease(tc.known); got != tc.want {
				t.Errorf("got %+v (%s), want %+v (%s)", got, got.Reason, tc.want, tc.want.Reason)
			}
		})
	}
}

func TestMayFreeMachine(t *testing.T) {
	const expired = now - 45*micros.Second // testBounds.WorkerExpiry ago
	for _, tc := range []struct {
		name   string
		change func(k *MachineTasksKnowledge)
		want   bool
	}{
		{"the lease has expired", func(*MachineTasksKnowledge) {}, true},
		{"answered within WorkerExpiry", func(k *MachineTasksKnowledge) { k.LastReplyAt = expired + 1 }, false},
		{"reconciled within WorkerExpiry", func(k *MachineTasksKnowledge) { k.ReconciledAt = expired + 1 }, false},
		{"the wait after the claim does not apply to a reconciled machine", func(k *MachineTasksKnowledge) { k.MachinesFreeAt = now + 1 }, true},
		{"not reconciled, the wait after the claim is over", func(k *MachineTasksKnowledge) { k.Reconciled = false }, true},
		{"not reconciled, the wait after the claim is not over", func(k *MachineTasksKnowledge) {
			k.Reconciled = false
			k.MachinesFreeAt = now + 1
		}, false},
		{"not reconciled, answered within WorkerExpiry", func(k *MachineTasksKnowledge) {
			k.Reconciled = false
			k.LastReplyAt = expired + 1
		}, false},
		{"no longer reconciled, but reconciled within WorkerExpiry", func(k *MachineTasksKnowledge) {
			k.Reconciled = false
			k.ReconciledAt = expired + 1
		}, false},
		{"already known to be free", func(k *MachineTasksKnowledge) { k.LeaseExpired = true }, false},
		{"this node's lease is not valid", func(k *MachineTasksKnowledge) { k.LeaseValid = false }, false},
		{"no heartbeat, and no tasks of a predecessor", func(k *MachineTasksKnowledge) { k.HeartbeatSeen = false }, false},
		{"no heartbeat, but tasks of a predecessor may be on it", func(k *MachineTasksKnowledge) {
			k.HeartbeatSeen = false
			k.UnreconciledFromPredecessor = true
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			known := MachineTasksKnowledge{
				LeaseValid:     true,
				Reconciled:     true,
				ReconciledAt:   expired,
				HeartbeatSeen:  true,
				LastReplyAt:    expired,
				MachinesFreeAt: now,
				Now:            now,
			}
			tc.change(&known)
			if got := MayFreeMachine(known, testBounds); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestMayReleaseMachine(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		change               func(k *ReleaseKnowledge)
		wantMove, wantReturn bool // moved to another shard, returned to the cloud
	}{
		{"empty and in contact", func(*ReleaseKnowledge) {}, true, true},
		{"tasks on it", func(k *ReleaseKnowledge) { k.Empty = false }, false, false},
		{"a command pending", func(k *ReleaseKnowledge) { k.CommandPending = true }, false, false},
		{"being released", func(k *ReleaseKnowledge) { k.Releasing = true }, false, false},
		{"not reconciled", func(k *ReleaseKnowledge) { k.Reconciled = false }, false, false},
		{"its lease has expired", func(k *ReleaseKnowledge) { k.Reconciled, k.LeaseExpired = false, true }, false, true},
		{"no heartbeat yet", func(k *ReleaseKnowledge) { k.HeartbeatSeen = false }, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			known := ReleaseKnowledge{Reconciled: true, HeartbeatSeen: true, Empty: true}
			tc.change(&known)
			if got := MayReleaseMachine(known); got != tc.wantMove {
				t.Errorf("to another shard: %v, want %v", got, tc.wantMove)
			}
			known.ReturnToCloud = true
			if got := MayReleaseMachine(known); got != tc.wantReturn {
				t.Errorf("to the cloud: %v, want %v", got, tc.wantReturn)
			}
		})
	}
}
