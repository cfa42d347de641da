package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type team struct {
	name          string
	cpus, cpusMax float64
}

// settings are those of a small deployment.
type settings struct {
	nodes       int
	zones       []string
	teams       []team
	objectives  string
	report      time.Duration
	workerLease time.Duration
	cancel      time.Duration
	restart     time.Duration // until a process that ended is started again
	state       stateLimits
	stateNext   string
	cloudRPS    float64
	listLag     time.Duration
	coreShare   float64
	ramMB       float64
	sockets     int
}

// magnolia returns the settings of the ledger division's first deployment.
func magnolia() settings {
	return settings{
		nodes: 3, zones: []string{"jackson", "birmingham"},
		teams: []team{{"controllers", 88, 168}, {"ap-desk", 40, 144}, {"tax-prep", 72, 200}, {"audit-support", 56, 144}},
		objectives: "\n[[cluster.objectives]]\nkind = \"wait\"\nclass = \"close-rush\"\nwithin_s = 30.0\nshare = 0.94\n" +
			"\n[[cluster.objectives]]\nkind = \"finished\"\nclass = \"close-rush\"\nwithin_s = 70.0\nshare = 0.94\n" +
			"\n[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 30.0\nshare = 0.8\n",
		report: 3 * time.Second, workerLease: 19 * time.Second, cancel: 49 * time.Second, restart: 5 * time.Second,
		state:    stateLimits{rps: 200, writeRPS: 40, valueBytes: 32 << 10, txnOps: 24},
		cloudRPS: 8, listLag: 6 * time.Second, coreShare: 0.072, ramMB: 179, sockets: 1800,
	}
}

// clerkTypes are the machine types of the ledger division.
func clerkTypes() []machineType {
	return []machineType{
		{name: "clerk-box", cpus: 4, mem: 8, fetch: 0.5, bootS: 25, zones: []string{"jackson", "birmingham"}, prices: [2]float64{0.23, 0.09}},
		{name: "vault-box", cpus: 32, mem: 64, fetch: 0.5, bootS: 35, zones: []string{"jackson"}, prices: [2]float64{1.81, 0.81}},
	}
}

// inkingi returns the settings of the boat parts association's first deployment.
func inkingi() settings {
	return settings{
		nodes: 3, zones: []string{"karongi", "kigali", "rubavu", "rusizi"}, teams: []team{{"fitters-desk", 0, 0}},
		objectives: "\n[[cluster.objectives]]\nkind = \"wait\"\nclass = \"shaft-checks\"\nwithin_s = 4.0\nshare = 0.82\n" +
			"\n[[cluster.objectives]]\nkind = \"finished\"\nclass = \"quote-runs\"\nwithin_s = 90.0\nshare = 0.8\n",
		report: 3 * time.Second, workerLease: 45 * time.Second, cancel: 70 * time.Second, restart: 3 * time.Second,
		state:    stateLimits{rps: 150, writeRPS: 25, valueBytes: 8 << 10, txnOps: 8},
		cloudRPS: 5, listLag: 3 * time.Second, coreShare: 0.24, ramMB: 451, sockets: 5000,
	}
}

func quadTypes() []machineType {
	return []machineType{{name: "quad-small", cpus: 4, mem: 16, fetch: 0.5, bootS: 35, zones: []string{"karongi", "kigali", "rubavu", "rusizi"}, prices: [2]float64{0.19, 0.05}}}
}

// job is a job that a user has, as the user and the workers know it.
type job struct {
	id       string
	crew     string
	loads    int
	cpus     float64
	mem      float64
	image    string
	sizeGb   float64
	breeds   []string
	paddock  string
	oneZone  bool
	apart    bool
	strays   bool
	restS    float64
	stowS    float64
	follows  []string
	broken   bool // its tasks fail on every machine
	duration func(index int) time.Duration
	body     []byte

	mu       sync.Mutex
	done     map[int]bool
	progress map[int]time.Duration
	accepted bool
	stance   string    // what its user was told last
	askedAt  time.Time // when its user asked first to cancel it
	toldAt   time.Time // when its user was told that it is cancelled
}

func (j *job) isDone(i int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[i]
}

func (j *job) complete(i int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[i] = true
}

func (j *job) allDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done) == j.loads
}

func (j *job) save(i int, progress time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.progress[i] = progress
}

func (j *job) saved(i int) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress[i]
}

func (j *job) runTime(i int) time.Duration { return j.duration(i) }

// world is the deployment: controllers as processes, everything else as stand-ins.
type world struct {
	settings     settings
	dir, run     string
	logLevel     string
	oldRun       string // command of the version in production; empty: all run the new one
	began        time.Time
	nodes        []*node
	state        *stateService
	cloud        *cloud
	cloudAddress string
	check        *checker
	bootTime     func(*machineType) time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	jobs    map[string]*job
	record  *os.File
	stopped atomic.Bool
	nextJob int
}

