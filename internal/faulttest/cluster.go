// Package faulttest runs real controllers on loopback sockets, in this process or as processes
// of their own, against fakes of the state service, the cloud and the workers, through faults.
// What workers run, what the state service stores and what users are answered is recorded;
// checkers that know nothing of the controllers' code read the records.
package faulttest

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

const (
	// stateValueBytes and stateTxnOps are the limits of the cluster's state service.
	stateValueBytes = 64 << 10
	stateTxnOps     = 8
	// serverTick is how often the services' due events are run.
	serverTick = 10 * time.Millisecond
	// clusterSeedStream separates a cluster's random numbers from others of the same seed.
	clusterSeedStream = 5
)

// Cluster is several real controllers with fakes for the state service, the cloud and the
// workers, in real time. Each controller reaches the state service by an address of its own,
// so that it alone can be cut off, or lose answers.
type Cluster struct {
	server        *fakes.Server
	number        uint32
	plan          ClusterPlan
	machines      []*machine
	machineByHost map[string]*machine
	nodes         []*node
	ctx           context.Context
	stop          context.CancelFunc
	wait          sync.WaitGroup
	taskRuns      taskRuns
	links         []*link // between controllers that are processes

	mu       sync.Mutex // guards what follows, and the nodes' faults
	rng      *rand.Rand
	history  []HistoryEvent
	jobs     int      // submitted
	problems []string // errors of the test bench itself
}

// ClusterPlan says what a cluster is made of.
type ClusterPlan struct {
	Seed     uint64
	Nodes    int
	Machines int // of 4 CPUs
	Teams    []string
	Groups   []quota.GroupOptions
	// StateRPS and WriteRPS are what the state service takes by the settings; 0: plenty.
	StateRPS, WriteRPS float64
	// LostAnswerFraction is the fraction of the answers to transactions that are lost.
	LostAnswerFraction float64
	// Binary has each controller run as a process of its own, that of this file, with its
	// settings and its log in Dir. The controllers then reach each other through links that
	// can be cut. Empty: they run in this process.
	Binary, Dir string
	// Times are the intervals of workers and tasks.
	Times ClusterTimes
}

// ClusterTimes are the intervals of a cluster's workers; zero values select defaults.
type ClusterTimes struct {
	HeartbeatInterval, WorkerLease, CancelTimeout, ControllerLease time.Duration
	// MinTaskDuration and MaxTaskDuration are how long a task runs.
	MinTaskDuration, MaxTaskDuration time.Duration
}

// withDefaults returns the intervals with what was left out.
func (t ClusterTimes) withDefaults() ClusterTimes {
	return ClusterTimes{
		HeartbeatInterval: cmp.Or(t.HeartbeatInterval, 400*time.Millisecond),
		WorkerLease:       cmp.Or(t.WorkerLease, 3*time.Second),
		CancelTimeout:            cmp.Or(t.CancelTimeout, 10*time.Second),
		ControllerLease:   cmp.Or(t.ControllerLease, time.Second),
		MinTaskDuration:          cmp.Or(t.MinTaskDuration, 40*time.Millisecond),
		MaxTaskDuration:            cmp.Or(t.MaxTaskDuration, 120*time.Millisecond),
	}
}

// clusterCount counts the clusterCount of this process, each of which has addresses of its own.
var clusterCount atomic.Uint32

// NewCluster starts a cluster; Close ends it.
func NewCluster(plan ClusterPlan) (*Cluster, error) {
	plan.Times = plan.Times.withDefaults()
	c := &Cluster{
		number:        clusterCount.Add(1),
		plan:          plan,
		rng:           rand.New(rand.NewPCG(plan.Seed, clusterSeedStream)),
		machineByHost: map[string]*machine{},
		server:        fakes.NewServer(fakes.StateLimits{ValueBytes: stateValueBytes, TxnOps: stateTxnOps}),
	}
	c.server.State.OnPut = c.recordPut
	c.ctx, c.stop = context.WithCancel(context.Background())
	workers, err := c.listen(http.HandlerFunc(c.serveWorker))
	if err != nil {
		return nil, err
	}
	cloud, err := c.listen(c.server)
	if err != nil {
		return nil, err
	}
	_, workerPort, _ := net.SplitHostPort(workers)
	for i := range plan.Machines {
		c.addMachine(fakes.LoopbackMachine(i, workerPort))
	}
	if err := c.addNodes(cloud); err != nil {
		return nil, err
	}
	c.start()
	return c, nil
}

