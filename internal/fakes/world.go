package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"garnethitch/internal/wire"
)

// LoadHarness provides everything that one real controller talks to, in real time on the loopback
// interface: the services of a Server, the workers of its fleet and a user. Text commands drive
// it, so that it can run in a separate process. The CPU time and the system calls of the
// controller's process are then the controller's alone.
type LoadHarness struct {
	server            *Server
	workers           []*loadWorker
	workerByHost      map[string]*loadWorker
	port              string // of the server and of all workers
	controllerAddress string
	submitConnection  *Connection
	statusConnections []*Connection // one for each sender
	submittedJobs     int
}

const (
	// parallelRequests is how many senders a load has, each with one request in flight.
	parallelRequests = 8
	// maxValueBytes and maxTxnOps are limits of the state service.
	maxValueBytes = 64 << 10
	maxTxnOps     = 8
	// eventInterval is how often the due events of the services run.
	eventInterval = 20 * time.Millisecond
	// heartbeatPause is the pause between heartbeats of the command "apart".
	heartbeatPause = 5 * time.Millisecond
)

var errUsage = errors.New("wrong number of arguments")

// ServeLoadHarness reads commands from in until it ends. It answers each command on out with "ok",
// or with "failed: " and the reason. "machines" answers with the address of the services instead
// of "ok". The commands are:
//
//	machines N ADDR   create a fleet of N machines for the controller at ADDR; answers "at ADDR"
//	ready             wait until the controller reports that it is ready
//	job N             submit a job of N tasks
//	reports N         send N unchanged heartbeats, from all machines in turn
//	apart N           the same, one heartbeat at a time with pauses
//	turns N           send N heartbeats, each with the end of a running task
//	polls N           send N requests for the status of the last job
//	jobs N            submit N jobs of one task each
func ServeLoadHarness(in io.Reader, out io.Writer) error {
	h := &LoadHarness{
		server:       NewServer(StateLimits{ValueBytes: maxValueBytes, TxnOps: maxTxnOps}),
		workerByHost: map[string]*loadWorker{},
	}
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return fmt.Errorf("load harness: %w", err)
	}
	defer listener.Close()
	_, h.port, _ = net.SplitHostPort(listener.Addr().String())
	go func() { _ = http.Serve(listener, h) }()
	go h.server.RunDueEvents(eventInterval, func(d time.Duration) bool {
		time.Sleep(d)
		return true
	})
	return h.serveCommands(in, out)
}

// serveCommands executes the commands in order and writes their answers.
func (h *LoadHarness) serveCommands(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		answer, err := h.execute(words[0], words[1:])
		if err != nil {
			answer = "failed: " + err.Error()
		}
		if _, err := fmt.Fprintln(out, answer); err != nil {
			return fmt.Errorf("load harness: %w", err)
		}
	}
	return nil
}

// execute executes one command and returns the answer to it.
func (h *LoadHarness) execute(name string, arguments []string) (answer string, err error) {
	if name == "machines" {
		return h.startFleet(arguments)
	}
	count := 0
	if len(arguments) > 0 {
		count, _ = strconv.Atoi(arguments[0])
	}
	command := h.countCommands()[name]
	if command == nil {
		return "", fmt.Errorf("unknown command %q", name)
	}
	return "ok", command(count)
}

// countCommands returns the commands whose argument is a count, and "ready", which has none.
func (h *LoadHarness) countCommands() map[string]func(count int) error {
	return map[string]func(count int) error{
		"ready":   func(int) error { return h.awaitReady() },
		"job":     func(tasks int) error { return h.submit(NewConnection(h.controllerAddress, 0), tasks) },
		"reports": h.sendHeartbeats,
		"apart":   h.sendPacedHeartbeats,
		"turns":   h.sendTaskEnds,
		"polls":   h.requestStatus,
		"jobs":    h.submitJobs,
	}
}

// startFleet creates the fleet. The arguments are its size and the controller's address.
func (h *LoadHarness) startFleet(arguments []string) (answer string, err error) {
	if len(arguments) != 2 {
		return "", errUsage
	}
	count, err := strconv.Atoi(arguments[0])
	if err != nil {
		return "", err
	}
	h.controllerAddress = arguments[1]
	h.submitConnection = NewConnection(h.controllerAddress, 0)
	for range parallelRequests {
		h.statusConnections = append(h.statusConnections, NewConnection(h.controllerAddress, 0))
	}
	for i := range count {
		h.addWorker(i)
	}
	return "at 127.0.0.1:" + h.port, nil
}

func (h *LoadHarness) addWorker(i int) {
	m := LoopbackMachine(i, h.port)
	worker := newLoadWorker(m, NewConnection(h.controllerAddress, 0))
	h.workers = append(h.workers, worker)
	h.workerByHost[m.Address] = worker
	h.server.AddMachine(m)
}

