package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machine is a rented machine with its worker, as PROTOCOL describes it ("Workers -> controller
// nodes", "Controller nodes -> workers").
type machine struct {
	w        *world
	name     string
	address  string
	zone     string
	spot     bool
	rentedAt time.Time
	upAt     time.Time
	ln       net.Listener

	mu         sync.Mutex
	over       bool // returned, taken or dead
	sick       bool // every task that it starts fails
	takenAt    time.Time
	tether     uint64
	tally      uint64
	rein       uint64
	leaseStart time.Time
	loads      []*load
	images     map[string]bool
	node       int
	lastReport time.Time
	nextReport time.Time
	changed    bool
	client     *http.Client
}

// load is an attempt of a task on a machine.
type load struct {
	name     string // such as job-000412/3
	mount    uint64
	stance   string // fetching, running, exited
	cause    string
	stanceAt time.Time // when the stance ends by itself
}

func newMachine(w *world, name, zone string, spot bool, boot time.Duration) *machine {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	now := time.Now()
	m := &machine{
		w: w, name: name, address: ln.Addr().String(), zone: zone, spot: spot, rentedAt: now, upAt: now.Add(boot), ln: ln,
		tether: 1, images: map[string]bool{},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	go m.run()
	return m
}

func (m *machine) gone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.over
}

// end takes the machine away with all that is on it.
func (m *machine) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLocked()
}

func (m *machine) endLocked() {
	if m.over {
		return
	}
	m.over = true
	m.ln.Close()
	for _, l := range m.loads {
		if l.stance != "exited" {
			m.w.taskOff(m, l, "the machine is gone")
		}
	}
	m.loads = nil
	m.w.record("machine %s is gone", m.name)
}

// hasRoom reports whether the machine is up, well, stays, and has room for a task of the job.
func (m *machine) hasRoom(j *job) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over || m.sick || !m.takenAt.IsZero() || time.Now().Before(m.upAt) {
		return false
	}
	cpus, mem := m.inUse()
	return cpus+j.cpus <= typeCPUs+1e-6 && mem+j.memGB <= typeMemGB+1e-6
}

// inUse returns what the tasks on the machine take, those that fetch their image included.
func (m *machine) inUse() (cpus, memGB float64) {
	for _, l := range m.loads {
		if l.stance != "exited" {
			cpus += m.w.jobOf(l.name).cpus
			memGB += m.w.jobOf(l.name).memGB
		}
	}
	return cpus, memGB
}

// takeBack has the cloud take the machine back after a notice.
func (m *machine) takeBack(notice time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takenAt = time.Now().Add(notice)
	m.changed = true
	m.w.record("cloud: notice, takes %s back in %.0f s", m.name, notice.Seconds())
}

func (m *machine) setSick(sick bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sick = sick
	m.w.record("machine %s: fails every task that it starts: %v", m.name, sick)
}

func (m *machine) run() {
	time.Sleep(time.Until(m.upAt))
	m.mu.Lock()
	if m.over {
		m.mu.Unlock()
		return
	}
	m.leaseStart = time.Now()
	m.node = len(m.name) % len(m.w.nodes)
	m.mu.Unlock()
	m.w.record("machine %s (%s) is up", m.name, place(m.zone, m.spot))
	go func() { _ = http.Serve(m.ln, http.HandlerFunc(m.serve)) }()
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		if !m.takenAt.IsZero() && time.Now().After(m.takenAt) {
			m.endLocked()
		}
		if m.over {
			m.mu.Unlock()
			return
		}
		m.checkLease()
		m.advance()
		now := time.Now()
		due := now.After(m.nextReport) || m.changed && now.Sub(m.lastReport) >= 500*time.Millisecond
		m.mu.Unlock()
		if due {
			m.report()
		}
	}
}

func (m *machine) checkLease() {
	if time.Since(m.leaseStart) <= m.w.leaseTime {
		return
	}
	for _, l := range m.loads {
		if l.stance != "exited" {
			m.w.taskOff(m, l, "the worker's lease has run out")
		}
	}
	m.loads = nil
	m.tether++
	m.leaseStart = time.Now()
	m.changed = true
}

func (m *machine) advance() {
	for _, l := range m.loads {
		if l.stance == "exited" || time.Now().Before(l.stanceAt) {
			continue
		}
		switch l.stance {
		case "fetching":
			m.startLoad(l)
		case "running":
			if m.sick {
				m.exit(l, "error")
			} else {
				m.w.taskDone(l.name)
				m.exit(l, "done")
			}
		}
		m.changed = true
	}
}

func (m *machine) startLoad(l *load) {
	job := m.w.jobOf(l.name)
	m.images[job.image] = true
	l.stance = "running"
	run := job.run
	switch {
	case m.w.isDone(l.name):
		run = 0
	case m.sick:
		run = time.Second
	}
	l.stanceAt = time.Now().Add(run)
	m.w.taskOn(m, l)
}

