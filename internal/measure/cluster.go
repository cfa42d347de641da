package main

import (
	"fmt"
	"time"

	"garnethitch/internal/faulttest"
)

// clusterCommand runs a cluster on which the command line can be tried.
type clusterCommand struct {
	Nodes int           `default:"3" help:"Controllers."`
	For   time.Duration `default:"1m" help:"How long it runs."`
}

// Run prints the controllers' internal addresses, and submits jobs until the time is over.
func (c *clusterCommand) Run() error {
	cluster, err := faulttest.NewCluster(faulttest.ClusterPlan{
		Seed: 1, Nodes: c.Nodes, Machines: 24, Teams: faulttest.Teams(), Groups: faulttest.GrantGroups(),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	for _, addr := range cluster.Addresses() {
		fmt.Println(addr)
	}
	for end := time.Now().Add(c.For); time.Now().Before(end); time.Sleep(time.Second) {
		if err := cluster.Submit(200); err != nil {
			return err
		}
	}
	return nil
}
