package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A rolling upgrade from an older version: controllers that behave as it does in all that they
// write and read are replaced one by one.

// The lowered limits are those that the state service will have; current controllers keep to
// them from the start.
const (
	loweredValueBytes = 2 << 10
	loweredTxnOps     = 4
	loweredWriteRate  = 60.0
)

// upgradeInterval is how long after one controller the next is replaced.
const upgradeInterval = 7 * sec

// upgradeStart returns when the first controller is replaced; in a cascade just before its
// cancellation.
func (s *Simulation) upgradeStart() micros.Micros {
	if s.plan.Cascade != nil {
		return 24 * sec
	}
	return 10 * sec
}

// upgradeEnd returns about when all controllers have the current version; crashes during the
// upgrade may delay that.
func (s *Simulation) upgradeEnd() micros.Micros {
	return s.upgradeStart() + 2*sec + micros.Micros(len(s.nodes))*upgradeInterval
}

// scheduleUpgrade replaces the controllers one by one, in an order that the seed draws, and
// lowers the state service's limits some time later.
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
	s.after(s.between(12*sec, s.upgradeEnd()+30*sec), s.lowerLimits) // while old controllers run, or later
}

// upgradeTo ends a controller, to start again as another version.
func (n *node) upgradeTo(release Release) {
	n.release = release
	if n.controller == nil {
		return
	}
	version := "the old version back"
	if release == ReleaseCurrent {
		version = "the new version"
	}
	n.sim.trace("%s gets %s", n.label, version)
	n.crash(n.sim.between(200*ms, 4*sec))
}

// config returns the settings of a controller.
func (n *node) config() controller.Config { return n.sim.settingsFor(n.release) }

// settingsFor returns the settings as a version takes them: the oldest one doesn't know the
// limits to come.
func (s *Simulation) settingsFor(release Release) controller.Config {
	cfg := s.cfg
	changesToCome := s.plan.UpgradeFrom != ReleaseCurrent || s.plan.Cascade != nil
	if changesToCome && release != ReleaseWithoutDependencies {
		cfg.ValueBytes = loweredValueBytes
		cfg.TxnOps = loweredTxnOps
		cfg.WriteRPS = loweredWriteRate
	}
	if release != ReleaseCurrent {
		cfg.Quota = nil
	}
	return cfg
}

// checkLimits checks that a controller writes nothing that the limits which it knows would refuse.
func (n *node) checkLimits(txn wire.Txn) {
	cfg := n.config()
	if txn.Writes() > cfg.TxnOps || len(txn.Conditions) > 4*cfg.TxnOps {
		n.sim.violated("%s sends %d changes and %d conditions in a transaction", n.label, txn.Writes(), len(txn.Conditions))
	}
	for _, change := range txn.Changes {
		if change.Put != "" && wire.StoredSize(change.Value, cfg.ValueBytes) > cfg.ValueBytes {
			n.sim.violated("%s writes a value of %d bytes to %s", n.label, len(change.Value), change.Put)
		}
	}
}