func (m *machine) exit(l *load, cause string) {
	if l.stance == "running" {
		m.w.taskOff(m, l, cause)
	}
	l.stance, l.cause = "exited", cause
}

func (m *machine) reportBody() object {
	m.tally++
	loads := []object{}
	for _, l := range m.loads {
		o := object{"load": l.name, "mount": l.mount, "stance": l.stance}
		if l.stance == "exited" {
			o["cause"] = l.cause
		}
		loads = append(loads, o)
	}
	body := object{
		"post": m.name, "address": m.address, "breed": typeName, "paddock": m.zone, "strays": m.spot,
		"tether": m.tether, "tally": m.tally, "rein": m.rein, "warningS": nil, "loads": loads,
	}
	if !m.takenAt.IsZero() {
		body["warningS"] = time.Until(m.takenAt).Seconds()
	}
	return body
}

type command struct {
	Call   string   `cbor:"call"`
	Load   string   `cbor:"load"`
	Mount  uint64   `cbor:"mount"`
	SlackS *float64 `cbor:"slackS"`
}

func (m *machine) report() {
	m.mu.Lock()
	body := encode(m.reportBody())
	m.lastReport = time.Now()
	m.nextReport = m.lastReport.Add(m.w.reportTime)
	m.changed = false
	sent, tether, node := m.lastReport, m.tether, m.node
	m.mu.Unlock()
	status, response := post(m.client, m.w.nodes[node].serveOn, "/checkin", body)
	var reply struct {
		Rein   *uint64   `cbor:"rein"`
		Calls  []command `cbor:"calls"`
		Drover string    `cbor:"drover"`
	}
	usable := status != 0 && decode(response, &reply)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over {
		return
	}
	m.checkLease()
	switch {
	case status == http.StatusOK && usable:
		if reply.Rein == nil || *reply.Rein < m.rein || tether != m.tether {
			return
		}
		m.leaseStart = sent
		m.execute(*reply.Rein, reply.Calls)
	case status == http.StatusMisdirectedRequest && usable && m.w.nodeIndex(reply.Drover) >= 0 && m.w.nodeIndex(reply.Drover) != node:
		m.node = m.w.nodeIndex(reply.Drover)
		m.nextReport = time.Now()
	default:
		m.node = (m.node + 1) % len(m.w.nodes)
		m.nextReport = time.Now().Add(time.Second)
	}
}

func (m *machine) execute(rein uint64, calls []command) {
	if rein > m.rein {
		m.rein = rein
		m.changed = true
	}
	for _, c := range calls {
		i := slices.IndexFunc(m.loads, func(l *load) bool { return l.name == c.Load && l.mount == c.Mount })
		m.w.record("machine %s: %s %s mount %x", m.name, c.Call, c.Load, c.Mount)
		switch {
		case c.Call == "run" && i < 0:
			m.start(c)
		case c.Call == "halt" && i >= 0 && m.loads[i].stance != "exited":
			m.exit(m.loads[i], "halted")
			m.changed = true
		case c.Call == "clear" && i >= 0 && m.loads[i].stance == "exited":
			m.loads = slices.Delete(m.loads, i, i+1)
			m.changed = true
		}
	}
}

func (m *machine) start(c command) {
	l := &load{name: c.Load, mount: c.Mount, stance: "fetching"}
	m.loads = append(m.loads, l)
	m.changed = true
	job := m.w.jobOf(c.Load)
	switch {
	case job == nil:
		l.stance, l.cause = "exited", "unknown"
		return
	case slices.ContainsFunc(m.loads, func(o *load) bool { return o != l && o.name == l.name && o.stance != "exited" }):
		l.stance, l.cause = "exited", "in_use"
		return
	}
	if cpus, mem := m.inUse(); cpus > typeCPUs+1e-6 || mem > typeMemGB+1e-6 {
		l.stance, l.cause = "exited", "no_room"
		return
	}
	if !m.images[job.image] {
		l.stanceAt = time.Now().Add(time.Duration(job.imageGB / 0.4 * float64(time.Second)))
	}
}

// serve answers /orders and /show.
func (m *machine) serve(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over {
		return
	}
	m.checkLease()
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var orders struct {
			Rein   *uint64   `cbor:"rein"`
			Tether *uint64   `cbor:"tether"`
			Calls  []command `cbor:"calls"`
		}
		switch {
		case !decode(body, &orders) || orders.Rein == nil || orders.Tether == nil:
			answer(rw, http.StatusBadRequest, nil)
			return
		case *orders.Rein < m.rein || *orders.Tether != m.tether:
			status = http.StatusConflict
		default:
			m.execute(*orders.Rein, orders.Calls)
		}
	}
	answer(rw, status, m.reportBody())
}

// splitLoad returns the job and the index of a task's name.
func splitLoad(name string) (job string, index int) {
	job, digits, _ := strings.Cut(name, "/")
	index, err := strconv.Atoi(digits)
	if err != nil {
		panic(fmt.Sprintf("task %q", name))
	}
	return job, index
}