// machinesPerSubnet is how many machines have addresses that differ only in the last byte.
const machinesPerSubnet = 200

// LoopbackMachine returns machine number i of a fleet, with a loopback address that no other
// machine of the fleet has.
func LoopbackMachine(i int, port string) FixedMachine {
	return FixedMachine{
		ID:      fmt.Sprintf("vm-%06d", i),
		Address: fmt.Sprintf("127.1.%d.%d:%s", i/machinesPerSubnet, i%machinesPerSubnet+1, port),
	}
}

// ServeHTTP serves the workers' direct commands, the state service and the cloud.
func (h *LoadHarness) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, wire.PathDirectCommand) {
		h.server.ServeHTTP(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var command wire.DirectCommand
	worker := h.workerByHost[r.Host]
	if worker == nil || wire.Decode(body, &command) != nil {
		WriteAnswer(rw, http.StatusNotFound, nil)
		return
	}
	status, heartbeat := worker.handleDirectCommand(command)
	WriteAnswer(rw, status, heartbeat)
}

// awaitReady waits until the controller is ready, for about a minute at most.
func (h *LoadHarness) awaitReady() error {
	const (
		attempts = 6000
		pause    = 10 * time.Millisecond
	)
	var last error
	for range attempts {
		msg, err := RequestOnce(h.controllerAddress, 0, "GET", wire.PathReadiness, nil)
		if err == nil && msg.Status == http.StatusOK {
			return nil
		}
		last = err
		time.Sleep(pause)
	}
	return fmt.Errorf("not ready: %w", last)
}

// submit submits a job, with retries while the controller refuses it for the time being.
func (h *LoadHarness) submit(connection *Connection, tasks int) error {
	const (
		attempts = 600
		pause    = 20 * time.Millisecond
	)
	h.submittedJobs++
	body, err := Encode(wire.Submission{
		ID: h.lastJob(), Class: "c", Team: "t", Kind: "sweep", Priority: "standard",
		Tasks: tasks, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: 600,
	})
	if err != nil {
		return fmt.Errorf("submission: %w", err)
	}
	for range attempts {
		msg, err := connection.Request("POST", wire.PathSubmissions, body)
		if err != nil {
			return err
		}
		switch msg.Status {
		case http.StatusOK, http.StatusCreated:
			return nil
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(pause)
		default:
			return fmt.Errorf("submission: status %d", msg.Status)
		}
	}
	return errors.New("submission: not accepted")
}

// lastJob returns the ID of the job that was submitted last.
func (h *LoadHarness) lastJob() string { return fmt.Sprintf("job-%06d", h.submittedJobs) }

func (h *LoadHarness) submitJobs(count int) error {
	for range count {
		if err := h.submit(h.submitConnection, 1); err != nil {
			return err
		}
	}
	return nil
}

func (h *LoadHarness) sendHeartbeats(count int) error {
	return h.requestInParallel(count, func(_ int, worker *loadWorker) error { return worker.sendHeartbeat(false) })
}

func (h *LoadHarness) sendPacedHeartbeats(count int) error {
	for i := range count {
		if err := h.workers[i%len(h.workers)].sendHeartbeat(false); err != nil {
			return err
		}
		time.Sleep(heartbeatPause)
	}
	return nil
}

func (h *LoadHarness) sendTaskEnds(count int) error {
	return h.requestInParallel(count, func(_ int, worker *loadWorker) error { return worker.sendHeartbeat(true) })
}

func (h *LoadHarness) requestStatus(count int) error {
	path := wire.JobStatusPath(h.lastJob())
	return h.requestInParallel(count, func(sender int, _ *loadWorker) error {
		msg, err := h.statusConnections[sender].Request("GET", path, nil)
		if err == nil && msg.Status != http.StatusOK {
			err = fmt.Errorf("job status: status %d", msg.Status)
		}
		return err
	})
}

// requestInParallel spreads requests over the workers in turn, with parallelRequests senders. A
// worker has at most one request in flight. It returns the first error.
func (h *LoadHarness) requestInParallel(count int, request func(sender int, worker *loadWorker) error) error {
	results := make(chan error, parallelRequests)
	for sender := range parallelRequests {
		go func() { results <- h.requestInTurn(sender, count, request) }()
	}
	var first error
	for range parallelRequests {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// requestInTurn sends the requests of one sender, one after the other. No two senders share a
// worker.
func (h *LoadHarness) requestInTurn(sender, count int, request func(sender int, worker *loadWorker) error) error {
	usedWorkers := len(h.workers) / parallelRequests * parallelRequests
	for i := sender; i < count; i += parallelRequests {
		if err := request(sender, h.workers[i%usedWorkers]); err != nil {
			return err
		}
	}
	return nil
}
