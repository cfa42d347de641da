package faulttest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/fakes"
	"garnethitch/internal/runtime"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// Cluster is several real controllers on loopback sockets, with fakes for the state
// service, the cloud and the workers, in real time. Each controller reaches the state
// service by an address of its own, so that it alone can be cut off, or lose answers.
// What workers run and what the state service says is recorded, to be checked apart.
type Cluster struct {
	server   *fakes.Server
	number   uint32
	plan     ClusterPlan
	machines []*clusterMachine
	byHost   map[string]*clusterMachine
	nodes    []*clusterNode
	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	history []HistoryEvent
	jobs    int
	stays   stays
	links   []*cuttable // between controllers that are processes
	// problems are what went wrong beside the rules.
	problems []string
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
	// LostAnswers is the part of the state service's answers that get lost.
	LostAnswers float64
	// Binary has each controller run as a process of its own, that of this file, with its
	// settings and its log in Dir. The controllers then reach each other through links that
	// can be cut. Empty: they run in this process.
	Binary, Dir string
	// Times are the intervals of workers and tasks.
	Times ClusterTimes
}

// ClusterTimes are the intervals of a cluster's workers; zero values are filled in.
type ClusterTimes struct {
	HeartbeatInterval, WorkerLease, Cancel, ControllerLease time.Duration
	// TaskFrom and TaskTo are how long a task runs.
	TaskFrom, TaskTo time.Duration
}

// fill sets what was left out.
func (t *ClusterTimes) fill() {
	t.HeartbeatInterval = cmp.Or(t.HeartbeatInterval, 400*time.Millisecond)
	t.WorkerLease = cmp.Or(t.WorkerLease, 3*time.Second)
	t.Cancel = cmp.Or(t.Cancel, 10*time.Second)
	t.ControllerLease = cmp.Or(t.ControllerLease, time.Second)
	t.TaskFrom = cmp.Or(t.TaskFrom, 40*time.Millisecond)
	t.TaskTo = cmp.Or(t.TaskTo, 120*time.Millisecond)
}

// HistoryEvent is a task's start or end, or a limit that came into force.
type HistoryEvent struct {
	At   time.Duration
	Team string  // of a task
	CPUs float64 // of a task: above 0 where it starts, below where it ends
	// Group, and the record as it was stored.
	Group       string
	Record      quota.Record
	ModRevision uint64
}

type clusterNode struct {
	cluster  *Cluster
	id       int
	set      config.Settings
	opt      config.Options
	cancel   context.CancelFunc
	ended    chan struct{}
	cutUntil time.Time // from the state service; guarded by the cluster's lock
	faults   stateFaults
	process  *controllerProcess // where controllers are processes
}

const (
	// stateValueBytes and stateTxnOps are what the cluster's state service takes.
	stateValueBytes = 64 << 10
	stateTxnOps     = 8
	// serverTick is how often it looks for what is due.
	serverTick = 10 * time.Millisecond
)

// NewCluster starts a cluster; Close ends it.
func NewCluster(p ClusterPlan) (*Cluster, error) {
	p.Times.fill()
	c := &Cluster{number: clusters.Add(1), plan: p, rng: rand.New(rand.NewPCG(p.Seed, 5)), byHost: map[string]*clusterMachine{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.server = fakes.NewServer(fakes.StateLimits{ValueBytes: stateValueBytes, TxnOps: stateTxnOps})
	c.server.State.OnPut = c.recordPut
	workers, err := c.listen(http.HandlerFunc(c.serveWorker))
	if err != nil {
		return nil, err
	}
	cloud, err := c.listen(c.server)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(workers)
	for i := range p.Machines {
		m := &clusterMachine{cluster: c, FixedMachine: fakes.LoopbackMachine(i, port), agentEpoch: 1, answeredAt: time.Now(), wake: make(chan struct{}, 1)}
		c.machines = append(c.machines, m)
		c.byHost[m.Address] = m
		c.server.AddMachine(m.FixedMachine)
	}
	if err := c.addNodes(cloud); err != nil {
		return nil, err
	}
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.server.KeepTime(serverTick, c.pause)
	}()
	for _, n := range c.nodes {
		n.start()
	}
	for _, m := range c.machines {
		for _, n := range c.nodes {
			m.links = append(m.links, fakes.NewConnection(n.set.ServeOn, answerTimeout))
		}
		m.node = c.draw(len(c.nodes))
		c.wait.Add(1)
		go m.run()
	}
	return c, nil
}

// listen serves a handler on a loopback port until the cluster ends.
func (c *Cluster) listen(h http.Handler) (string, error) {
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

func (c *Cluster) addNodes(cloud string) error {
	var teams []config.Team
	for _, t := range c.plan.Teams {
		teams = append(teams, config.Team{Name: t})
	}
	for i := range c.plan.Nodes {
		n := &clusterNode{cluster: c, id: i, opt: config.Defaults()}
		state, err := c.listen(http.HandlerFunc(n.serveState))
		if err != nil {
			return err
		}
		n.set = config.Settings{Label: fmt.Sprintf("node-%d", i), Endpoints: config.Endpoints{Cloud: cloud, State: state}}
		n.set.ServeOn, n.set.InternalAddr = c.ownAddress(i, 0), c.ownAddress(i, 1)
		cl := &n.set.Cluster
		cl.Nodes, cl.Teams, cl.Zones = c.plan.Nodes, teams, fakes.Zones()
		times := c.plan.Times
		cl.Workers = config.Workers{ReportS: times.HeartbeatInterval.Seconds(), LeaseS: times.WorkerLease.Seconds(), CancelS: times.Cancel.Seconds()}
		cl.State = config.StateLimits{RPS: cmp.Or(c.plan.StateRPS, 2000), WriteRPS: cmp.Or(c.plan.WriteRPS, 400), ValueKB: 8, TxnOps: 8}
		cl.Cloud = config.CloudLimits{RPS: 10, ListLagS: 0.2}
		cl.Resources = config.Resources{CoreShare: 0.5, RAMMB: 128, Sockets: 1024}
		n.opt.LeaseMS = c.plan.Times.ControllerLease.Milliseconds()
		n.opt.Quota.Groups = c.plan.Groups
		if err := n.opt.BuildGroups("plan", n.set); err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		for _, o := range c.nodes {
			if o != n {
				address, err := c.addressFor(n, o)
				if err != nil {
					return err
				}
				n.set.Seeds = append(n.set.Seeds, config.Seed{Label: o.set.Label, Address: address})
			}
		}
	}
	return nil
}

// clusters counts the clusters of this process.
var clusters atomic.Uint32

// ownAddress is a loopback address that no other cluster uses, of this process or another:
// on a port that was free a moment ago a controller of one may meet workers of another.
func (c *Cluster) ownAddress(node, listener int) string {
	pid := os.Getpid()
	port := 18080 + 2*int(c.number%1000) + listener
	return fmt.Sprintf("127.%d.%d.%d:%d", 32+pid%200, 1+pid/200%250, node+1, port)
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		n.end()
	}
	c.stop()
	c.wait.Wait()
}

// pause waits, and tells whether the cluster goes on.
func (c *Cluster) pause(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (c *Cluster) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *Cluster) chance(p float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < p
}

// note adds to the history.
func (c *Cluster) note(e HistoryEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.At = time.Since(c.server.Clock.Began())
	c.history = append(c.history, e)
}

// History is what has happened so far.
func (c *Cluster) History() []HistoryEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.history)
}

