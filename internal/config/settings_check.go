package config

import (
	"fmt"
	"slices"
)

const (
	maxControllers = 64
	minTxnOps      = 2
	// With less than these resources a controller fails to start or takes minutes to start.
	minCoreShare = 0.001
	minRAMMB     = 24
	minSockets   = 128
)

// check returns a *FieldError for the first field with an invalid value. It also sorts the
// zones and removes duplicates.
func (s *Settings) check(file string) error {
	c := &checker{file: file}
	s.checkAddresses(c)
	s.Cluster.check(c, len(s.Seeds))
	return c.err
}

func (s *Settings) checkAddresses(c *checker) {
	c.require(s.Label != "", "label", `""`, "a name")
	c.requireAddress("serve_on", s.ServeOn)
	c.requireAddress("internal_addr", s.InternalAddr)
	labels := map[string]bool{s.Label: true}
	for i, seed := range s.Seeds {
		prefix := fmt.Sprintf("seeds[%d].", i)
		c.requireUnique(prefix+"label", seed.Label, labels)
		c.requireAddress(prefix+"address", seed.Address)
	}
	c.requireAddress("endpoints.cloud", s.Endpoints.Cloud)
	c.requireAddress("endpoints.state", s.Endpoints.State)
}

func (cl *Cluster) check(c *checker, seeds int) {
	c.require(cl.Nodes >= 1 && cl.Nodes <= maxControllers, "cluster.nodes", cl.Nodes, fmt.Sprintf("1 to %d", maxControllers))
	c.require(seeds < cl.Nodes || cl.Nodes < 1, "cluster.nodes", cl.Nodes, "more than the number of seeds")
	slices.Sort(cl.Zones)
	cl.Zones = slices.Compact(cl.Zones)
	c.requireNotNegative("cluster.clock_error_ms", cl.ClockErrorMS)
	checkTeams(c, cl.Teams)
	for i, objective := range cl.Objectives {
		c.requireNotNegative(fmt.Sprintf("cluster.objectives[%d].within_s", i), objective.WithinS)
	}
	c.requirePositive("cluster.workers.report_s", cl.Workers.ReportS)
	c.requirePositive("cluster.workers.lease_s", cl.Workers.LeaseS)
	c.requirePositive("cluster.workers.cancel_s", cl.Workers.CancelS)
	cl.State.check(c)
	c.requirePositive("cluster.cloud.rps", cl.Cloud.RPS)
	c.requireNotNegative("cluster.cloud.list_lag_s", cl.Cloud.ListLagS)
	cl.Resources.check(c)
}

func checkTeams(c *checker, teams []Team) {
	c.require(len(teams) > 0, "cluster.teams", "[]", "at least one team")
	names := map[string]bool{}
	for i, team := range teams {
		prefix := fmt.Sprintf("cluster.teams[%d].", i)
		c.requireUnique(prefix+"name", team.Name, names)
		c.requireNotNegative(prefix+"cpus", team.CPUs)
		c.requireNotNegative(prefix+"cpus_max", team.CPUsMax)
		c.requireNotNegative(prefix+"gpus", team.GPUs)
		c.requireNotNegative(prefix+"gpus_max", team.GPUsMax)
	}
}

func (l StateLimits) check(c *checker) {
	c.requirePositive("cluster.state.rps", l.RPS)
	c.requirePositive("cluster.state.write_rps", l.WriteRPS)
	c.requirePositive("cluster.state.value_kb", l.ValueKB)
	c.require(l.TxnOps >= minTxnOps, "cluster.state.txn_ops", l.TxnOps, fmt.Sprintf("at least %d", minTxnOps))
	if l.Next == nil {
		return
	}
	next := *l.Next
	c.requireNotNegative("cluster.state.next.rps", next.RPS)
	c.requireNotNegative("cluster.state.next.write_rps", next.WriteRPS)
	c.requireNotNegative("cluster.state.next.value_kb", next.ValueKB)
	c.require(next.TxnOps == 0 || next.TxnOps >= minTxnOps, "cluster.state.next.txn_ops", next.TxnOps, fmt.Sprintf("at least %d", minTxnOps))
}

func (r Resources) check(c *checker) {
	c.require(r.CoreShare >= minCoreShare, "cluster.resources.core_share", r.CoreShare, fmt.Sprintf("at least %v", minCoreShare))
	c.require(r.RAMMB >= minRAMMB, "cluster.resources.ram_mb", r.RAMMB, fmt.Sprintf("at least %d", minRAMMB))
	c.require(r.Sockets >= minSockets, "cluster.resources.sockets", r.Sockets, fmt.Sprintf("at least %d", minSockets))
}
