package faulttest

import (
	"context"
	"fmt"
	"time"

	"garnethitch/internal/admin"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

const (
	// grantMachines is the number of machines of the cluster.
	grantMachines = 24
	// lostGrantAnswers is the fraction of the answers to transactions that are lost.
	lostGrantAnswers = 0.03
	// grantJobTasks is how many tasks a job has.
	grantJobTasks = 40
	// maxGrantBacklog is how many submitted tasks may wait to be granted.
	maxGrantBacklog = 20 * grantJobTasks
	// limitRequestTimeout is the timeout of a request to set a limit.
	limitRequestTimeout = time.Second
	// grantsCheckInterval is how often the number of grants is checked in a run without faults.
	grantsCheckInterval = 100 * time.Millisecond
	// backlogCheckInterval is how often the backlog is checked while it is full.
	backlogCheckInterval = 50 * time.Millisecond
)

// GrantsPlan configures a run in which several controllers grant tasks concurrently, from quota
// groups whose limits change.
type GrantsPlan struct {
	Seed      uint64
	Nodes     int
	MinGrants int // the run ends after this many
	// MinWrites and MinLimitsSet are further minimums that must be reached before the run ends.
	// Controllers that have just started refuse limits, since they do not know the groups yet.
	MinWrites, MinLimitsSet int
	// Timeout is how long the run may take.
	Timeout time.Duration
	// Faults makes the run restart controllers, cut them off, lose answers and change limits.
	// Without it the limits stay as they are.
	Faults bool
}

// GrantsResult holds the figures of a run and the overshoots that were found.
type GrantsResult struct {
	Grants, Writes, LimitsSet, Restarts, Cuts int
	Duration                                  time.Duration
	Overshoots                                []string
	EnforcementDelays                         []time.Duration
}

// String returns the figures in a line.
func (r GrantsResult) String() string {
	return fmt.Sprintf("%d grants in %.1f s, %d writes, %d limits set, %d restarts, %d cuts, %d overshoots", r.Grants, r.Duration.Seconds(), r.Writes, r.LimitsSet, r.Restarts, r.Cuts, len(r.Overshoots))
}

// Teams returns the teams of the groups that GrantGroups returns.
func Teams() []string { return []string{"kigali", "rubavu", "karongi"} }

// GrantGroups returns the quota groups of RunGrants: all teams share one limit, and two of them
// also share a lower one.
func GrantGroups() []quota.GroupOptions {
	return []quota.GroupOptions{
		{Name: "all", Teams: []string{"kigali"}, Limit: quota.CPULimit(60)},
		{Name: "lake", Parent: "all", Teams: []string{"rubavu", "karongi"}, Limit: quota.CPULimit(40)},
	}
}

// RunGrants lets the controllers of a cluster grant tasks concurrently until MinGrants tasks were
// started or the timeout has passed, and checks the recorded history.
func RunGrants(p GrantsPlan) (GrantsResult, error) {
	plan := ClusterPlan{Seed: p.Seed, Nodes: p.Nodes, Machines: grantMachines, Teams: Teams(), Groups: GrantGroups()}
	if p.Faults {
		plan.LostAnswerFraction = lostGrantAnswers
	}
	c, err := NewCluster(plan)
	if err != nil {
		return GrantsResult{}, err
	}
	defer c.Close()
	submitted := make(chan error, 1)
	go func() { submitted <- c.maintainBacklog(p.MinGrants) }()
	result := c.runUntilGranted(p)
	c.stop()
	<-submitted
	return result, nil
}

// enough reports whether the minimums of the plan are reached.
func (p GrantsPlan) enough(history []HistoryEvent, limitsSet int) bool {
	return CountGrants(history) >= p.MinGrants && CountQuotaWrites(history) >= p.MinWrites && limitsSet >= p.MinLimitsSet
}

// runUntilGranted injects faults until the minimums of the plan are reached or the timeout has
// passed, and checks the history.
func (c *Cluster) runUntilGranted(p GrantsPlan) (r GrantsResult) {
	began := time.Now()
	for !p.enough(c.History(), r.LimitsSet) && time.Since(began) < p.Timeout {
		if !p.Faults {
			c.pause(grantsCheckInterval)
			continue
		}
		c.pause(time.Duration(200+c.draw(500)) * time.Millisecond)
		c.injectGrantFault(&r)
	}
	r.Duration = time.Since(began)
	history := c.History()
	r.Grants = CountGrants(history)
	r.Writes = CountQuotaWrites(history)
	r.Overshoots = Overshoots(history, c.plan.Groups)
	r.EnforcementDelays = EnforcementDelays(history)
	return r
}

// maintainBacklog submits jobs ahead of the grants, so that tasks are always waiting, until twice
// the given number of tasks are submitted or the cluster stops.
func (c *Cluster) maintainBacklog(grants int) error {
	for submitted := 0; submitted < 2*grants; submitted += grantJobTasks {
		if err := c.Submit(grantJobTasks); err != nil {
			return err
		}
		for submitted > CountGrants(c.History())+maxGrantBacklog {
			if !c.pause(backlogCheckInterval) {
				return nil
			}
		}
	}
	return nil
}

// injectGrantFault injects one random fault, in most cases a change of a limit.
func (c *Cluster) injectGrantFault(r *GrantsResult) {
	node := c.draw(len(c.nodes))
	switch c.draw(10) {
	case 0:
		c.Restart(node, time.Duration(c.draw(1500))*time.Millisecond)
		r.Restarts++
	case 1:
		c.CutFromState(node, time.Duration(200+c.draw(2000))*time.Millisecond)
		r.Cuts++
	default:
		c.changeLimit(r)
	}
}

// changeLimit sets a group's limit, and sometimes sets it again before the first one is in force.
func (c *Cluster) changeLimit(r *GrantsResult) {
	group := GrantGroups()[c.draw(2)]
	for range 1 + c.draw(2) {
		limit := quota.CPULimit(float64(c.draw(int(*group.Limit.CPUs) + 8)))
		if c.SetLimit(c.draw(len(c.nodes)), group.Name, &limit) == nil {
			r.LimitsSet++
		}
	}
}

// SetLimit sets a group's limit through a controller, as the command line does. A nil limit clears
// it.
func (c *Cluster) SetLimit(node int, group string, limit *quota.Limit) error {
	set := peer.SetLimit{Group: group, Clear: limit == nil}
	if limit != nil {
		set.Limit = *limit
	}
	ctx, cancel := context.WithTimeout(c.ctx, limitRequestTimeout)
	defer cancel()
	_, err := admin.RequestQuota(ctx, c.nodes[node].settings.InternalAddr, peer.QuotaRequest{Set: &set})
	return err
}
