package controller

import "garnethitch/internal/micros"

// machine is a machine on record.
type machine struct {
	id        string
	rec       machineRecord
	recordSet *machineRecordSet
	// agentEpoch is the last one that the machine showed to this node, under any lock: the
	// first command to it names it, though it may be out of date.
	agentEpoch uint64
	// returned is set if the cloud has confirmed its return, so it never comes back.
	returned bool
	view     *machineView // nil unless this node owns its shard
}

// machineRecord is what the records say of a machine.
type machineRecord struct {
	Shard            int
	Cordoned         bool
	Addr, Type, Zone string
	Spot             bool
}

// machineView is what the owner of a machine's shard knows of it.
type machineView struct {
	reconciliationView
	contactView
	healthView
	commandView
	releaseView
	attemptView

	images         map[string]bool
	nextPrefetchAt micros.Micros // no image is prefetched before
	lastBusyAt     micros.Micros // when it last had something on it
	reclaimAt      micros.Micros // when the cloud takes the machine away; 0: no notice
}

// newMachineView returns the view of a machine of which no heartbeat has come yet.
func (sc *stepContext) newMachineView() *machineView {
	return &machineView{
		contactView:        contactView{lastHeartbeatAt: -micros.Never, lastReplyAt: -micros.Never, observedSince: sc.now},
		reconciliationView: reconciliationView{reconciledAt: -micros.Never},
		attemptView:        attemptView{attempts: map[attemptKey]*attempt{}, usageStale: true},
		healthView:         healthView{failuresByJob: map[string]int{}},
		images:             map[string]bool{},
		lastBusyAt:         sc.now,
	}
}

// setView sets what this node knows of a machine; nil ends its ownership.
func (o *ownershipState) setView(m *machine, v *machineView) {
	if m.view != nil {
		m.view.usageStale = true // so that it is not put on the list of changes again
	}
	m.view = v
	s := o.shards[m.rec.Shard]
	s.recountAll = true
}

// fencingToken returns the token under which this node commands a machine of its shard.
func (c *Controller) fencingToken(s *shard, m *machine) uint64 {
	return max(s.ownerEpoch, m.recordSet.modRevision)
}
