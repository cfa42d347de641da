package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"garnethitch/internal/controller"
	"garnethitch/internal/http1"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// World is the fakes served over HTTP in real time, on the loopback, for a
// real controller: the state service, a cloud with a fixed fleet, its workers and
// a user. It is driven by lines of text, so that it can live in a process of its
// own and what the controller's process takes is the controller's alone.
type World struct {
	mu       sync.Mutex
	sim      *Simulation
	began    time.Time
	machines []*worldMachine
	byHost   map[string]*worldMachine
	serve    string // the controller's address
	user     *link
	users    []*link
	jobs     int
}

// worldMachine is one worker, which reports when it is told to.
type worldMachine struct {
	mu                   sync.Mutex
	id, addr             string
	link                 *link
	agentEpoch, sequence uint64
	fencingToken         uint64
	tasks                []wire.TaskStatus
}

// link is a kept connection to the controller.
type link struct {
	addr    string
	c       net.Conn
	buf     []byte
	timeout time.Duration // for a whole request; 0: none
}

func (l *link) do(method, path string, body []byte) (http1.Message, error) {
	if l.c == nil {
		c, err := net.DialTimeout("tcp4", l.addr, l.timeout)
		if err != nil {
			return http1.Message{}, err
		}
		l.c = c
	}
	if l.timeout > 0 {
		if err := l.c.SetDeadline(time.Now().Add(l.timeout)); err != nil {
			l.drop()
			return http1.Message{}, err
		}
	}
	if _, err := l.c.Write(http1.AppendRequest(nil, method, path, l.addr, "application/cbor", body)); err != nil {
		l.drop()
		return http1.Message{}, err
	}
	l.buf = l.buf[:0]
	chunk := make([]byte, 8<<10)
	for {
		n, err := l.c.Read(chunk)
		l.buf = append(l.buf, chunk[:n]...)
		msg, _, perr := http1.ParseResponse(l.buf, http1.Limits{HeadBytes: 8 << 10, BodyBytes: 64 << 10})
		if perr == nil {
			if msg.Close {
				l.drop()
			}
			return msg, nil
		}
		if err != nil {
			l.drop()
			return msg, err
		}
	}
}

// once sends one request on a connection of its own.
func once(addr string, timeout time.Duration, method, path string, body []byte) (http1.Message, error) {
	l := &link{addr: addr, timeout: timeout}
	msg, err := l.do(method, path, body)
	if l.c != nil {
		l.drop()
	}
	return msg, err
}

func (l *link) drop() {
	l.c.Close()
	l.c = nil
}

// ServeWorld reads commands from in until it ends, and answers each on out:
//
//	machines N ADDR   a fleet of N and the controller's address; answers "at ADDR"
//	ready             waits until the controller says so
//	job N             submits an array of N tasks
//	reports N         N reports that say nothing new, over all machines in turn
//	apart N           the same, one at a time with pauses
//	turns N           N reports, each with a task's end
//	polls N           N questions after the last job
//	jobs N            N submissions of one task each
func ServeWorld(in io.Reader, out io.Writer) error {
	w := &World{sim: base(Plan{Seed: 1, Nodes: 1}), began: time.Now(), byHost: map[string]*worldMachine{}}
	w.sim.State.valueBytes = 64 << 10
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return fmt.Errorf("stand-in world: %w", err)
	}
	defer ln.Close()
	go func() { _ = http.Serve(ln, http.HandlerFunc(w.handle)) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.with(func() {})
		}
	}()
	_, port, _ := net.SplitHostPort(ln.Addr().String())
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		n := 0
		if len(words) > 1 {
			n, _ = strconv.Atoi(words[1])
		}
		answer, err := "ok", error(nil)
		switch words[0] {
		case "machines":
			w.serve = words[2]
			w.fleet(n, port)
			answer = "at 127.0.0.1:" + port
		case "ready":
			err = w.ready()
		case "job":
			err = w.submit(&link{addr: w.serve}, n)
		case "reports":
			err = w.each(n, func(_ int, m *worldMachine) error { return m.heartbeat(false) })
		case "apart":
			for i := range n {
				if err = w.machines[i%len(w.machines)].heartbeat(false); err != nil {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
		case "turns":
			err = w.each(n, func(_ int, m *worldMachine) error { return m.heartbeat(true) })
		case "polls":
			err = w.each(n, func(lane int, _ *worldMachine) error {
				msg, err := w.users[lane].do("GET", fmt.Sprintf("/submissions/job-%06d", w.jobs), nil)
				if err == nil && msg.Status != 200 {
					err = fmt.Errorf("poll: status %d", msg.Status)
				}
				return err
			})
		case "jobs":
			for range n {
				if err = w.submit(w.user, 1); err != nil {
					break
				}
			}
		default:
			err = fmt.Errorf("unknown command %q", words[0])
		}
		if err != nil {
			answer = "failed: " + err.Error()
		}
		if _, err := fmt.Fprintln(out, answer); err != nil {
			return fmt.Errorf("stand-in world: %w", err)
		}
	}
	return nil
}