// start starts the services, the controllers and the workers.
func (c *Cluster) start() {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.server.RunDueEvents(serverTick, c.pause)
	}()
	for _, n := range c.nodes {
		n.start()
	}
	for _, m := range c.machines {
		m.connect(c.nodes)
		c.wait.Add(1)
		go m.run()
	}
}

// listen serves a handler on a loopback port until the cluster ends.
func (c *Cluster) listen(h http.Handler) (address string, err error) {
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return "", fmt.Errorf("test cluster: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(c.ctx, func() { _ = srv.Close() })
	_, port, _ := net.SplitHostPort(ln.Addr().String())
	return "127.0.0.1:" + port, nil
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		n.end()
	}
	c.stop()
	c.wait.Wait()
}

// pause waits, and reports whether the cluster still runs.
func (c *Cluster) pause(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// draw draws a number below n.
func (c *Cluster) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// drawNode draws one of the controllers.
func (c *Cluster) drawNode() *node { return c.nodes[c.draw(len(c.nodes))] }

// chance reports true with a probability.
func (c *Cluster) chance(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < probability
}

// record adds to the history.
func (c *Cluster) record(event HistoryEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event.At = time.Since(c.server.Clock.Began())
	c.history = append(c.history, event)
}

// recordPut records a group's record that the state service stores.
func (c *Cluster) recordPut(key string, value wire.Raw, modRevision uint64) {
	name, ok := strings.CutPrefix(key, wire.PrefixQuota)
	if !ok {
		return
	}
	var rec quota.Record
	if wire.Decode(value, &rec) == nil {
		c.record(HistoryEvent{Group: name, Record: rec, ModRevision: modRevision})
	}
}

// History returns what has happened so far.
func (c *Cluster) History() []HistoryEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.history)
}

// addProblem records an error of the test bench itself.
func (c *Cluster) addProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addProblemLocked(format, args...)
}

// addProblemLocked is addProblem for a caller that holds the lock.
func (c *Cluster) addProblemLocked(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// Addresses returns the controllers' internal addresses.
func (c *Cluster) Addresses() (addresses []string) {
	for _, n := range c.nodes {
		addresses = append(addresses, n.settings.InternalAddr)
	}
	return addresses
}

// Restart ends a controller's process, and starts it again after a while.
func (c *Cluster) Restart(node int, after time.Duration) {
	n := c.nodes[node]
	n.end()
	time.AfterFunc(after, func() {
		if c.ctx.Err() == nil {
			n.start()
		}
	})
}

// CutFromState cuts a controller off from the state service.
func (c *Cluster) CutFromState(node int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[node].faults.cutUntil = time.Now().Add(d)
}

// teamOf returns the team of a job, or of one of its tasks. Jobs go to the teams in turn.
func (c *Cluster) teamOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	number := 0
	_, _ = fmt.Sscanf(id, "job-%d", &number)
	return c.plan.Teams[number%len(c.plan.Teams)]
}

// Submit submits a job of that many tasks of one CPU, to any controller that accepts it.
func (c *Cluster) Submit(tasks int) error {
	const (
		attempts = 600
		pause    = 50 * time.Millisecond
	)
	id := c.nextJob()
	body, err := wire.Encode(c.submission(id, tasks, 1))
	if err != nil {
		return fmt.Errorf("test cluster: %w", err)
	}
	for range attempts {
		msg, err := fakes.RequestOnce(c.drawNode().settings.ServeOn, 0, "POST", wire.PathSubmissions, body)
		accepted := msg.Status == http.StatusOK || msg.Status == http.StatusCreated
		if err == nil && accepted {
			return nil
		}
		if !c.pause(pause) {
			break
		}
	}
	return fmt.Errorf("test cluster: %s is not accepted", id)
}

func (c *Cluster) nextJob() (id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	return fmt.Sprintf("job-%06d", c.jobs)
}

// submission returns a job of tasks of one CPU.
func (c *Cluster) submission(id string, tasks int, estimateS float64) wire.Submission {
	return wire.Submission{
		ID: id, Class: "c", Kind: "sweep", Priority: "standard", Team: c.teamOf(id), Tasks: tasks, CPUs: 1, MemGB: 1,
		Image: "i", ImageGB: 1, Spot: true, EstimateS: estimateS,
	}
}
