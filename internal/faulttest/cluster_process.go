package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pelletier/go-toml/v2"
)

// controllerProcess is a controller that runs as a process of its own.
type controllerProcess struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed bool
}

// processOptions is the options file of a cluster's controllers.
type processOptions struct {
	LeaseMS int64 `yaml:"lease_ms"`
}

// startProcess starts the controller's program; the cluster's lock is held.
func (n *clusterNode) startProcess() {
	if n.process == nil {
		n.process = &controllerProcess{}
	}
	p := n.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	cmd, err := n.command()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		n.cluster.problems = append(n.cluster.problems, fmt.Sprintf("%s does not start: %v", n.set.Label, err))
		return
	}
	p.cmd, p.ended, p.killed = cmd, make(chan struct{}), false
	go n.await(cmd, p.ended)
}

// command writes the controller's files, and gives what starts it.
func (n *clusterNode) command() (*exec.Cmd, error) {
	dir := n.cluster.plan.Dir
	settings, options := filepath.Join(dir, n.set.Label+".toml"), filepath.Join(dir, n.set.Label+".yaml")
	file, err := os.Create(settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer file.Close()
	if err := toml.NewEncoder(file).Encode(n.set); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	text, err := yaml.Marshal(processOptions{LeaseMS: n.opt.LeaseMS})
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	if err := os.WriteFile(options, text, 0o600); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(dir, n.set.Label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	cmd := exec.Command(n.cluster.plan.Binary, "--config", settings, "--options", options)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, nil
}

// await waits for the end of a process. One that ends by itself is started again, as a
// platform would, and counted.
func (n *clusterNode) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p := n.process
	p.mu.Lock()
	p.cmd = nil
	killed := p.killed
	p.mu.Unlock()
	close(ended)
	if killed || n.cluster.ctx.Err() != nil {
		return
	}
	n.cluster.problem("%s ended by itself: %v", n.set.Label, err)
	if n.cluster.pause(100 * time.Millisecond) {
		n.start()
	}
}

// kill ends the process at once, also one that stands still.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.killed = true
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// freeze lets the process stand still for a while; its clocks run on.
func (p *controllerProcess) freeze(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.cmd
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
}