// recordPut notes a record of a group as the state service takes it.
func (c *Cluster) recordPut(key string, value wire.Raw, modRevision uint64) {
	name, ok := strings.CutPrefix(key, wire.PrefixQuota)
	if !ok {
		return
	}
	var rec quota.Record
	if wire.Decode(value, &rec) == nil {
		c.note(HistoryEvent{Group: name, Record: rec, ModRevision: modRevision})
	}
}

// Addresses are the controllers' internal addresses.
func (c *Cluster) Addresses() (out []string) {
	for _, n := range c.nodes {
		out = append(out, n.set.InternalAddr)
	}
	return out
}

// End ends a controller's process, and starts it again after a while.
func (c *Cluster) End(node int, back time.Duration) {
	n := c.nodes[node]
	n.end()
	time.AfterFunc(back, func() {
		if c.ctx.Err() == nil {
			n.start()
		}
	})
}

// Cut cuts a controller off from the state service.
func (c *Cluster) Cut(node int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[node].cutUntil = time.Now().Add(d)
}

func (n *clusterNode) start() {
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
	n.cancel, n.ended = cancel, make(chan struct{})
	seed, ended := n.cluster.rng.Uint64(), n.ended
	go func() {
		defer close(ended)
		// One that ends by itself, since the port of its former process is still taken, is
		// started again, as a platform would.
		for ctx.Err() == nil {
			_ = runtime.New(n.set, n.opt, slog.New(slog.NewTextHandler(io.Discard, nil)), seed).Run(ctx)
			n.cluster.pause(100 * time.Millisecond)
		}
	}()
}

// problem notes what went wrong.
func (c *Cluster) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (n *clusterNode) end() {
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

// serveState is the state service as one controller reaches it.
func (n *clusterNode) serveState(rw http.ResponseWriter, r *http.Request) {
	c := n.cluster
	c.mu.Lock()
	cut := time.Until(n.cutUntil)
	c.mu.Unlock()
	if n.faultyState(rw, r) {
		return
	}
	lose := c.plan.LostAnswers > 0 && strings.HasSuffix(r.URL.Path, "/multi") && c.chance(c.plan.LostAnswers)
	if cut > 0 {
		if !c.chance(0.3) || !c.pause(cut) {
			panic(http.ErrAbortHandler)
		}
		lose = true // held back, and carried out after the cut
	}
	if lose {
		c.server.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	c.server.ServeHTTP(rw, r)
}

// discard is where a lost answer goes.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// teamOf: jobs go to the teams in turn.
func (c *Cluster) teamOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	n := 0
	_, _ = fmt.Sscanf(id, "job-%d", &n)
	return c.plan.Teams[n%len(c.plan.Teams)]
}

// Submit submits a job of that many tasks of one CPU, to any controller that takes it.
func (c *Cluster) Submit(tasks int) error {
	c.mu.Lock()
	c.jobs++
	n := c.jobs
	c.mu.Unlock()
	sub := wire.Submission{ID: fmt.Sprintf("job-%06d", n), Class: "c", Kind: "sweep", Priority: "standard", Tasks: tasks, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: 1}
	sub.Team = c.teamOf(sub.ID)
	body, err := wire.Encode(sub)
	if err != nil {
		return fmt.Errorf("test cluster: %w", err)
	}
	for range 600 {
		msg, err := fakes.RequestOnce(c.nodes[c.draw(len(c.nodes))].set.ServeOn, 0, "POST", "/submissions", body)
		if err == nil && (msg.Status == 200 || msg.Status == 201) {
			return nil
		}
		if !c.pause(50 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("test cluster: %s not taken", sub.ID)
}
