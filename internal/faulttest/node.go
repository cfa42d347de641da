package faulttest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/fakes"
	"garnethitch/internal/runtime"
)

const (
	// restartPause is the time until a controller that exited by itself is restarted.
	restartPause = 100 * time.Millisecond

	// defaultStateRPS and defaultWriteRPS are the limits of the state service if the plan sets
	// none. They are higher than a cluster needs.
	defaultStateRPS = 2000
	defaultWriteRPS = 400
)

// Parameters of the controllers' loopback addresses. The process ID selects the second and third
// byte, and the cluster's number selects the ports.
const (
	minSecondByte    = 32
	secondByteValues = 200
	thirdByteValues  = 250
	firstPort        = 18080
	listenersPerNode = 2
	clusterPortSlots = 1000
)

// node is one controller of a cluster.
type node struct {
	cluster  *Cluster
	id       int
	settings config.Settings
	options  config.Options
	faults   stateFaults // guarded by the cluster's lock

	// Used if controllers run in this process; guarded by the cluster's lock.
	cancel context.CancelFunc // nil: the controller is not running
	ended  chan struct{}
	// Used if controllers run as separate processes.
	process *process
}

// addNodes creates the controllers and enters them in each other's settings.
func (c *Cluster) addNodes(cloud string) error {
	for i := range c.plan.Nodes {
		n, err := c.newNode(i, cloud)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := n.addPeers(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newNode(id int, cloud string) (*node, error) {
	n := &node{cluster: c, id: id, options: config.Defaults()}
	state, err := c.listen(&stateProxy{node: n})
	if err != nil {
		return nil, err
	}
	n.settings = config.Settings{
		Label:     fmt.Sprintf("node-%d", id),
		Endpoints: config.Endpoints{Cloud: cloud, State: state},
	}
	n.settings.ServeOn = c.uniqueAddress(id, 0)
	n.settings.InternalAddr = c.uniqueAddress(id, 1)
	c.configure(&n.settings.Cluster)
	n.options.LeaseMS = c.plan.Times.ControllerLease.Milliseconds()
	n.options.Quota.Groups = c.plan.Groups
	if err := n.options.BuildGroups("plan", n.settings); err != nil {
		return nil, err
	}
	return n, nil
}

// configure fills in the settings that all controllers share.
func (c *Cluster) configure(cluster *config.Cluster) {
	for _, name := range c.plan.Teams {
		cluster.Teams = append(cluster.Teams, config.Team{Name: name})
	}
	cluster.Nodes = c.plan.Nodes
	cluster.Zones = fakes.Zones()
	times := c.plan.Times
	cluster.Workers = config.Workers{ReportS: times.HeartbeatInterval.Seconds(), LeaseS: times.WorkerLease.Seconds(), CancelS: times.CancelWithin.Seconds()}
	cluster.State = config.StateLimits{RPS: cmp.Or(c.plan.StateRPS, defaultStateRPS), WriteRPS: cmp.Or(c.plan.WriteRPS, defaultWriteRPS), ValueKB: 8, TxnOps: stateTxnOps}
	cluster.Cloud = config.CloudLimits{RPS: 10, ListLagS: 0.2}
	cluster.Resources = config.Resources{CoreShare: 0.5, RAMMB: 128, Sockets: 1024}
}

// addPeers enters the other controllers in the settings of this one.
func (n *node) addPeers() error {
	for _, peer := range n.cluster.nodes {
		if peer == n {
			continue
		}
		address, err := n.cluster.addressFor(n, peer)
		if err != nil {
			return err
		}
		n.settings.Seeds = append(n.settings.Seeds, config.Seed{Label: peer.settings.Label, Address: address})
	}
	return nil
}

// uniqueAddress returns a loopback address that no other cluster uses, in this process or in
// another. A port that merely was free a moment ago is not enough: a controller that listens on
// it may receive requests from the workers of another cluster.
func (c *Cluster) uniqueAddress(node, listener int) string {
	pid := os.Getpid()
	second := minSecondByte + pid%secondByteValues
	third := 1 + pid/secondByteValues%thirdByteValues
	port := firstPort + listenersPerNode*int(c.number%clusterPortSlots) + listener
	return fmt.Sprintf("127.%d.%d.%d:%d", second, third, node+1, port)
}

// start starts the controller unless it is running.
func (n *node) start() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cancel != nil || n.cluster.ctx.Err() != nil {
		return
	}
	if n.cluster.plan.Binary != "" {
		n.startProcess()
		return
	}
	ctx, cancel := context.WithCancel(n.cluster.ctx)
	ended := make(chan struct{})
	n.cancel = cancel
	n.ended = ended
	seed := n.cluster.rng.Uint64()
	go func() {
		defer close(ended)
		n.runUntil(ctx, seed)
	}()
}

// runUntil runs the controller in this process until ctx ends. A controller exits by itself if the
// port of its previous run is still in use; runUntil restarts it then, as a platform would.
func (n *node) runUntil(ctx context.Context, seed uint64) {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for ctx.Err() == nil {
		_ = runtime.New(n.settings, n.options, logger, seed).Run(ctx)
		n.cluster.pause(restartPause)
	}
}

// end stops the controller and waits until it has stopped.
func (n *node) end() {
	if n.process != nil {
		n.process.kill()
		return
	}
	n.cluster.mu.Lock()
	cancel, ended := n.cancel, n.ended
	n.cancel = nil
	n.cluster.mu.Unlock()
	if cancel != nil {
		cancel()
		<-ended
	}
}