// lanes is how many requests of a load are under way at a time.
const lanes = 8

func (w *World) fleet(n int, port string) {
	w.user = &link{addr: w.serve}
	for range lanes {
		w.users = append(w.users, &link{addr: w.serve})
	}
	for i := range n {
		host := fmt.Sprintf("127.1.%d.%d:%s", i/200, i%200+1, port)
		m := &worldMachine{id: fmt.Sprintf("vm-%06d", i), addr: host, link: &link{addr: w.serve}, agentEpoch: 1}
		w.machines = append(w.machines, m)
		w.byHost[host] = m
	}
}

func (w *World) ready() error {
	var last error
	for range 6000 {
		msg, err := (&link{addr: w.serve}).do("GET", "/ready", nil)
		if err == nil && msg.Status == 200 {
			return nil
		}
		last = err
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("not ready: %w", last)
}

func (w *World) submit(l *link, tasks int) error {
	w.jobs++
	body, err := wire.Encode(wire.Submission{ID: fmt.Sprintf("job-%06d", w.jobs), Class: "c", Team: "t", Kind: "sweep", Priority: "standard",
		Tasks: tasks, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: 600})
	if err != nil {
		return fmt.Errorf("submission: %w", err)
	}
	for range 600 {
		msg, err := l.do("POST", "/submissions", body)
		if err != nil {
			return err
		}
		switch msg.Status {
		case 200, 201:
			return nil
		case 429, 503:
			time.Sleep(20 * time.Millisecond)
		default:
			return fmt.Errorf("submission: status %d", msg.Status)
		}
	}
	return fmt.Errorf("submission: not taken")
}

// each spreads n requests over the machines in turn, some at a time; a machine
// has one under way at most.
func (w *World) each(n int, f func(lane int, m *worldMachine) error) error {
	errs := make(chan error, lanes)
	for lane := range lanes {
		go func() {
			for i := lane; i < n; i += lanes {
				if err := f(lane, w.machines[(i/lanes*lanes+lane)%(len(w.machines)/lanes*lanes)]); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	var first error
	for range lanes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// heartbeat sends a heartbeat, with the end of a task if there is one to end, and
// carries out what the answer says.
func (m *worldMachine) heartbeat(end bool) error {
	m.mu.Lock()
	for i := range m.tasks {
		if end && m.tasks[i].State == wire.TaskRunning {
			m.tasks[i].State, m.tasks[i].ExitReason = wire.TaskExited, wire.ExitDone
			break
		}
	}
	body, err := wire.Encode(m.shown())
	m.mu.Unlock()
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	msg, err := m.link.do("POST", "/checkin", body)
	if err != nil {
		return err
	}
	if msg.Status != 200 {
		return nil // another node's, or not on record yet
	}
	var answer wire.HeartbeatReply
	if err := wire.Decode(msg.Body, &answer); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.obey(answer.FencingToken, answer.Commands)
	return nil
}

func (m *worldMachine) shown() wire.Heartbeat {
	m.sequence++
	return wire.Heartbeat{Machine: m.id, Addr: m.addr, Type: offer[0].Name, Zone: offer[0].Zones[0], AgentEpoch: m.agentEpoch, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: m.tasks}
}

func (m *worldMachine) obey(fencingToken uint64, commands []wire.Command) {
	m.fencingToken = max(m.fencingToken, fencingToken)
	for _, c := range commands {
		at := -1
		for i, t := range m.tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				at = i
			}
		}
		switch {
		case c.Op == wire.OpStart && at < 0:
			m.tasks = append(m.tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		case c.Op == wire.OpStop && at >= 0:
			m.tasks[at].State, m.tasks[at].ExitReason = wire.TaskExited, wire.ExitStopped
		case c.Op == wire.OpForget && at >= 0:
			m.tasks = append(m.tasks[:at], m.tasks[at+1:]...)
		}
	}
}

// with runs f at the present time, after what is due by then.
func (w *World) with(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sim
	s.now = micros.FromDuration(time.Since(w.began)) + sec
	for at, more := s.queue.Due(); more && at <= s.now; at, more = s.queue.Due() {
		_, due := s.queue.Take()
		due()
	}
	f()
}

// handle serves the state service, the cloud and the workers' side of orders.
func (w *World) handle(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := 404, any(nil)
	q := r.URL.Query()
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(q.Get(name), 10, 64)
		return n
	}
	state := func(req any) {
		got := make(chan controller.Result, 1)
		w.with(func() { w.sim.State.serve(req, func(res controller.Result) { got <- res }) })
		res := <-got
		status, answer = res.Status, res.Body
	}
	path := strings.TrimPrefix(r.URL.Path, "/")
	switch first, rest, _ := strings.Cut(path, "/"); first {
	case "keys":
		if rest != "" {
			state(controller.GetKey{Key: rest})
		} else {
			state(controller.ListKeys{Prefix: q.Get("starts"), After: q.Get("since"), Limit: int(number("most"))})
		}
	case "watch":
		state(controller.Watch{Prefix: q.Get("starts"), Since: number("since"), WaitMS: int64(number("blockMs"))})
	case "multi":
		var txn wire.Txn
		if wire.Decode(body, &txn) == nil {
			state(txn)
		}
	case "grants":
		var lease wire.NewLease
		if id, ok := strings.CutSuffix(rest, "/extend"); ok {
			n, _ := strconv.ParseUint(id, 10, 64)
			state(controller.RenewLease{Lease: n})
		} else if wire.Decode(body, &lease) == nil {
			state(lease)
		}
	case "flavors":
		status, answer = 200, wire.MachineTypes{Types: offer}
	case "rentals":
		status, answer = w.cloud(rest, q.Get("since"), int(number("most")))
	case "orders":
		var orders wire.DirectCommand
		if m := w.byHost[r.Host]; m != nil && wire.Decode(body, &orders) == nil {
			m.mu.Lock()
			status = 409
			if orders.FencingToken >= m.fencingToken && orders.AgentEpoch == m.agentEpoch {
				status = 200
				m.obey(orders.FencingToken, orders.Commands)
			}
			answer = m.shown()
			m.mu.Unlock()
		}
	}
	reply(rw, status, answer)
}

// reply writes an answer; nil has no body.
func reply(rw http.ResponseWriter, status int, answer any) {
	var out []byte
	if answer != nil {
		var err error
		if out, err = wire.Encode(answer); err != nil {
			status = 500
		}
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(out)))
	rw.WriteHeader(status)
	_, _ = io.Copy(rw, bytes.NewReader(out))
}

// cloud lists the fleet, and has no machine more to rent.
func (w *World) cloud(what, after string, most int) (int, any) {
	if what == "return" {
		return 503, nil
	}
	if most == 0 {
		return 503, map[string]string{"error": string(controller.RefusedRental)}
	}
	list := wire.MachineList{}
	for _, m := range w.machines {
		if m.id <= after {
			continue
		}
		if len(list.Machines) == most {
			list.More = true
			break
		}
		list.Machines = append(list.Machines, wire.ListedMachine{ID: m.id, Addr: m.addr, Type: offer[0].Name, Zone: offer[0].Zones[0],
			State: wire.MachineRunning, AgeS: time.Since(w.began).Seconds()})
	}
	return 200, list
}
