package controller

import "garnethitch/internal/micros"

// machine is a machine that is in a record set of the state service.
type machine struct {
	id        string
	rec       machineRecord
	recordSet *machineRecordSet
	// agentEpoch is the last agent epoch that the machine showed to this node, whether or not
	// this node owned its shard then. The first command to the machine names this epoch, even if
	// it is out of date.
	agentEpoch uint64
	// returned is set once the cloud has confirmed the machine's return: it never comes back.
	returned   bool
	returnedAt micros.Micros // when this node learned that
	view       *machineView  // nil unless this node owns its shard
}

// machineRecord holds the attributes of a machine as its record set has them. The address may
// come from a heartbeat or from the cloud's list.
type machineRecord struct {
	Shard            int
	Cordoned         bool
	Addr, Type, Zone string
	Spot             bool
}

// machineView is what the owner of a machine's shard knows of the machine beyond its record.
type machineView struct {
	reconciliationView
	contactView
	healthView
	commandView
	releaseView
	attemptView

	images         map[string]bool // the images in the machine's cache
	nextPrefetchAt micros.Micros   // no image is prefetched before this time
	lastBusyAt     micros.Micros   // when an attempt was last on the machine
	reclaimAt      micros.Micros   // when the cloud reclaims the machine; 0: no notice
}

// newMachineView returns the view of a machine that has not sent a heartbeat to this owner yet.
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

// setView sets the view of a machine. A nil view means that this node does not own the machine's
// shard any more, or that the machine is cordoned or gone.
func (o *ownershipState) setView(m *machine, v *machineView) {
	if m.view != nil {
		m.view.usageStale = true // keeps markDirty from listing the machine again
	}
	m.view = v
	s := o.shards[m.rec.Shard]
	s.recountAll = true
}

// fencingToken returns the fencing token under which this node, the owner of shard s, commands
// machine m. It rises with each claim of the shard and each write of the machine's record set.
func (c *Controller) fencingToken(s *shard, m *machine) uint64 {
	return max(s.ownerEpoch, m.recordSet.modRevision)
}
