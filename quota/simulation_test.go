package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
)

const (
	ms  = micros.Millisecond
	sec = micros.Second
)

// world is a simulation of several controllers that grant from groups over one store,
// through losses, delays, ends and changes of limits. check is called after every change,
// and knows nothing of Ledger.
type world struct {
	rng     *rand.Rand
	now     Micros
	events  eventqueue.Queue
	cfg     Config
	store   map[string]storedRecord
	rev     uint64
	owner   []uint64 // the mark of each shard's owner key
	by      []int    // the controller that owns it; -1: none
	leader  int
	nodes   []*node
	tasks   []*task
	defs    []Definition
	plan    worldPlan
	grants  int
	writes  int
	broken  []string
	waited  Micros // the longest that a fitting task waited beside free quota
	changes map[ChangeKind]int
}

type worldPlan struct {
	nodes  int
	length Micros
	faults bool
	// sizes are what tasks take; demand is how many each shard wants at a time.
	sizes  []float64
	demand int
	// longest is how long a task lasts at most; 0: 2 s.
	longest Micros
	// only wants tasks in these groups; nil: in all.
	only func(shard int, now Micros) []string
}

type storedRecord struct {
	rec         Record
	modRevision uint64
}

// node is one controller.
type node struct {
	w                 *world
	id                int
	ledger            *Ledger
	life              int
	shards            map[int]uint64 // owned, as it believes, with the mark
	cutOff            Micros         // until then it does not reach the store
	stalled           Micros         // until then its watch brings nothing
	lease             Micros         // until then it may grant
	nextUsageReportAt Micros
	rate              int64        // its steady clock runs this many millionths fast
	defs              []Definition // its options, where they differ from the others'
}

// task runs, or waits, for a shard; group is the innermost that it is in.
type task struct {
	shard  int
	group  string
	size   float64
	run    bool
	since  Micros
	fitted Micros // since when it would have fitted beside free quota; 0: it did not
}

const leaseFor = 3 * sec

func newWorld(seed uint64, p worldPlan, defs []Definition) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), plan: p, defs: defs, store: map[string]storedRecord{}, changes: map[ChangeKind]int{}, rev: 1,
		cfg: Config{Shards: p.nodes, Timing: DefaultTiming()}, owner: make([]uint64, p.nodes), by: make([]int, p.nodes)}
	for i := range p.nodes {
		w.by[i] = -1
		w.nodes = append(w.nodes, &node{w: w, id: i, rate: w.rng.Int64N(501)})
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.after(20*ms, w.tick)
	return w
}

func (w *world) after(d Micros, f func()) {
	w.events.Add(w.now+d, f)
}

func (w *world) span(from, to Micros) Micros { return from + Micros(w.rng.Int64N(int64(to-from)+1)) }

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) play() {
	for w.now < w.plan.length && len(w.broken) == 0 {
		at, f := w.events.Take() // there is always a tick
		w.now = max(w.now, at)
		f()
	}
}

// start begins a process that knows nothing.
func (n *node) start() {
	n.life++
	n.ledger = NewLedger(n.w.cfg)
	n.shards = map[int]uint64{}
	n.lease = n.w.now + leaseFor
	for shard, by := range n.w.by {
		if by == n.id { // the former process's; it is gone
			n.w.by[shard] = -1
		}
	}
}

// end ends the process; its shards are claimed once its lease is over.
func (n *node) end(back Micros) {
	n.life++
	n.ledger = nil
	n.w.after(back, n.start)
}

// tick lets the controllers renew, claim, grant and tell what they use.
func (w *world) tick() {
	w.after(w.span(40*ms, 60*ms), w.tick)
	for _, n := range w.nodes {
		if n.ledger != nil && w.now >= n.cutOff {
			if w.now >= n.lease { // it hears that its lease is over, and lets all go
				n.loseShards()
			}
			n.lease = w.now + leaseFor
		}
	}
	for shard := range w.owner {
		if by := w.by[shard]; by >= 0 && (w.nodes[by].ledger == nil || w.nodes[by].shards[shard] != w.owner[shard]) && w.now >= w.nodes[by].lease {
			w.by[shard] = -1
		} else if by >= 0 && w.now >= w.nodes[by].lease {
			w.by[shard] = -1
		}
		if w.by[shard] < 0 {
			w.claim(shard)
		}
	}
	if l := w.nodes[w.leader]; l.ledger == nil || w.now >= l.lease {
		w.leader = w.rng.IntN(len(w.nodes))
	}
	for _, n := range w.nodes {
		n.act()
	}
	w.check()
}

