package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file holds the rolling upgrade of Plan.UpgradeFrom. At first the controllers write and read
// messages and records as the older release does; they are upgraded to the current release one by
// one.

// The state service lowers its limits to these values during the run. Controllers of newer releases
// keep to them from the start.
const (
	loweredValueBytes = 2 << 10
	loweredTxnOps     = 4
	loweredWriteRate  = 60.0
)

// upgradeInterval is the time between the upgrades of two controllers.
const upgradeInterval = 7 * sec

// upgradeStart returns when the first controller is upgraded. With a cascade this is a few seconds
// after cascadeSubmittedBy, so that the upgrade overlaps the cancellation if all jobs are accepted
// by then.
func (s *Simulation) upgradeStart() micros.Micros {
	if s.plan.Cascade != nil {
		return 24 * sec
	}
	return 10 * sec
}

// upgradeEnd returns the approximate time at which all controllers run the current release. Crashes
// during the upgrade may delay it.
func (s *Simulation) upgradeEnd() micros.Micros {
	return s.upgradeStart() + 2*sec + micros.Micros(len(s.nodes))*upgradeInterval
}

// scheduleUpgrade schedules the upgrades of the controllers one by one in random order, and the
// lowering of the state service's limits. With some seeds the first two controllers are upgraded at
// once. With Plan.Rollback the controllers return to the older release later, in the same order.
func (s *Simulation) scheduleUpgrade() {
	order := s.rng.Perm(len(s.nodes))
	for _, n := range s.nodes {
		n.release = s.plan.UpgradeFrom
	}
	for i, k := range order {
		n := s.nodes[k]
		twoAtOnce := s.plan.Seed%4 == 0
		if i == 1 && twoAtOnce {
			i = 0
		}
		delay := micros.Micros(i) * upgradeInterval
		s.after(s.upgradeStart()+delay, func() { n.upgradeTo(ReleaseCurrent) })
		if s.plan.Rollback {
			s.after(s.plan.ActiveTime*2/3+delay, func() { n.upgradeTo(s.plan.UpgradeFrom) })
		}
	}
	// The limits are lowered while controllers of the old release run, or later.
	s.after(s.between(12*sec, s.upgradeEnd()+30*sec), s.lowerLimits)
}

// upgradeTo restarts a controller with another release.
func (n *node) upgradeTo(release Release) {
	n.release = release
	if n.controller == nil {
		return
	}
	version := "the old release"
	if release == ReleaseCurrent {
		version = "the current release"
	}
	n.sim.trace("%s is restarted with %s", n.label, version)
	n.crash(n.sim.between(200*ms, 4*sec))
}

// config returns the settings of the controller.
func (n *node) config() controller.Config { return n.sim.settingsFor(n.release) }

// settingsFor returns the settings of a controller of the given release. ReleaseWithoutDependencies
// does not know the lowered limits, and only the current release knows groups.
func (s *Simulation) settingsFor(release Release) controller.Config {
	cfg := s.cfg
	limitsLowered := s.plan.UpgradeFrom != ReleaseCurrent || s.plan.Cascade != nil
	if limitsLowered && release != ReleaseWithoutDependencies {
		cfg.ValueBytes = loweredValueBytes
		cfg.TxnOps = loweredTxnOps
		cfg.WriteRPS = loweredWriteRate
	}
	if release != ReleaseCurrent {
		cfg.Quota = nil
	}
	return cfg
}

// checkLimits checks that a transaction of the controller keeps to the limits of the state service
// that the controller knows.
func (n *node) checkLimits(txn wire.Txn) {
	cfg := n.config()
	if txn.Writes() > cfg.TxnOps || len(txn.Conditions) > 4*cfg.TxnOps {
		n.sim.violated("%s exceeds the limits of a transaction with %d changes and %d conditions", n.label, txn.Writes(), len(txn.Conditions))
	}
	for _, change := range txn.Changes {
		if change.Put != "" && wire.StoredSize(change.Value, cfg.ValueBytes) > cfg.ValueBytes {
			n.sim.violated("%s exceeds the limit of a value with %d bytes for key %s", n.label, len(change.Value), change.Put)
		}
	}
}
