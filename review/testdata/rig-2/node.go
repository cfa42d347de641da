package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is a controller, run as a process of its own.
type node struct {
	w              *world
	index          int
	label, site    string
	serveOn        string
	internalAddr   string
	state          string // its address of the state service
	links          []*link
	cutFromWorkers atomic.Bool
	cutFromUsers   atomic.Bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed bool
	exits  int // times that the process ended by itself
	old    bool
}

func (n *node) settingsText() string {
	var b strings.Builder
	s := &n.w.settings
	fmt.Fprintf(&b, "label = %q\nsite = %q\nserve_on = %q\ninternal_addr = %q\n", n.label, n.site, n.serveOn, n.internalAddr)
	for _, l := range n.links {
		fmt.Fprintf(&b, "\n[[seeds]]\nlabel = %q\nsite = %q\naddress = %q\n", l.to.label, l.to.site, l.address)
	}
	fmt.Fprintf(&b, "\n[endpoints]\ncloud = %q\nstate = %q\n", n.w.cloudAddress, n.state)
	fmt.Fprintf(&b, "\n[cluster]\nnodes = %d\nzones = [%s]\nclock_error_ms = 5.0\n", len(n.w.nodes), quoted(s.zones))
	for _, t := range s.teams {
		fmt.Fprintf(&b, "\n[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpusMax)
	}
	b.WriteString(s.objectives)
	fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n",
		s.report.Seconds(), s.workerLease.Seconds(), s.cancel.Seconds())
	fmt.Fprintf(&b, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.state.rps, s.state.writeRPS, float64(s.state.valueBytes)/1024, s.state.txnOps)
	b.WriteString(s.stateNext)
	fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLag.Seconds())
	fmt.Fprintf(&b, "\n[cluster.resources]\ncore_share = %.3f\nram_mb = %.1f\nsockets = %d\n", s.coreShare, s.ramMB, s.sockets)
	return b.String()
}

func quoted(words []string) string {
	var out []string
	for _, word := range words {
		out = append(out, fmt.Sprintf("%q", word))
	}
	return strings.Join(out, ", ")
}

// start starts the process. A process that ends by itself is started again after the restart time.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return
	}
	path := filepath.Join(n.w.dir, n.label)
	if err := os.WriteFile(path+".toml", []byte(n.settingsText()), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer log.Close()
	run := n.w.run
	if n.old {
		run = n.w.oldRun
	}
	words := strings.Fields(run)
	cmd := exec.Command(words[0], append(words[1:], path+".toml")...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+n.w.logLevel)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", n.label, err)
	}
	ended := make(chan struct{})
	n.cmd, n.ended, n.killed = cmd, ended, false
	n.w.note("%s starts, pid %d", n.label, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.cmd = nil
		byItself := !n.killed && !n.w.over()
		if byItself {
			n.exits++
		}
		n.mu.Unlock()
		close(ended)
		if byItself {
			n.w.check.violation("crash", "%s ended by itself: %v: %s", n.label, err, lastPanic(path+".log"))
			time.Sleep(n.w.settings.restart)
			if !n.w.over() {
				n.start()
			}
		}
	}()
}

// lastPanic returns the line of a log that says why a process ended.
func lastPanic(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(string(text), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "panic:") || strings.HasPrefix(lines[i], "fatal error:") {
			return lines[i]
		}
	}
	return ""
}

// kill kills the process.
func (n *node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.killed = true
	n.mu.Unlock()
	if cmd != nil {
		n.w.note("%s is killed", n.label)
		_ = cmd.Process.Kill()
		<-ended
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.w.note("%s gets %v", n.label, s)
		_ = n.cmd.Process.Signal(s)
	}
}