func (n *node) loseShards() {
	for shard := range n.w.owner {
		modRevision, mine := n.shards[shard]
		if !mine {
			continue
		}
		if n.w.owner[shard] == modRevision {
			n.w.by[shard] = -1
		}
		delete(n.shards, shard)
		n.step(Dropped{Shard: shard})
	}
}

// claim gives a shard to a controller that reaches the store.
func (w *world) claim(shard int) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if w.chance(0.7) {
		n = w.nodes[shard]
	}
	if n.ledger == nil || w.now < n.cutOff {
		return
	}
	w.rev++
	w.owner[shard], w.by[shard] = w.rev, n.id
	n.shards[shard] = w.rev
	n.step(Held{Shard: shard})
	life := n.life
	w.after(w.span(ms, 80*ms), func() {
		if n.life != life || w.now < n.cutOff {
			if n.life == life { // tries again
				w.by[shard] = -1
				delete(n.shards, shard)
				n.step(Dropped{Shard: shard})
			}
			return
		}
		for _, name := range w.sortedGroups() {
			n.step(Learned{Group: name, Record: w.store[name].rec.clone(), ModRevision: w.store[name].modRevision})
		}
		n.step(Refreshed{Shard: shard})
	})
}

func (w *world) sortedNames() (names []string) {
	for _, d := range w.defs {
		names = append(names, d.Name)
	}
	return names
}

