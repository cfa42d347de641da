package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// Times of the worker protocol.
const (
	reportTimeout  = 4 * time.Second
	minReportGap   = 500 * time.Millisecond
	tickInterval   = 25 * time.Millisecond
	nextNodeWait   = time.Second
	diedListedTime = 30 * time.Second // a dead machine stays listed as running
)

// task is one attempt of a task on a machine.
type task struct {
	name, job  string
	index      int
	attempt    uint64
	stance     string // fetching, running, flushing, exited
	cause      string
	kept       bool
	startedAt  time.Time
	endsAt     time.Time // of the present stance
	progressAt time.Duration
}

type command struct {
	Call   string   `cbor:"call"`
	Load   string   `cbor:"load"`
	Mount  uint64   `cbor:"mount"`
	SlackS *float64 `cbor:"slackS"`
}

// machine is a rented machine with its worker.
type machine struct {
	w        *world
	id       string
	address  string
	breed    *machineType
	zone     string
	spot     bool
	rentedAt time.Time
	upAt     time.Time
	freed    bool

	mu          sync.Mutex
	dead        bool
	deadAt      time.Time
	deadHow     string
	hungUntil   time.Time
	sick        bool // fails every task
	cut         bool // from the network
	noticeAt    time.Time
	tether      uint64
	tally       uint64
	rein        uint64
	leaseStart  time.Time
	tasks       []*task
	images      map[string]bool
	node        int
	awaiting    bool
	changed     bool
	nextReport  time.Time
	lastReport  time.Time
	client      *http.Client
	cutFromNode map[int]bool
	lateOrders  time.Duration // direct commands are executed that much later, and not answered
	lateReports time.Duration // reports are delivered that much later, and not answered
	copies      bool          // a copy of each report is delivered again later
}

func newMachine(w *world, id string, breed *machineType, zone string, spot bool, boot time.Duration) *machine {
	m := &machine{w: w, id: id, breed: breed, zone: zone, spot: spot, rentedAt: time.Now(), upAt: time.Now().Add(boot),
		tether: 1, images: map[string]bool{}, client: newClient(), cutFromNode: map[int]bool{}}
	m.node = w.draw(len(w.nodes))
	m.address = serve(m)
	go m.run()
	return m
}

// listedAt returns how the cloud's list shows the machine as of a time.
func (m *machine) listedAt(at time.Time) (stance string, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Before(m.rentedAt) {
		return "", false
	}
	if m.dead && at.After(m.deadAt) {
		if m.deadHow != "died" {
			return "", false
		}
		if at.After(m.deadAt.Add(diedListedTime)) {
			return "failed", true
		}
		return "running", true
	}
	if at.Before(m.upAt) {
		return "starting", true
	}
	return "running", true
}

// remove ends the machine: it is returned, taken by the cloud, or has died.
func (m *machine) remove(how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		if how == "returned" {
			m.deadHow = how
		}
		return
	}
	m.dead, m.deadAt, m.deadHow = true, time.Now(), how
	for _, t := range m.tasks {
		m.left(t)
	}
	m.w.note("%s is %s", m.id, how)
}

// left records that a task is no longer on the machine.
func (m *machine) left(t *task) {
	if t.stance == "running" || t.stance == "flushing" {
		m.w.check.ended(m, t)
	}
}

func (m *machine) run() {
	time.Sleep(time.Until(m.upAt))
	m.mu.Lock()
	m.leaseStart = time.Now()
	m.mu.Unlock()
	for !m.w.over() {
		time.Sleep(tickInterval)
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		m.expireIfDue()
		if time.Now().After(m.hungUntil) {
			m.advance()
			due := time.Now().After(m.nextReport) || m.changed && time.Since(m.lastReport) >= minReportGap
			if due && !m.awaiting {
				m.report()
			}
		}
		m.mu.Unlock()
	}
}

// expireIfDue ends the session if the lease has run out. A hanging machine does so as well: it
// executes nothing after that.
func (m *machine) expireIfDue() {
	if time.Since(m.leaseStart) <= m.w.settings.workerLease {
		return
	}
	m.w.note("%s session %d ends, %d tasks", m.id, m.tether, len(m.tasks))
	for _, t := range m.tasks {
		m.left(t)
	}
	m.tasks = nil
	m.tether++
	m.leaseStart = time.Now()
	m.changed = true
}

