// Package faulttest tests real controllers under injected faults. The controllers run on loopback
// sockets, in this process or as separate processes, with fakes of the state service, the cloud
// and the workers. The package records what workers run, what the state service stores and what
// users are answered. Checkers that are independent of the controllers' code verify the records.
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
	// serverTick is how often the due events of the services run.
	serverTick = 10 * time.Millisecond
	// clusterSeedStream separates a cluster's random numbers from others of the same seed.
	clusterSeedStream = 5
)

// Cluster runs several real controllers in real time, with fakes of the state service, the cloud
// and the workers. Each controller reaches the state service through a separate address, so that
// a single controller can be cut off, or lose answers.
type Cluster struct {
	server        *fakes.Server
	number        uint32
	plan          ClusterPlan
	machines      []*machine
	machineByHost map[string]*machine
	nodes         []*node
	ctx           context.Context
	stop          context.CancelFunc
	goroutines    sync.WaitGroup
	taskRuns      taskRuns
	lateCopies    *lateCopies
	links         []*link // between controllers that run as processes

	mu       sync.Mutex // guards the fields below, and the nodes' faults
	rng      *rand.Rand
	history  []HistoryEvent
	jobs     int      // submitted so far
	problems []string // errors of the test cluster itself
}

// ClusterPlan configures a cluster.
type ClusterPlan struct {
	Seed     uint64
	Nodes    int
	Machines int // with 4 CPUs each
	Teams    []string
	Groups   []quota.GroupOptions
	// StateRPS and WriteRPS are the limits of the state service that the settings state, in
	// requests and writes per second; 0 selects high defaults.
	StateRPS, WriteRPS float64
	// LostAnswerFraction is the fraction of the answers to transactions that are lost.
	LostAnswerFraction float64
	// LateCopies makes direct commands that were carried out and answered reach their workers
	// again later.
	LateCopies bool
	// Binary is the program that each controller runs as a separate process, with its settings
	// and its log in Dir. The controllers then reach each other through links that can be cut.
	// If Binary is empty, the controllers run in this process.
	Binary, Dir string
	// Times are the intervals of workers and tasks.
	Times ClusterTimes
}

// ClusterTimes are the intervals, leases and time bounds of a cluster; zero values select defaults.
type ClusterTimes struct {
	HeartbeatInterval, WorkerLease, CancelWithin, ControllerLease time.Duration
	// MinTaskDuration and MaxTaskDuration bound how long a task runs.
	MinTaskDuration, MaxTaskDuration time.Duration
}

// withDefaults returns t with its zero values replaced by defaults.
func (t ClusterTimes) withDefaults() ClusterTimes {
	return ClusterTimes{
		HeartbeatInterval: cmp.Or(t.HeartbeatInterval, 400*time.Millisecond),
		WorkerLease:       cmp.Or(t.WorkerLease, 3*time.Second),
		CancelWithin:      cmp.Or(t.CancelWithin, 10*time.Second),
		ControllerLease:   cmp.Or(t.ControllerLease, time.Second),
		MinTaskDuration:   cmp.Or(t.MinTaskDuration, 40*time.Millisecond),
		MaxTaskDuration:   cmp.Or(t.MaxTaskDuration, 120*time.Millisecond),
	}
}

// clusterCount is how many clusters this process has started. It gives each cluster a number, and
// thereby addresses that the others do not have.
var clusterCount atomic.Uint32

// NewCluster starts a cluster. The caller stops it with Close.
func NewCluster(plan ClusterPlan) (*Cluster, error) {
	plan.Times = plan.Times.withDefaults()
	c := &Cluster{
		number:        clusterCount.Add(1),
		plan:          plan,
		rng:           rand.New(rand.NewPCG(plan.Seed, clusterSeedStream)),
		machineByHost: map[string]*machine{},
		lateCopies:    newLateCopies(),
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
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		c.server.RunDueEvents(serverTick, c.pause)
	}()
	for _, n := range c.nodes {
		n.start()
	}
	for _, m := range c.machines {
		m.connect(c.nodes)
		c.goroutines.Add(1)
		go m.run()
	}
}

// listen serves a handler on a free port until the cluster stops, and returns its loopback
// address.
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

// Close stops the controllers, the workers and the services.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		n.end()
	}
	c.stop()
	c.goroutines.Wait()
}

// pause waits for d, or until the cluster stops, and reports whether the cluster still runs.
func (c *Cluster) pause(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// draw returns a random number below n.
func (c *Cluster) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// drawNode returns a random controller.
func (c *Cluster) drawNode() *node { return c.nodes[c.draw(len(c.nodes))] }

// chance returns true with the given probability.
func (c *Cluster) chance(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < probability
}

// record adds an event to the history, with the current time.
func (c *Cluster) record(event HistoryEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event.At = time.Since(c.server.Clock.Began())
	c.history = append(c.history, event)
}

// recordPut adds the record of a quota group that the state service stores to the history.
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

// History returns the events that were recorded so far.
func (c *Cluster) History() []HistoryEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.history)
}

// addProblem records an error of the test cluster itself.
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

// Restart stops a controller, and starts it again after the given time.
func (c *Cluster) Restart(node int, after time.Duration) {
	n := c.nodes[node]
	n.end()
	time.AfterFunc(after, func() {
		if c.ctx.Err() == nil {
			n.start()
		}
	})
}

// CutFromState cuts a controller off from the state service for d.
func (c *Cluster) CutFromState(node int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[node].faults.cutUntil = time.Now().Add(d)
}

// teamOf returns the team of a job, given the ID of the job or of one of its tasks. Jobs belong to
// the teams in turn.
func (c *Cluster) teamOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	number := 0
	_, _ = fmt.Sscanf(id, "job-%d", &number)
	return c.plan.Teams[number%len(c.plan.Teams)]
}

// Submit submits a job with the given number of tasks of one CPU each. It tries random controllers
// until one accepts the job, and returns an error if none does after many attempts or the cluster
// stops.
func (c *Cluster) Submit(tasks int) error {
	const (
		attempts = 600
		pause    = 50 * time.Millisecond
	)
	id := c.nextJob()
	body, err := fakes.Encode(c.submission(id, tasks, 1))
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

// submission returns a submission of a job whose tasks use one CPU each. Its priority follows from
// the number of tasks, so that jobs of each priority occur.
func (c *Cluster) submission(id string, tasks int, estimateS float64) wire.Submission {
	priorities := wire.PriorityWords()
	return wire.Submission{
		ID: id, Class: "c", Kind: "sweep", Priority: priorities[tasks%len(priorities)], Team: c.teamOf(id), Tasks: tasks, CPUs: 1, MemGB: 1,
		Image: "i", ImageGB: 1, Spot: true, EstimateS: estimateS,
	}
}