func (w *world) sortedGroups() []string {
	var out []string
	for name := range w.store {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// act grants what fits, and tells the ledger of use.
func (n *node) act() {
	w := n.w
	if n.ledger == nil {
		return
	}
	for shard, modRevision := range n.shards {
		if w.owner[shard] != modRevision && w.now >= n.stalled { // it sees that it was replaced
			delete(n.shards, shard)
			n.step(Dropped{Shard: shard})
		}
	}
	mayGrant := w.now < n.lease
	// Use is told now and then only; grants go on meanwhile.
	tells := w.now >= n.nextUsageReportAt
	if tells {
		n.nextUsageReportAt = w.now + 250*ms
	}
	for shard := range w.owner {
		if _, mine := n.shards[shard]; !mine {
			continue
		}
		if mayGrant {
			n.grant(shard)
		}
		if tells {
			n.reportUsage(shard)
		}
	}
	if w.leader == n.id && w.now < n.lease {
		defs := w.defs
		if n.defs != nil {
			defs = n.defs
		}
		n.step(Announce{Definitions: defs})
	}
	n.step(Tick{})
}

// path is a group and all around it.
func (w *world) path(group string) (path []string) {
	for group != "" {
		path = append(path, group)
		parent := ""
		for _, d := range w.defs {
			if d.Name == group {
				parent = d.Parent
			}
		}
		group = parent
	}
	return path
}

// inGroup tells whether a task counts in a group.
func (w *world) inGroup(t *task, group string) bool { return slices.Contains(w.path(t.group), group) }

func (w *world) used(shard int, group string) (sum float64) {
	for _, t := range w.tasks {
		if t.run && (shard < 0 || t.shard == shard) && w.inGroup(t, group) {
			sum += t.size
		}
	}
	return sum
}

// grant starts the waiting tasks of a shard that fit.
func (n *node) grant(shard int) {
	w := n.w
	waiting := 0
	for _, t := range w.tasks {
		if t.shard == shard && !t.run {
			waiting++
		}
	}
	for ; waiting < w.plan.demand && w.now < w.plan.length-60*sec; waiting++ {
		groups := w.sortedNames()
		if w.plan.only != nil {
			groups = w.plan.only(shard, w.now)
		}
		if len(groups) == 0 {
			break
		}
		w.tasks = append(w.tasks, &task{shard: shard, group: groups[w.rng.IntN(len(groups))], size: w.plan.sizes[w.rng.IntN(len(w.plan.sizes))], since: w.now})
	}
	for _, t := range w.tasks {
		if t.shard != shard || t.run {
			continue
		}
		fits := true
		for _, g := range w.path(t.group) {
			allowed := n.ledger.Allowed(shard, g)
			used := Amount{CPUs: w.used(shard, g)}.Plus(Amount{CPUs: t.size})
			fits = fits && used.Within(allowed)
		}
		if !fits {
			continue
		}
		t.run, t.since = true, w.now
		for _, g := range w.path(t.group) {
			n.ledger.Granted(shard, g, Amount{CPUs: t.size})
		}
		w.grants++
		w.check()
		n.checkAcknowledged(t)
		longest := 2 * sec
		if w.plan.longest != 0 {
			longest = w.plan.longest
		}
		w.after(w.span(100*ms, longest), func() { w.finish(t) })
	}
}

func (w *world) finish(t *task) {
	if i := slices.Index(w.tasks, t); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
}

// checkAcknowledged: no controller grants above a limit that it has acknowledged.
func (n *node) checkAcknowledged(t *task) {
	for _, g := range n.w.path(t.group) {
		rec := n.w.store[g].rec
		i := rec.Row(t.shard)
		if i < 0 || rec.Rows[i].Seen != rec.Epoch || rec.Removed {
			continue
		}
		if used := (Amount{CPUs: n.w.used(t.shard, g)}); !used.Within(rec.Limit.Amount()) {
			n.w.broken = append(n.w.broken, fmt.Sprintf("%.3f s: share %d grants %g of %s, its owner has acknowledged %s", n.w.now.Seconds(), t.shard, used.CPUs, g, rec.Limit))
		}
	}
}

// stopTasks stops what a Reclaim asks for.
func (w *world) stopTasks(e Reclaim) {
	over := e.Over.CPUs
	for _, t := range slices.Clone(w.tasks) {
		if over > epsilon && t.run && t.shard == e.Shard && w.inGroup(t, e.Group) {
			over -= t.size
			w.after(w.span(10*ms, 300*ms), func() { w.finish(t) })
		}
	}
}

// reportUsage tells the ledger what a shard uses and wants. Each group has a team of its own.
func (n *node) reportUsage(shard int) {
	w := n.w
	var teams []TeamDemand
	for _, d := range w.defs {
		team := TeamDemand{Groups: w.path(d.Name)}
		for _, t := range w.tasks {
			switch {
			case t.shard != shard || t.group != d.Name:
			case t.run:
				team.Used.CPUs += t.size
			default:
				team.Waiting = append(team.Waiting, WaitingTasks{Size: Amount{CPUs: t.size}, Count: 1, SinceMS: max(t.since.Millis(), 1)})
			}
		}
		teams = append(teams, team)
	}
	n.step(Used{Shard: shard, Groups: n.ledger.Claims(shard, true, teams)})
}

// step feeds the ledger, and carries out what follows with delays and losses.
func (n *node) step(in Input) []Effect {
	if n.ledger == nil {
		return nil
	}
	steady := n.w.now + Micros(int64(n.w.now)*n.rate/1_000_000)
	effects := n.ledger.Step(Instant{Steady: steady, WallMS: n.w.now.Millis()}, in)
	for _, e := range effects {
		switch e := e.(type) {
		case Write:
			n.write(e)
		case Read:
			n.read(e.Group)
		case Reclaim:
			n.w.stopTasks(e)
		case Changed:
			n.w.changes[e.Kind]++
		}
	}
	return effects
}

func (n *node) write(e Write) {
	w, life := n.w, n.life
	done := func(o Outcome, modRevision uint64) {
		if n.life == life {
			n.step(Wrote{ID: e.ID, Outcome: o, ModRevision: modRevision})
		}
	}
	fences := map[int]uint64{}
	for _, s := range e.Shards {
		fences[s] = n.shards[s]
	}
	leads := w.leader == n.id
	if w.now < n.cutOff {
		late := w.chance(0.3) // held back, and carried out after the cut
		if late {
			w.after(n.cutOff-w.now+w.span(0, 4*sec), func() { w.apply(e, fences, leads && w.leader == n.id) })
		}
		w.after(sec, func() { done(Unknown, 0) })
		return
	}
	w.after(w.span(ms, 15*ms), func() {
		if w.plan.faults && w.chance(0.05) { // carried out late
			w.after(w.span(0, 5*sec), func() { w.apply(e, fences, leads && w.leader == n.id) })
			w.after(sec, func() { done(Unknown, 0) })
			return
		}
		modRevision, ok := w.apply(e, fences, leads && w.leader == n.id)
		if w.plan.faults && w.chance(0.05) { // the answer is lost
			w.after(sec, func() { done(Unknown, 0) })
			return
		}
		o := Refused
		if ok {
			o = Applied
		}
		w.after(w.span(ms, 15*ms), func() { done(o, modRevision) })
	})
}

// apply carries a write out if its conditions are met.
func (w *world) apply(e Write, fences map[int]uint64, leads bool) (uint64, bool) {
	if w.store[e.Group].modRevision != e.ModRevision || e.Leader && !leads {
		return 0, false
	}
	for s, modRevision := range fences {
		if w.owner[s] != modRevision {
			return 0, false
		}
	}
	// A late write of a former owner is void only if it names the shards that it changes.
	for _, row := range e.Record.Rows {
		was := w.store[e.Group].rec
		if _, fenced := fences[row.Shard]; !fenced && (was.Row(row.Shard) < 0 || was.Rows[was.Row(row.Shard)] != row) {
			w.broken = append(w.broken, fmt.Sprintf("%.3f s: a write of %s changes the row of share %d, and does not say so", w.now.Seconds(), e.Group, row.Shard))
		}
	}
	w.rev++
	w.writes++
	w.store[e.Group] = storedRecord{e.Record.clone(), w.rev}
	w.check()
	for _, n := range w.nodes {
		n.watch(e.Group)
	}
	return w.rev, true
}

// watch brings a record to a controller, in its time.
func (n *node) watch(group string) {
	w, life := n.w, n.life
	rec := w.store[group]
	d := w.span(ms, 120*ms)
	if w.now < n.stalled {
		d += n.stalled - w.now
	}
	if w.now < n.cutOff {
		d = max(d, n.cutOff-w.now+w.span(ms, 100*ms))
	}
	w.after(d, func() {
		if n.life == life {
			n.step(Learned{Group: group, Record: rec.rec.clone(), ModRevision: rec.modRevision})
		}
	})
}

func (n *node) read(group string) {
	w, life := n.w, n.life
	w.after(max(w.span(ms, 20*ms), n.cutOff-w.now), func() {
		if n.life == life && w.store[group].modRevision != 0 {
			n.step(Learned{Group: group, Record: w.store[group].rec.clone(), ModRevision: w.store[group].modRevision})
		}
	})
}

// check holds what runs against the limits in force.
func (w *world) check() {
	for name, s := range w.store {
		used := w.used(-1, name)
		if s.rec.Applied != nil && !s.rec.Removed && !(Amount{CPUs: used}).Within(s.rec.Applied.Amount()) {
			w.broken = append(w.broken, fmt.Sprintf("%.3f s: %s uses %g, in force is %s", w.now.Seconds(), name, used, s.rec.Applied))
		}
		for _, row := range s.rec.Rows {
			if u := w.used(row.Shard, name); s.rec.Applied != nil && !s.rec.Removed && !(Amount{CPUs: u}).Within(row.Allowance) {
				w.broken = append(w.broken, fmt.Sprintf("%.3f s: share %d uses %g of %s, its allowance is %g", w.now.Seconds(), row.Shard, u, name, row.Allowance.CPUs))
			}
		}
	}
	w.checkWaiting()
}

// checkWaiting notes how long a task waits beside quota that nobody has and nobody uses.
func (w *world) checkWaiting() {
	for _, t := range w.tasks {
		fits := !t.run
		for _, g := range w.path(t.group) {
			s := w.store[g]
			fits = fits && s.modRevision != 0 && s.rec.Applied != nil && !s.rec.Exceeded() && w.by[t.shard] >= 0 &&
				(Amount{CPUs: w.used(-1, g) + t.size}).Within(s.rec.Limit.Amount())
		}
		switch {
		case !fits:
			t.fitted = 0
		case t.fitted == 0:
			t.fitted = max(w.now, 1)
		default:
			w.waited = max(w.waited, w.now-t.fitted)
		}
	}
}

// setLimit changes a group's limit in the options.
func (w *world) setLimit(name string, cpus float64) {
	w.defs = slices.Clone(w.defs)
	for i := range w.defs {
		if w.defs[i].Name == name {
			w.defs[i].Limit = CPULimit(cpus)
		}
	}
}

// fault brings one fault about.
func (w *world) fault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(8) {
	case 0:
		if n.ledger != nil {
			n.end(w.span(10*ms, 6*sec))
		}
	case 1:
		n.cutOff = w.now + w.span(500*ms, 8*sec)
	case 2:
		n.stalled = w.now + w.span(sec, 10*sec)
	case 3: // all lose the store for longer than a lease
		until := w.now + w.span(sec, 6*sec)
		for _, o := range w.nodes {
			o.cutOff = until
		}
	case 4: // a shard is handed back, whatever is on its way
		if len(n.shards) > 0 && n.ledger != nil {
			n.loseShards()
		}
	case 5: // the options of one controller say something else for a while
		n.defs = slices.Clone(w.defs)
		n.defs[0].Limit = CPULimit(5)
		n.defs = n.defs[:1+w.rng.IntN(len(n.defs))]
		w.after(w.span(sec, 10*sec), func() { n.defs = nil })
	default:
		d := w.defs[w.rng.IntN(len(w.defs))]
		limits := []float64{0, 3, 8, 20, 40, 64}
		w.setLimit(d.Name, limits[w.rng.IntN(len(limits))])
		if w.chance(0.4) { // and again before it is in force
			w.after(w.span(0, 300*ms), func() { w.setLimit(d.Name, limits[w.rng.IntN(len(limits))]) })
		}
	}
}

// TestConcurrentGrants has several controllers grant the last shards of their groups
// through ends, cuts, late and lost writes and limits that change at any moment: what
// runs never exceeds the limit in force, nor an allowance.
func TestConcurrentGrants(t *testing.T) {
	nested := []Definition{
		{Name: "all", Limit: CPULimit(40)},
		{Name: "lake", Parent: "all", Limit: CPULimit(20)},
		{Name: "hill", Parent: "all", Limit: CPULimit(30)},
	}
	guaranteed := slices.Clone(nested)
	guaranteed[1].Guarantee = Amount{CPUs: 15}
	for _, tc := range []struct {
		name  string
		plan  worldPlan
		defs  []Definition
		seeds uint64
	}{
		{"two, one group", worldPlan{nodes: 2, sizes: []float64{1}, demand: 30}, []Definition{{Name: "all", Limit: CPULimit(20)}}, 6},
		{"three, pieces of several sizes", worldPlan{nodes: 3, sizes: []float64{1, 2, 4}, demand: 20}, []Definition{{Name: "all", Limit: CPULimit(20)}}, 6},
		{"three, one guaranteed", worldPlan{nodes: 3, sizes: []float64{1, 2}, demand: 20}, guaranteed, 6},
		{"three, nested", worldPlan{nodes: 3, sizes: []float64{1, 4}, demand: 20}, nested, 10},
		{"five, nested", worldPlan{nodes: 5, sizes: []float64{1, 2, 8}, demand: 12}, nested, 10},
	} {
		for seed := range tc.seeds {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				tc.plan.faults, tc.plan.length = true, 160*sec
				w := newWorld(seed, tc.plan, tc.defs)
				for at := 4 * sec; at < 90*sec; at += w.span(500*ms, 4*sec) {
					w.after(at, w.fault)
				}
				w.after(92*sec, func() { // all is well again
					w.defs, w.plan.faults = tc.defs, false
					for _, n := range w.nodes {
						n.cutOff, n.stalled = 0, 0
					}
				})
				w.play()
				for _, b := range w.broken {
					t.Error(b)
				}
				if w.grants < 200 || w.changes[Grown] == 0 || w.changes[Shrunk] == 0 || w.changes[Announced] < 5 || w.changes[InForce] < 3 {
					t.Errorf("too little happened: %d grants, %v", w.grants, w.changes)
				}
				for _, task := range w.tasks {
					if !task.run {
						t.Errorf("a task of %g in %s waits since %.3f s", task.size, task.group, task.since.Seconds())
					}
				}
				t.Logf("%d grants, %d writes, %v", w.grants, w.writes, w.changes)
			})
		}
	}
}

