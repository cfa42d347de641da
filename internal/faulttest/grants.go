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
	// grantMachines is how many machines controllers grant from.
	grantMachines = 24
	// lostGrantAnswers is the fraction of the state service's answers that are lost.
	lostGrantAnswers = 0.03
	// grantJobTasks is how many tasks a job has.
	grantJobTasks = 40
	// maxGrantBacklog is how many tasks may wait beyond those that were granted.
	maxGrantBacklog = 20 * grantJobTasks
	// limitRequestTimeout is that of a request to set a limit.
	limitRequestTimeout = time.Second
	// grantsCheckInterval is how often the number of grants is checked without faults.
	grantsCheckInterval = 100 * time.Millisecond
	// backlogCheckInterval is how often the backlog is checked while it is full.
	backlogCheckInterval = 50 * time.Millisecond
)

// GrantsPlan says how controllers are made to grant at once from groups whose limits change.
type GrantsPlan struct {
	Seed   uint64
	Nodes  int
	MinGrants int // that are enough
	// Timeout is how long it may take.
	Timeout time.Duration
	// Faults ends and cuts off controllers, loses answers and changes limits; without,
	// the limit stays.
	Faults bool
}

// GrantsResult is what came about.
type GrantsResult struct {
	Grants, Writes, LimitsSet, Restarts, Cuts int
	Duration                                  time.Duration
	Overshoots                            []string
	EnforcementDelays                             []time.Duration
}

// String returns the figures in a line.
func (r GrantsResult) String() string {
	return fmt.Sprintf("%d grants in %.1f s, %d writes, %d limits set, %d ends, %d cuts, %d overshoots", r.Grants, r.Duration.Seconds(), r.Writes, r.LimitsSet, r.Restarts, r.Cuts, len(r.Overshoots))
}

// Teams returns the teams that the groups of GrantGroups are made of.
func Teams() []string { return []string{"kigali", "rubavu", "karongi"} }

// GrantGroups returns the groups of PlayGrants: all in one limit, two teams in a narrower one.
func GrantGroups() []quota.GroupOptions {
	return []quota.GroupOptions{
		{Name: "all", Teams: []string{"kigali"}, Limit: quota.CPULimit(60)},
		{Name: "lake", Parent: "all", Teams: []string{"rubavu", "karongi"}, Limit: quota.CPULimit(40)},
	}
}

// RunGrants has the controllers of a cluster grant at once until that many tasks were
// started, and checks what was recorded.
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

// runUntilGranted injects faults until there are enough grants, and checks the history.
func (c *Cluster) runUntilGranted(p GrantsPlan) (r GrantsResult) {
	began := time.Now()
	for CountGrants(c.History()) < p.MinGrants && time.Since(began) < p.Timeout {
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

// maintainBacklog submits more work than fits, for as long as it is wanted.
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

// injectGrantFault injects one drawn fault, mostly a change of a limit.
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

// changeLimit sets a group's limit, and sometimes again before the first is in force.
func (c *Cluster) changeLimit(r *GrantsResult) {
	group := GrantGroups()[c.draw(2)]
	for range 1 + c.draw(2) {
		limit := quota.CPULimit(float64(c.draw(int(*group.Limit.CPUs) + 8)))
		if c.SetLimit(c.draw(len(c.nodes)), group.Name, &limit) == nil {
			r.LimitsSet++
		}
	}
}

// SetLimit sets a group's limit at a controller, as the command line does; nil clears it.
func (c *Cluster) SetLimit(node int, group string, limit *quota.Limit) error {
	set := peer.SetLimit{WaitingTasks: group, Clear: limit == nil}
	if limit != nil {
		set.Limit = *limit
	}
	ctx, cancel := context.WithTimeout(c.ctx, limitRequestTimeout)
	defer cancel()
	_, err := admin.RequestQuota(ctx, c.nodes[node].settings.InternalAddr, peer.QuotaRequest{Set: &set})
	return err
}
