package faulttest

import (
	"context"
	"fmt"
	"time"

	"garnethitch/internal/admin"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// GrantsPlan says how controllers are made to grant at once from groups whose limits change.
type GrantsPlan struct {
	Seed   uint64
	Nodes  int
	Grants int // enough
	// Most is how long it may take.
	Most time.Duration
	// Faults ends and cuts off controllers, loses answers and changes limits; without,
	// the limit stays.
	Faults bool
}

// GrantsResult is what came about.
type GrantsResult struct {
	Grants, Writes, LimitsSet, Ends, Cuts int
	Took                                  time.Duration
	Overshoots                            []string
	ToInForce                             []time.Duration
}

// GrantGroups are the groups of PlayGrants: all in one limit, two teams in a narrower one.
func GrantGroups() []quota.GroupOptions {
	return []quota.GroupOptions{
		{Name: "all", Teams: []string{"kigali"}, Limit: quota.CPULimit(60)},
		{Name: "lake", Parent: "all", Teams: []string{"rubavu", "karongi"}, Limit: quota.CPULimit(40)},
	}
}

// PlayGrants has the controllers of a cluster grant at once until that many tasks were
// started, and checks what was recorded.
func PlayGrants(p GrantsPlan) (GrantsResult, error) {
	plan := ClusterPlan{Seed: p.Seed, Nodes: p.Nodes, Machines: 24, Teams: []string{"kigali", "rubavu", "karongi"}, Groups: GrantGroups()}
	if p.Faults {
		plan.LostAnswers = 0.03
	}
	c, err := NewCluster(plan)
	if err != nil {
		return GrantsResult{}, err
	}
	defer c.Close()
	var r GrantsResult
	feed := make(chan error, 1)
	go func() { feed <- c.feed(p.Grants) }()
	began := time.Now()
	for Grants(c.History()) < p.Grants && time.Since(began) < p.Most {
		if !p.Faults {
			c.pause(100 * time.Millisecond)
			continue
		}
		c.pause(time.Duration(200+c.draw(500)) * time.Millisecond)
		c.fault(&r)
	}
	r.Took = time.Since(began)
	history := c.History()
	r.Grants, r.Writes = Grants(history), QuotaWrites(history)
	r.Overshoots = Overshoots(history, plan.Groups)
	r.ToInForce = ToInForce(history)
	c.stop()
	<-feed
	return r, nil
}

// feed submits more work than fits, for as long as it is wanted.
func (c *Cluster) feed(grants int) error {
	const tasks = 40
	for submitted := 0; submitted < 2*grants; submitted += tasks {
		if err := c.Submit(tasks); err != nil {
			return err
		}
		for submitted > Grants(c.History())+20*tasks {
			if !c.pause(50 * time.Millisecond) {
				return nil
			}
		}
	}
	return nil
}

// fault brings one fault about, mostly a limit that changes.
func (c *Cluster) fault(r *GrantsResult) {
	switch node := c.draw(len(c.nodes)); c.draw(10) {
	case 0:
		c.End(node, time.Duration(c.draw(1500))*time.Millisecond)
		r.Ends++
	case 1:
		c.Cut(node, time.Duration(200+c.draw(2000))*time.Millisecond)
		r.Cuts++
	default:
		g := GrantGroups()[c.draw(2)]
		for range 1 + c.draw(2) { // and again before it is in force
			limit := quota.CPULimit(float64(c.draw(int(*g.Limit.CPUs) + 8)))
			if c.SetLimit(c.draw(len(c.nodes)), g.Name, &limit) == nil {
				r.LimitsSet++
			}
		}
	}
}

// SetLimit sets a group's limit at a controller, as the command line does; nil clears it.
func (c *Cluster) SetLimit(node int, group string, limit *quota.Limit) error {
	set := peer.SetLimit{Group: group, Clear: limit == nil}
	if limit != nil {
		set.Limit = *limit
	}
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	_, err := admin.RequestQuota(ctx, c.nodes[node].set.InternalAddr, peer.QuotaRequest{Set: &set})
	return err
}

func (r GrantsResult) String() string {
	return fmt.Sprintf("%d grants in %.1f s, %d writes, %d limits set, %d ends, %d cuts, %d overshoots", r.Grants, r.Took.Seconds(), r.Writes, r.LimitsSet, r.Ends, r.Cuts, len(r.Overshoots))
}