// status returns the worker's report.
func (m *machine) status() object {
	m.tally++
	loads := []object{}
	for _, t := range m.tasks {
		load := object{"load": t.name, "mount": t.attempt, "stance": t.stance}
		if t.stance == "exited" {
			load["cause"] = t.cause
			if t.kept {
				load["kept"] = true
			}
		}
		loads = append(loads, load)
	}
	var warning any
	if !m.noticeAt.IsZero() {
		warning = time.Until(m.noticeAt).Seconds()
	}
	return object{"post": m.id, "address": m.address, "breed": m.breed.name, "paddock": m.zone, "strays": m.spot,
		"tether": m.tether, "tally": m.tally, "rein": m.rein, "warningS": warning, "loads": loads}
}

// report sends a report to the present node.
func (m *machine) report() {
	m.awaiting, m.changed = true, false
	sentAt, tether, node := time.Now(), m.tether, m.node
	m.lastReport = sentAt
	interval := m.w.settings.report
	m.nextReport = sentAt.Add(interval*3/4 + time.Duration(m.w.draw(int(interval/2))))
	body := encode(m.status())
	go func() {
		a := m.send(node, body)
		m.mu.Lock()
		for time.Now().Before(m.hungUntil) && !m.dead {
			m.mu.Unlock()
			time.Sleep(tickInterval)
			m.mu.Lock()
		}
		defer m.mu.Unlock()
		m.awaiting = false
		if m.dead {
			return
		}
		m.expireIfDue()
		m.handle(a, sentAt, tether, node)
	}()
}

func (m *machine) send(node int, body []byte) answer {
	m.mu.Lock()
	cut := m.cut || m.cutFromNode[node] || m.w.nodes[node].cutFromWorkers.Load()
	late, copies := m.lateReports, m.copies
	m.mu.Unlock()
	again := func(d time.Duration, node int) {
		time.AfterFunc(d, func() {
			if !m.w.over() {
				request(newClient(), http.MethodPost, m.w.nodes[node].serveOn, "/checkin", body, reportTimeout)
			}
		})
	}
	if late > 0 {
		again(late, node)
		time.Sleep(reportTimeout)
		return answer{err: errCut}
	}
	if copies {
		again(time.Duration(1000+m.w.draw(40_000))*time.Millisecond, m.w.draw(len(m.w.nodes)))
	}
	if cut {
		time.Sleep(reportTimeout)
		return answer{err: errCut}
	}
	return request(m.client, http.MethodPost, m.w.nodes[node].serveOn, "/checkin", body, reportTimeout)
}

func (m *machine) handle(a answer, sentAt time.Time, tether uint64, node int) {
	next := (node + 1) % len(m.w.nodes)
	switch a.status {
	case http.StatusOK:
		var r struct {
			Rein  *uint64   `cbor:"rein"`
			Calls []command `cbor:"calls"`
		}
		if decode(a.body, &r) != nil {
			m.node = next
			return
		}
		late := time.Since(sentAt) > reportTimeout
		if late || tether != m.tether || r.Rein == nil || *r.Rein < m.rein {
			return
		}
		m.raise(*r.Rein)
		if sentAt.After(m.leaseStart) {
			m.leaseStart = sentAt
		}
		m.execute(r.Calls, "reply of "+m.w.nodes[node].label)
	case http.StatusMisdirectedRequest:
		var r struct {
			Drover string `cbor:"drover"`
		}
		_ = decode(a.body, &r)
		for i, n := range m.w.nodes {
			if n.label == r.Drover && i != node {
				m.node = i
				m.nextReport = time.Now()
				return
			}
		}
		fallthrough
	default:
		m.node = next
		m.nextReport = time.Now().Add(nextNodeWait)
		m.lastReport = time.Now().Add(nextNodeWait - minReportGap)
	}
}

func (m *machine) raise(rein uint64) {
	if rein > m.rein {
		m.rein = rein
		m.changed = true
	}
}

// ServeHTTP serves direct commands.
func (m *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m.mu.Lock()
	late := m.lateOrders
	m.mu.Unlock()
	if late > 0 {
		path := r.URL.Path
		time.AfterFunc(late, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.dead {
				m.expireIfDue()
				m.serveBody(httptest.NewRecorder(), path, body)
			}
		})
		hang(r.Context(), time.Minute)
	}
	m.mu.Lock()
	for !m.dead && (m.cut || time.Now().Before(m.upAt) || time.Now().Before(m.hungUntil)) {
		m.mu.Unlock()
		select {
		case <-r.Context().Done():
			// A command that has arrived is executed all the same.
		case <-time.After(tickInterval):
		}
		if m.w.over() {
			return
		}
		time.Sleep(tickInterval)
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.dead {
		panic(http.ErrAbortHandler)
	}
	m.expireIfDue()
	m.serveBody(rw, r.URL.Path, body)
}

