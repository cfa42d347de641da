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

// filePermissions are the permissions of a cluster's options and log files.
const filePermissions = 0o600

// process is a controller that runs as a separate process.
type process struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed bool
}

// processOptions is the content of the controllers' options files.
type processOptions struct {
	LeaseMS int64 `yaml:"lease_ms"`
}

// startProcess starts the controller's program unless it is running. The caller holds the
// cluster's lock.
func (n *node) startProcess() {
	if n.process == nil {
		n.process = &process{}
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
		n.cluster.addProblemLocked("%s did not start: %v", n.settings.Label, err)
		return
	}
	p.cmd = cmd
	p.ended = make(chan struct{})
	p.killed = false
	go n.await(cmd, p.ended)
}

// command writes the controller's settings and options, and returns the command that starts it.
func (n *node) command() (*exec.Cmd, error) {
	path := filepath.Join(n.cluster.plan.Dir, n.settings.Label)
	settings := path + ".toml"
	if err := n.writeSettings(settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	options := path + ".yaml"
	if err := n.writeOptions(options); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePermissions)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	cmd := exec.Command(n.cluster.plan.Binary, "--config", settings, "--options", options)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.Stdout, cmd.Stderr = log, log
	// In a process group of its own, a frozen controller gets no SIGHUP when the shell that has
	// started this process ends. It ends with this process all the same.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd, nil
}

func (n *node) writeSettings(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return toml.NewEncoder(file).Encode(n.settings)
}

func (n *node) writeOptions(path string) error {
	text, err := yaml.Marshal(processOptions{LeaseMS: n.options.LeaseMS})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, filePermissions)
}

// await waits for the end of a process. A process that exits by itself is recorded as a problem and
// restarted, as a platform would do.
func (n *node) await(cmd *exec.Cmd, ended chan struct{}) {
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
	n.cluster.addProblem("%s exited by itself: %v", n.settings.Label, err)
	if n.cluster.pause(restartPause) {
		n.start()
	}
}

// kill kills the process, even if it is frozen, and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.killed = true
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// freeze suspends the process for d. Its clocks keep running.
func (p *process) freeze(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.cmd
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
}