// TestGathered: in calm, no task waits for long beside quota that it fits into, however
// small the pieces that are spread over owners, and few writes are needed.
func TestGathered(t *testing.T) {
	const most = 4 * sec
	for _, tc := range []struct {
		name     string
		plan     worldPlan
		limit    float64
		perGrant float64
	}{
		{"pieces of several sizes", worldPlan{nodes: 3, sizes: []float64{1, 3, 7}, demand: 10}, 11, 2},
		{"a task takes nearly all", worldPlan{nodes: 3, sizes: []float64{9}, demand: 2}, 10, 4},
		{"two tasks fit", worldPlan{nodes: 5, sizes: []float64{5}, demand: 3}, 12, 3},
		{"plenty of small ones", worldPlan{nodes: 3, sizes: []float64{1}, demand: 40}, 80, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.plan.length = 110 * sec
			w := newWorld(1, tc.plan, []Definition{{Name: "all", Limit: CPULimit(tc.limit)}})
			w.play()
			for _, b := range w.broken {
				t.Error(b)
			}
			if w.waited > most {
				t.Errorf("a task waited %.1f s beside free quota that it fits into", w.waited.Seconds())
			}
			if float64(w.writes) > tc.perGrant*float64(w.grants) {
				t.Errorf("%d writes for %d grants", w.writes, w.grants)
			}
			for _, task := range w.tasks {
				if !task.run {
					t.Errorf("a task of %g waits since %.3f s", task.size, task.since.Seconds())
				}
			}
			t.Logf("%d grants, %d writes, longest wait %.2f s", w.grants, w.writes, w.waited.Seconds())
		})
	}
}