func newWorld(s settings, types []machineType, dir, run, recordPath string, seed uint64) *world {
	w := &world{settings: s, dir: dir, run: run, logLevel: "info", began: time.Now(), rng: rand.New(rand.NewPCG(seed, 2)), jobs: map[string]*job{}}
	w.bootTime = func(t *machineType) time.Duration { return seconds(t.bootS) }
	file, err := os.Create(recordPath)
	if err != nil {
		cannotRun("record: %v", err)
	}
	w.record = file
	w.check = newChecker(w)
	w.state = newStateService(s.state, s.nodes)
	w.cloud = &cloud{w: w, types: types, capacity: map[string]int{}, hires: map[string][]string{}}
	w.cloudAddress = serve(w.cloud)
	for i := range s.nodes {
		n := &node{w: w, index: i, label: fmt.Sprintf("hitchpost-%d", i), site: s.zones[i%len(s.zones)],
			serveOn: freeAddress(), internalAddr: freeAddress(), state: serve(w.state.handler(i))}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		for _, to := range w.nodes {
			if to != n {
				n.links = append(n.links, newLink(to))
			}
		}
	}
	return w
}

func (w *world) start() {
	for _, n := range w.nodes {
		n.start()
	}
}

// stop ends all processes that were started.
func (w *world) stop() {
	w.stopped.Store(true)
	for _, n := range w.nodes {
		n.kill()
	}
}

func (w *world) over() bool { return w.stopped.Load() }

func (w *world) at() float64 { return time.Since(w.began).Seconds() }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.at(), fmt.Sprintf(format, args...))
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (w *world) jobOf(task string) (*job, int) {
	id, digits, _ := strings.Cut(task, "/")
	index := -1
	_, _ = fmt.Sscanf(digits, "%d", &index)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || index < 0 || index >= j.loads {
		return nil, 0
	}
	return j, index
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// spec describes a job to submit. Zero values take defaults.
type spec struct {
	herd, crew, rank string
	loads            int
	cpus, mem        float64
	runS             float64
	image            string
	sizeGb           float64
	breeds           []string
	paddock          string
	oneZone, apart   bool
	noStrays         bool
	restS, stowS     float64
	dueS             float64
	haulS            float64
	follows          []string
	broken           bool
}

// newJob registers a job under the next id: its user uploads its description before submitting it.
func (w *world) newJob(s spec) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextJob++
	j := &job{id: fmt.Sprintf("job-%06d", w.nextJob), crew: s.crew, loads: max(s.loads, 1), cpus: s.cpus, mem: s.mem, image: s.image, sizeGb: s.sizeGb,
		breeds: s.breeds, paddock: s.paddock, oneZone: s.oneZone, apart: s.apart, strays: !s.noStrays, restS: s.restS, stowS: s.stowS,
		follows: s.follows, broken: s.broken, done: map[int]bool{}, progress: map[int]time.Duration{}}
	if j.image == "" {
		j.image = "img-01"
	}
	run := seconds(s.runS)
	j.duration = func(i int) time.Duration { return run + time.Duration(i%7)*run/20 }
	body := object{"nameId": j.id, "herd": s.herd, "crew": s.crew, "gait": "sweep", "rank": s.rank, "loads": j.loads, "cpus": s.cpus, "gpus": 0.0, "memGb": s.mem,
		"tack": j.image, "sizeGb": s.sizeGb, "breeds": nil, "paddock": nil, "oneZone": s.oneZone, "apart": s.apart, "strays": j.strays,
		"haulS": s.haulS, "restS": s.restS, "stowS": s.stowS, "dueS": nil}
	if s.haulS == 0 {
		body["haulS"] = s.runS
	}
	if s.breeds != nil {
		body["breeds"] = s.breeds
	}
	if s.paddock != "" {
		body["paddock"] = s.paddock
	}
	if s.dueS > 0 {
		body["dueS"] = s.dueS
	}
	if s.follows != nil {
		body["follows"] = s.follows
	}
	j.body = encode(body)
	w.jobs[j.id] = j
	return j
}

// userRequest sends one request through the load balancer's choice of nodes: a healthy node, or
// another one if it refuses the connection.
func (w *world) userRequest(client *http.Client, only int, method, path string, body []byte, timeout time.Duration) (answer, *node) {
	first := w.draw(len(w.nodes))
	if only >= 0 {
		first = only
	}
	var a answer
	var n *node
	for i := range w.nodes {
		n = w.nodes[(first+i)%len(w.nodes)]
		if n.cutFromUsers.Load() {
			a = answer{err: errCut}
			continue
		}
		a = request(client, method, n.serveOn, path, body, timeout)
		if a.status != 0 || only >= 0 || !strings.Contains(fmt.Sprint(a.err), "refused") {
			break
		}
	}
	return a, n
}

