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
	w := &LoadHarness{
		server:       NewServer(StateLimits{ValueBytes: maxValueBytes, TxnOps: maxTxnOps}),
		workerByHost: map[string]*loadWorker{},
	}
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return fmt.Errorf("load harness: %w", err)
	}
	defer listener.Close()
	_, w.port, _ = net.SplitHostPort(listener.Addr().String())
	go func() { _ = http.Serve(listener, w) }()
	go w.server.RunDueEvents(eventInterval, func(d time.Duration) bool {
		time.Sleep(d)
		return true
	})
	return w.serveCommands(in, out)
}

// serveCommands executes the commands in order and writes their answers.
func (w *LoadHarness) serveCommands(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		answer, err := w.execute(words[0], words[1:])
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
func (w *LoadHarness) execute(name string, arguments []string) (answer string, err error) {
	if name == "machines" {
		return w.startFleet(arguments)
	}
	count := 0
	if len(arguments) > 0 {
		count, _ = strconv.Atoi(arguments[0])
	}
	command := w.countCommands()[name]
	if command == nil {
		return "", fmt.Errorf("unknown command %q", name)
	}
	return "ok", command(count)
}

// countCommands returns the commands whose argument is a count, and "ready", which has none.
func (w *LoadHarness) countCommands() map[string]func(count int) error {
	return map[string]func(count int) error{
		"ready":   func(int) error { return w.awaitReady() },
		"job":     func(tasks int) error { return w.submit(NewConnection(w.controllerAddress, 0), tasks) },
		"reports": w.sendHeartbeats,
		"apart":   w.sendPacedHeartbeats,
		"turns":   w.sendTaskEnds,
		"polls":   w.requestStatus,
		"jobs":    w.submitJobs,
	}
}

// startFleet creates the fleet. The arguments are its size and the controller's address.
func (w *LoadHarness) startFleet(arguments []string) (answer string, err error) {
	if len(arguments) != 2 {
		return "", errUsage
	}
	count, err := strconv.Atoi(arguments[0])
	if err != nil {
		return "", err
	}
	w.controllerAddress = arguments[1]
	w.submitConnection = NewConnection(w.controllerAddress, 0)
	for range parallelRequests {
		w.statusConnections = append(w.statusConnections, NewConnection(w.controllerAddress, 0))
	}
	for i := range count {
		w.addWorker(i)
	}
	return "at 127.0.0.1:" + w.port, nil
}

func (w *LoadHarness) addWorker(i int) {
	m := LoopbackMachine(i, w.port)
	worker := newLoadWorker(m, NewConnection(w.controllerAddress, 0))
	w.workers = append(w.workers, worker)
	w.workerByHost[m.Address] = worker
	w.server.AddMachine(m)
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
func (w *LoadHarness) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, wire.PathDirectCommand) {
		w.server.ServeHTTP(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var command wire.DirectCommand
	worker := w.workerByHost[r.Host]
	if worker == nil || wire.Decode(body, &command) != nil {
		WriteAnswer(rw, http.StatusNotFound, nil)
		return
	}
	status, heartbeat := worker.handleDirectCommand(command)
	WriteAnswer(rw, status, heartbeat)
}

// awaitReady waits until the controller is ready, for about a minute at most.
func (w *LoadHarness) awaitReady() error {
	const (
		attempts = 6000
		pause    = 10 * time.Millisecond
	)
	var last error
	for range attempts {
		msg, err := RequestOnce(w.controllerAddress, 0, "GET", wire.PathReadiness, nil)
		if err == nil && msg.Status == http.StatusOK {
			return nil
		}
		last = err
		time.Sleep(pause)
	}
	return fmt.Errorf("not ready: %w", last)
}

// submit submits a job, with retries while the controller refuses it for the time being.
func (w *LoadHarness) submit(connection *Connection, tasks int) error {
	const (
		attempts = 600
		pause    = 20 * time.Millisecond
	)
	w.submittedJobs++
	body, err := wire.Encode(wire.Submission{
		ID: w.lastJob(), Class: "c", Team: "t", Kind: "sweep", Priority: "standard",
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
func (w *LoadHarness) lastJob() string { return fmt.Sprintf("job-%06d", w.submittedJobs) }

func (w *LoadHarness) submitJobs(count int) error {
	for range count {
		if err := w.submit(w.submitConnection, 1); err != nil {
			return err
		}
	}
	return nil
}

func (w *LoadHarness) sendHeartbeats(count int) error {
	return w.requestInParallel(count, func(_ int, worker *loadWorker) error { return worker.sendHeartbeat(false) })
}

func (w *LoadHarness) sendPacedHeartbeats(count int) error {
	for i := range count {
		if err := w.workers[i%len(w.workers)].sendHeartbeat(false); err != nil {
			return err
		}
		time.Sleep(heartbeatPause)
	}
	return nil
}

func (w *LoadHarness) sendTaskEnds(count int) error {
	return w.requestInParallel(count, func(_ int, worker *loadWorker) error { return worker.sendHeartbeat(true) })
}

func (w *LoadHarness) requestStatus(count int) error {
	path := wire.JobStatusPath(w.lastJob())
	return w.requestInParallel(count, func(sender int, _ *loadWorker) error {
		msg, err := w.statusConnections[sender].Request("GET", path, nil)
		if err == nil && msg.Status != http.StatusOK {
			err = fmt.Errorf("job status: status %d", msg.Status)
		}
		return err
	})
}

// requestInParallel spreads requests over the workers in turn, with parallelRequests senders. A
// worker has at most one request in flight. It returns the first error.
func (w *LoadHarness) requestInParallel(count int, request func(sender int, worker *loadWorker) error) error {
	results := make(chan error, parallelRequests)
	for sender := range parallelRequests {
		go func() { results <- w.requestInTurn(sender, count, request) }()
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
func (w *LoadHarness) requestInTurn(sender, count int, request func(sender int, worker *loadWorker) error) error {
	usedWorkers := len(w.workers) / parallelRequests * parallelRequests
	for i := sender; i < count; i += parallelRequests {
		if err := request(sender, w.workers[i%usedWorkers]); err != nil {
			return err
		}
	}
	return nil
}
