package quota

import (
	"math/rand/v2"
	"slices"

	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
)

const (
	ms  = micros.Millisecond
	sec = micros.Second
)

// leaseDuration is how long a controller may grant after it last reached the store.
const leaseDuration = 3 * sec

// world simulates several controllers that grant quota of groups whose records are in one
// store. Messages are lost or delayed, processes end, and limits change. Its checks run at
// every tick, write and start of a task. They use the simulated tasks and the store alone, so
// that they do not rely on Ledger.
type world struct {
	plan   worldPlan
	rng    *rand.Rand
	now    Micros
	events eventqueue.Queue
	config Config

	definitions []Definition // the options of all controllers
	store       map[string]storedRecord
	revision    uint64           // the latest of the store
	owners      []simulatedOwner // by shard
	leader      int              // the ID of a controller
	controllers []*simulatedController
	tasks       []*simulatedTask

	grants      int
	writes      int
	changes     map[ChangeKind]int
	violations  []string
	longestWait Micros // the longest time that a task waited although free quota had room for it
}

// worldPlan describes a simulation: its size, its load and its duration.
type worldPlan struct {
	controllers int // also the number of shards
	duration    Micros
	// storeFaults lets the store carry out writes late and lose responses.
	storeFaults bool
	// taskSizes are the CPUs that a task may use, all equally likely.
	taskSizes []float64
	// waitingPerShard is how many tasks are kept waiting in each shard, until
	// demandEndsBeforeEnd before the end of the simulation.
	waitingPerShard int
	// maxTaskDuration is how long a task runs at most. 0 means defaultMaxTaskDuration.
	maxTaskDuration Micros
	// wantedGroups returns the groups in which a shard has tasks. nil means all groups.
	wantedGroups func(shard int, now Micros) []string
}

const (
	demandEndsBeforeEnd    = 60 * sec
	defaultMaxTaskDuration = 2 * sec
)

// storedRecord is a record in the store. Its revision is 0 if the group has no record.
type storedRecord struct {
	record      Record
	modRevision uint64
}

// noOwner stands for the controller of a shard without an owner.
const noOwner = -1

// simulatedOwner is the owner of a shard according to the store.
type simulatedOwner struct {
	controller  int    // its ID, or noOwner
	modRevision uint64 // of the shard's owner key
}

func newWorld(seed uint64, plan worldPlan, definitions []Definition) *world {
	w := &world{
		plan:        plan,
		rng:         rand.New(rand.NewPCG(seed, 9)),
		config:      Config{Shards: plan.controllers, Timing: DefaultTiming()},
		definitions: definitions,
		store:       map[string]storedRecord{},
		revision:    1,
		owners:      make([]simulatedOwner, plan.controllers),
		changes:     map[ChangeKind]int{},
	}
	const mostDriftPPM = 500
	for i := range plan.controllers {
		w.owners[i].controller = noOwner
		c := &simulatedController{world: w, id: i, clockDriftPPM: w.rng.Int64N(mostDriftPPM + 1)}
		w.controllers = append(w.controllers, c)
	}
	for _, c := range w.controllers {
		c.start()
	}
	w.after(20*ms, w.tick)
	return w
}

// after calls f after the duration d.
func (w *world) after(d Micros, f func()) { w.events.Add(w.now+d, f) }

// randomDuration draws a duration between from and to, both included.
func (w *world) randomDuration(from, to Micros) Micros {
	return from + Micros(w.rng.Int64N(int64(to-from)+1))
}

// chance returns true with the given probability.
func (w *world) chance(probability float64) bool { return w.rng.Float64() < probability }

// run runs the simulation until its end, or until a check fails.
func (w *world) run() {
	for w.now < w.plan.duration && len(w.violations) == 0 {
		at, f := w.events.Take() // never empty, since every tick adds the next
		w.now = max(w.now, at)
		f()
	}
}

// tick lets the controllers renew their leases, acquire shards without an owner, grant, and
// report usage. It also ends the ownership of controllers whose lease has expired, and picks a
// random leader if the present one does not run or has no valid lease.
func (w *world) tick() {
	w.after(w.randomDuration(40*ms, 60*ms), w.tick)
	for _, c := range w.controllers {
		c.renewLease()
	}
	for shard := range w.owners {
		owner := &w.owners[shard]
		if owner.controller != noOwner && w.now >= w.controllers[owner.controller].leaseUntil {
			owner.controller = noOwner
		}
		if owner.controller == noOwner {
			w.acquireShard(shard)
		}
	}
	if leader := w.controllers[w.leader]; leader.ledger == nil || w.now >= leader.leaseUntil {
		w.leader = w.rng.IntN(len(w.controllers))
	}
	for _, c := range w.controllers {
		c.act()
	}
	w.check()
}

// acquireShard gives a shard to a random controller, most often the one with the shard's
// number, if that controller runs and reaches the store.
func (w *world) acquireShard(shard int) {
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	if w.chance(0.7) {
		c = w.controllers[shard]
	}
	if c.ledger == nil || c.cutOff() {
		return
	}
	w.revision++
	w.owners[shard] = simulatedOwner{controller: c.id, modRevision: w.revision}
	c.shards[shard] = w.revision
	c.step(ShardAcquired{Shard: shard})
	incarnation := c.incarnation
	w.after(w.randomDuration(ms, 80*ms), func() {
		if c.incarnation == incarnation {
			c.readAllRecords(shard)
		}
	})
}

// storedGroups returns the names of the groups that have a record, sorted.
func (w *world) storedGroups() []string {
	var groups []string
	for group := range w.store {
		groups = append(groups, group)
	}
	slices.Sort(groups)
	return groups
}

// definedGroups returns the names of the configured groups, in the order of the options.
func (w *world) definedGroups() (groups []string) {
	for _, d := range w.definitions {
		groups = append(groups, d.Name)
	}
	return groups
}

// enclosingGroups returns a group and all groups around it, the innermost first.
func (w *world) enclosingGroups(group string) (path []string) {
	for group != "" {
		path = append(path, group)
		parent := ""
		for _, d := range w.definitions {
			if d.Name == group {
				parent = d.Parent
			}
		}
		group = parent
	}
	return path
}

// setLimit changes a group's limit in the options of all controllers.
func (w *world) setLimit(group string, cpus float64) {
	w.definitions = slices.Clone(w.definitions)
	for i := range w.definitions {
		if w.definitions[i].Name == group {
			w.definitions[i].Limit = CPULimit(cpus)
		}
	}
}