// serveBody answers a request. The caller holds the lock.
func (m *machine) serveBody(rw http.ResponseWriter, path string, body []byte) {
	if path == "/show" {
		reply(rw, http.StatusOK, m.status())
		return
	}
	var orders struct {
		Rein   *uint64   `cbor:"rein"`
		Tether *uint64   `cbor:"tether"`
		Calls  []command `cbor:"calls"`
	}
	if decode(body, &orders) != nil || orders.Rein == nil || orders.Tether == nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	if *orders.Rein < m.rein || *orders.Tether != m.tether {
		reply(rw, http.StatusConflict, m.status())
		return
	}
	m.raise(*orders.Rein)
	m.execute(orders.Calls, "orders")
	reply(rw, http.StatusOK, m.status())
}

func (m *machine) find(c command) int {
	return slices.IndexFunc(m.tasks, func(t *task) bool { return t.name == c.Load && t.attempt == c.Mount })
}

func (m *machine) execute(calls []command, from string) {
	for _, c := range calls {
		i := m.find(c)
		m.w.note("%s %s %s mount %d by %s", m.id, c.Call, c.Load, c.Mount, from)
		switch {
		case c.Call == "run" && i < 0:
			m.start(c)
		case c.Call == "halt" && i >= 0:
			m.halt(m.tasks[i], c)
		case c.Call == "clear" && i >= 0 && m.tasks[i].stance == "exited":
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

func (m *machine) start(c command) {
	m.changed = true
	t := &task{name: c.Load, attempt: c.Mount, stance: "fetching"}
	m.tasks = append(m.tasks, t)
	job, index := m.w.jobOf(c.Load)
	if job == nil {
		t.stance, t.cause = "exited", "unknown"
		return
	}
	t.job, t.index = job.id, index
	cpus, mem := m.breed.cpus, m.breed.mem
	for _, other := range m.tasks {
		if other == t || other.stance == "exited" {
			continue
		}
		if other.name == t.name {
			t.stance, t.cause = "exited", "in_use"
			return
		}
		if o, _ := m.w.jobOf(other.name); o != nil {
			cpus -= o.cpus
			mem -= o.mem
		}
	}
	if cpus+1e-6 < job.cpus || mem+1e-6 < job.mem {
		t.stance, t.cause = "exited", "no_room"
		return
	}
	t.endsAt = time.Now()
	if !m.images[job.image] {
		t.endsAt = time.Now().Add(seconds(job.sizeGb / m.breed.fetch))
	}
}

func (m *machine) halt(t *task, c command) {
	if t.stance == "exited" {
		return
	}
	m.changed = true
	job, _ := m.w.jobOf(t.name)
	slack := 0.0
	if c.SlackS != nil {
		slack = *c.SlackS
	}
	switch {
	case t.stance == "flushing" && slack > 0:
	case t.stance == "running" && job.restS > 0 && slack >= job.stowS:
		job.save(t.index, t.progress())
		t.stance = "flushing"
		t.endsAt = time.Now().Add(seconds(job.stowS))
	default:
		m.left(t)
		t.stance, t.cause = "exited", "halted"
	}
}

// progress returns how much of the task is done by now.
func (t *task) progress() time.Duration { return t.progressAt + time.Since(t.startedAt) }

func (m *machine) advance() {
	now := time.Now()
	for _, t := range m.tasks {
		if t.stance == "exited" {
			continue
		}
		job, _ := m.w.jobOf(t.name)
		if t.stance == "running" && job.restS > 0 && t.progress() > job.saved(t.index)+seconds(job.restS) {
			job.save(t.index, t.progress())
		}
		if now.Before(t.endsAt) {
			continue
		}
		m.changed = true
		switch t.stance {
		case "fetching":
			m.images[job.image] = true
			if job.isDone(t.index) {
				t.stance, t.cause = "exited", "done"
				m.w.check.startedDone(m, t, job)
				continue
			}
			t.stance = "running"
			t.startedAt = now
			t.progressAt = job.saved(t.index)
			t.endsAt = now.Add(job.runTime(t.index) - t.progressAt)
			if m.sick || job.broken {
				t.endsAt = now.Add(300 * time.Millisecond)
			}
			m.w.check.started(m, t, job)
		case "running":
			m.left(t)
			t.stance, t.cause = "exited", "done"
			if m.sick || job.broken {
				t.cause = "error"
			} else {
				job.complete(t.index)
			}
		case "flushing":
			m.left(t)
			t.stance, t.cause, t.kept = "exited", "halted", true
		}
	}
}

func (m *machine) String() string {
	return fmt.Sprintf("%s(%s,%s,spot=%v)", m.id, m.breed.name, m.zone, m.spot)
}