// TestGuarantee: what a group's guarantee has lent out is there within the stated time when
// its tasks come, also where the lender's owner is slow, cut off or ended.
func TestGuarantee(t *testing.T) {
	const comes = 20 * sec
	defs := []Definition{
		{Name: "all", Limit: CPULimit(40)},
		{Name: "lake", Parent: "all", Guarantee: Amount{CPUs: 15}},
		{Name: "hill", Parent: "all"},
	}
	// Shard 0 has tasks of lake only, from some moment on; the others fill all with hill's.
	only := func(shard int, now Micros) []string {
		switch {
		case shard != 0:
			return []string{"hill"}
		case now >= comes:
			return []string{"lake"}
		}
		return nil
	}
	for _, tc := range []struct {
		name   string
		fault  func(w *world)
		within Micros
	}{
		{"all well", func(*world) {}, 5 * sec},
		{"a lender's watch stands still", func(w *world) { w.nodes[1].stalled = w.now + 5*sec }, 10 * sec},
		{"the lenders are cut off", func(w *world) { w.nodes[1].cutOff, w.nodes[2].cutOff = w.now+8*sec, w.now+8*sec }, 14 * sec},
		{"the lenders end", func(w *world) { w.nodes[1].end(60 * sec); w.nodes[2].end(60 * sec) }, 12 * sec},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(3, worldPlan{nodes: 3, sizes: []float64{1}, demand: 60, longest: 300 * sec, only: only, length: 90 * sec}, defs)
			w.after(comes-sec, func() { tc.fault(w) })
			before, after := 0.0, 0.0
			w.after(comes-2*sec, func() { before = w.used(-1, "hill") })
			w.after(comes+tc.within, func() { after = w.used(-1, "lake") })
			w.play()
			for _, b := range w.broken {
				t.Error(b)
			}
			if before < 35 {
				t.Errorf("%g CPUs were lent before", before)
			}
			if after < 15 {
				t.Errorf("lake has %g CPUs %v s after its tasks came, its guarantee is 15", after, tc.within.Seconds())
			}
		})
	}
}
