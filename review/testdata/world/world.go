// Command world plays every side but the controllers' for one case of the review: the state
// service, the cloud, the machines with their workers, and the users. It starts the controllers as
// processes of their own, and writes what was sent, answered and run to a record.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

type world struct {
	began      time.Time
	dir        string
	zones      []string
	reportTime time.Duration
	leaseTime  time.Duration
	state      *stateService
	cloud      *cloud
	nodes      []*node
	run        []string // program and arguments of the deploy file

	mu     sync.Mutex
	out    io.Writer
	jobs   map[string]*job
	on     map[string]string // machine on which a task is
	done   map[string]bool   // completed tasks
	starts map[string]int    // starts of tasks, by job
}

// node is a controller.
type node struct {
	label, zone, serveOn, internal string
	settings                       string
	cmd                            *exec.Cmd
}

// job is a user's job.
type job struct {
	id                   string
	class, rank          string
	loads                int
	cpus, memGB, imageGB float64
	image                string
	run                  time.Duration // of each task
	follows              []string
	dueS                 *float64
	spot                 bool
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends a case that can't run.
func (w *world) fail(format string, args ...any) {
	w.record("the case can't run: "+format, args...)
	w.stopNodes()
	os.Exit(cannotRun)
}

// finish ends a case with its verdict.
func (w *world) finish(ok bool, format string, args ...any) {
	w.stopNodes()
	if ok {
		w.record("held: "+format, args...)
		os.Exit(held)
	}
	w.record("BROKEN: "+format, args...)
	os.Exit(broken)
}

func (w *world) taskOn(m *machine, l *load) {
	w.record("task %s starts on %s", l.name, m.name)
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _ := splitLoad(l.name)
	w.starts[id]++
	w.on[l.name] = m.name
}

func (w *world) taskOff(m *machine, l *load, why string) {
	w.record("task %s leaves %s: %s", l.name, m.name, why)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.on, l.name)
}

func (w *world) taskDone(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[name] = true
}

func (w *world) isDone(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[name]
}

func (w *world) startsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

func (w *world) jobOf(load string) *job {
	id, index := splitLoad(load)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || index >= j.loads {
		return nil
	}
	return j
}

func (w *world) nodeIndex(label string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.label == label })
}

// freeAddress returns a free loopback address for a controller. Its port is below those that the
// system gives to outgoing connections, so that it stays free.
func freeAddress(w *world) string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(10_000))
		if ln, err := net.Listen("tcp4", address); err == nil {
			ln.Close()
			return address
		}
	}
	w.fail("no free port")
	return ""
}

func (w *world) serve(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

// newWorld builds a world of three controllers with the settings of Inkingi's small deployment.
func newWorld(recordPath, dir, run string) *world {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	w := &world{
		began: time.Now(), dir: dir, out: file, run: strings.Fields(run),
		zones:      []string{"rubavu", "karongi", "rusizi", "kigali"},
		reportTime: 3 * time.Second, leaseTime: 45 * time.Second,
		jobs: map[string]*job{}, on: map[string]string{}, done: map[string]bool{}, starts: map[string]int{},
	}
	w.state = newStateService()
	w.cloud = newCloud(w)
	for i, zone := range []string{"rubavu", "karongi", "rusizi"} {
		w.nodes = append(w.nodes, &node{label: fmt.Sprintf("hitchpost-%d", i), zone: zone, serveOn: freeAddress(w), internal: freeAddress(w)})
	}
	state, cloud := w.serve(w.state), w.serve(w.cloud)
	for _, n := range w.nodes {
		n.settings = filepath.Join(dir, n.label+".toml")
		if err := os.WriteFile(n.settings, w.settingsOf(n, state, cloud), 0o600); err != nil {
			w.fail("settings: %v", err)
		}
	}
	return w
}

func (w *world) settingsOf(n *node, state, cloud string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "label = %q\nsite = %q\nserve_on = %q\ninternal_addr = %q\n\n", n.label, n.zone, n.serveOn, n.internal)
	for _, other := range w.nodes {
		if other != n {
			fmt.Fprintf(&b, "[[seeds]]\nlabel = %q\nsite = %q\naddress = %q\n\n", other.label, other.zone, other.internal)
		}
	}
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n\n", cloud, state)
	b.WriteString(`[cluster]
nodes = 3
zones = ["karongi", "kigali", "rubavu", "rusizi"]
clock_error_ms = 5.0

[[cluster.teams]]
name = "fitters-desk"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[cluster.objectives]]
kind = "finished"
class = "quote-runs"
within_s = 90.0
share = 0.8

[[cluster.objectives]]
kind = "wait"
class = "shaft-checks"
within_s = 4.0
share = 0.82

[[cluster.objectives]]
kind = "finished"
class = "shaft-checks"
within_s = 50.0
share = 0.9

[[cluster.objectives]]
kind = "finished"
class = "catalogue-rebuild"
within_s = 180.0
share = 0.9

[cluster.workers]
report_s = 3.0
lease_s = 45.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 70.0

[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8

[cluster.cloud]
rps = 5.0
list_lag_s = 3.0

[cluster.resources]
core_share = 0.24
ram_mb = 451.0
sockets = 5000
`)
	return b.Bytes()
}

func (w *world) startNode(n *node) {
	log, err := os.OpenFile(filepath.Join(w.dir, n.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("log: %v", err)
	}
	defer log.Close()
	args := append(slices.Clone(w.run[1:]), n.settings)
	cmd := exec.Command(w.run[0], args...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug", "GARNETHITCH_OPTIONS=")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.fail("start: %v", err)
	}
	n.cmd = cmd
	w.record("controller %s started", n.label)
}

func (w *world) killNode(n *node) {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
	w.record("controller %s killed", n.label)
}

func (w *world) stopNodes() {
	for _, n := range w.nodes {
		w.killNode(n)
	}
}

// startNodes starts all controllers and waits until they are ready for users.
func (w *world) startNodes() {
	for _, n := range w.nodes {
		w.startNode(n)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for {
			if status, _ := request(http.MethodGet, n.serveOn, "/ready", nil, time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				w.fail("%s is not ready", n.label)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record("all controllers are ready")
}

func (w *world) at(s float64) time.Time {
	return w.began.Add(time.Duration(s * float64(time.Second)))
}

func (w *world) sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