// submit submits a job until it is accepted, is refused for good, or the time is over. It returns the
// last status.
func (w *world) submit(j *job, tries time.Duration) int {
	client := newClient()
	defer client.CloseIdleConnections()
	last := 0
	for end := time.Now().Add(tries); time.Now().Before(end) && !w.over(); {
		a, n := w.userRequest(client, -1, http.MethodPost, "/submissions", j.body, 5*time.Second)
		last = a.status
		w.note("user submits %s at %s: %s", j.id, n.label, describe(a))
		switch a.status {
		case http.StatusOK, http.StatusCreated:
			w.check.told(j, a, n)
			return a.status
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.check.refused(j, a.status)
			return a.status
		}
		time.Sleep(max(a.retryAfter, time.Second))
	}
	return last
}

func stanceOf(a answer) string {
	var r struct {
		Stance string `cbor:"stance"`
	}
	if decode(a.body, &r) != nil {
		return ""
	}
	return r.Stance
}

func describe(a answer) string {
	if a.status == 0 {
		return "no answer"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, stanceOf(a)))
}

// poll asks once for a job's state, and returns the status and the stance.
func (w *world) poll(j *job, only int) (int, string) {
	client := newClient()
	defer client.CloseIdleConnections()
	a, n := w.userRequest(client, only, http.MethodGet, "/submissions/"+j.id, nil, 2*time.Second)
	w.note("user polls %s at %s: %s", j.id, n.label, describe(a))
	w.check.polled(j, a, n)
	return a.status, stanceOf(a)
}

// pollUntil polls a job at intervals until it is over, or the time has passed. It reports whether the
// job is over.
func (w *world) pollUntil(j *job, interval, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && !w.over(); time.Sleep(interval) {
		if _, stance := w.poll(j, -1); stance == "done" || stance == "cancelled" {
			return true
		}
	}
	return false
}

// withdraw asks to cancel a job until there is an answer, and returns the stance.
func (w *world) withdraw(j *job, tries time.Duration) string {
	client := newClient()
	defer client.CloseIdleConnections()
	j.mu.Lock()
	j.askedAt = time.Now()
	j.mu.Unlock()
	for end := time.Now().Add(tries); time.Now().Before(end) && !w.over(); {
		a, n := w.userRequest(client, -1, http.MethodPost, "/submissions/"+j.id+"/withdraw", nil, 5*time.Second)
		w.note("user withdraws %s at %s: %s", j.id, n.label, describe(a))
		if a.status == http.StatusOK {
			w.check.told(j, a, n)
			return stanceOf(a)
		}
		time.Sleep(max(a.retryAfter, time.Second))
	}
	return ""
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(d time.Duration) {
	client := newClient()
	defer client.CloseIdleConnections()
	for _, n := range w.nodes {
		for end := time.Now().Add(d); ; time.Sleep(200 * time.Millisecond) {
			if a := request(client, http.MethodGet, n.serveOn, "/ready", nil, time.Second); a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				cannotRunIn(w, "%s is not ready", n.label)
			}
		}
	}
	w.note("all controllers are ready")
}

// awaitOwners waits until each shard and the lead have an owner.
func (w *world) awaitOwners(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.state.mu.Lock()
		held := 0
		for key, stored := range w.state.keys {
			if stored.lease != 0 && strings.HasPrefix(key, "ctl/") {
				held++
			}
		}
		w.state.mu.Unlock()
		if held > w.settings.nodes {
			return
		}
	}
}

// busiest returns the node that holds the most locks.
func (w *world) busiest() *node {
	held := w.holders()
	best := w.nodes[0]
	for _, n := range w.nodes {
		if len(held[n.label]) > len(held[best.label]) {
			best = n
		}
	}
	return best
}

// holders returns the keys bound to a lease by the label in their value.
func (w *world) holders() map[string][]string {
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	held := map[string][]string{}
	for key, stored := range w.state.keys {
		if stored.lease == 0 {
			continue
		}
		var owner struct {
			Label string `cbor:"label"`
		}
		if decode(stored.value, &owner) == nil {
			held[owner.Label] = append(held[owner.Label], key)
		}
	}
	return held
}

// cutNode cuts a node from the state service, the other nodes, the workers' reports and the users.
func (w *world) cutNode(n *node, on bool) {
	w.note("%s cut off: %v", n.label, on)
	w.state.setFault(n.index, stateFault{cut: on})
	w.cutPeers(n, on)
	n.cutFromWorkers.Store(on)
	n.cutFromUsers.Store(on)
}

// cutPeers holds back what passes between a node and the others.
func (w *world) cutPeers(n *node, on bool) {
	for _, from := range w.nodes {
		for _, l := range from.links {
			if from == n || l.to == n {
				l.set(on, false)
			}
		}
	}
}

var current atomic.Pointer[world]

func cannotRun(format string, args ...any) { cannotRunIn(current.Load(), format, args...) }

// cannotRunIn ends the program with 2: the case could not run.
func cannotRunIn(w *world, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(os.Stderr, "can't run:", text)
	if w != nil {
		w.note("can't run: %s", text)
		w.stop()
	}
	os.Exit(2)
}

func tempDir(base string) string {
	dir, err := os.MkdirTemp(base, "garnethitch-review-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	return filepath.Clean(dir)
}
