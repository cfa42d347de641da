package faulttest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"garnethitch/internal/micros"
)

const (
	// soakSeedStream separates the random numbers of a soak's faults from others of the same seed.
	soakSeedStream = 11
	// firstFaultAt is when the first fault begins, and faultsEndMargin is how long before the
	// end of a soak the last one may begin.
	firstFaultAt    = 4 * time.Second
	faultsEndMargin = 2 * time.Second
	// ownerKillsInSeries is how many owners are killed one after the other while machines are
	// rarely reached.
	ownerKillsInSeries = 6
)

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults. A seed selects them by number: in another order it would give other faults.
const (
	FaultKill FaultKind = iota
	FaultKillOwner
	FaultFreeze
	FaultCutFromState
	FaultStateRefuses
	FaultStateRefusesJobs
	FaultLateWrites
	FaultLinkHeld
	FaultLinkReset
	FaultStateOutage
	FaultMachinesHang
	FaultMachinesReceiveNothing
	FaultMachinesSendNothing
	FaultLateHeartbeats
	FaultMachinesRarelyReached
	faultKindCount
)

// String returns the kind in words.
func (k FaultKind) String() string {
	names := [faultKindCount]string{
		"kill", "kill owner", "freeze", "cut from state", "state refuses", "state refuses jobs", "late writes", "link held", "link reset",
		"outage of the state service", "machines hang", "machines receive nothing", "machines send nothing", "late heartbeats", "machines rarely reached",
	}
	return names[k]
}

// Fault is one fault of a soak.
type Fault struct {
	At, Duration time.Duration
	Kind         FaultKind
	Node, Other  int     // indexes of controllers
	Fraction     float64 // of the machines that are affected
}

// String returns the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%5.1f s: %s, node %d, other %d, fraction %.2f, for %.1f s", f.At.Seconds(), f.Kind, f.Node, f.Other, f.Fraction, f.Duration.Seconds())
}

// faultGenerator generates random faults.
type faultGenerator struct {
	rng    *rand.Rand
	nodes  int
	faults []Fault
}

// Faults returns the faults of the soak in order of time. The plan alone determines them. Two or
// three faults overlap most of the time, and at times owners are killed one after the other.
func (p SoakPlan) Faults() []Fault {
	g := &faultGenerator{rng: rand.New(rand.NewPCG(p.Seed, soakSeedStream)), nodes: p.Nodes}
	faultFreeTime := SoakTimes().CancelWithin
	for at := firstFaultAt; at < p.Length-faultFreeTime; at += g.drawDuration(time.Second, 3*time.Second) {
		kind := FaultKind(g.rng.IntN(int(faultKindCount)))
		g.add(at, kind, g.drawDuration(300*time.Millisecond, 8*time.Second))
		if g.rng.IntN(8) == 0 {
			g.addOwnerKillSeries(at)
		}
	}
	faults := slices.DeleteFunc(g.faults, func(f Fault) bool { return f.At > p.Length-faultsEndMargin })
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// addOwnerKillSeries kills owners one after the other while machines are rarely reached.
func (g *faultGenerator) addOwnerKillSeries(at time.Duration) {
	g.add(at, FaultMachinesRarelyReached, g.drawDuration(12*time.Second, 24*time.Second))
	for i := range time.Duration(ownerKillsInSeries) {
		g.add(at+i*(rareReplyInterval+500*time.Millisecond), FaultKillOwner, g.drawDuration(50*time.Millisecond, 2*time.Second))
	}
}

func (g *faultGenerator) add(at time.Duration, kind FaultKind, duration time.Duration) {
	node := g.rng.IntN(g.nodes)
	other := (node + 1 + g.rng.IntN(g.nodes-1)) % g.nodes
	fraction := 0.1 + float64(0.4*g.rng.Float64())
	g.faults = append(g.faults, Fault{At: at, Duration: duration, Kind: kind, Node: node, Other: other, Fraction: fraction})
}

func (g *faultGenerator) drawDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(g.rng.Int64N(int64(to-from)))
}

// inject injects one fault.
func (c *Cluster) inject(f Fault) {
	switch f.Kind {
	case FaultKill, FaultKillOwner, FaultFreeze:
		c.injectProcessFault(f)
	case FaultLinkHeld, FaultLinkReset:
		c.injectLinkFault(f)
	case FaultStateOutage:
		c.server.Clock.Run(func() {
			c.server.State.SetOutage(c.server.Clock.Now() + micros.FromDuration(f.Duration))
		})
	case FaultCutFromState, FaultStateRefuses, FaultStateRefusesJobs, FaultLateWrites:
		c.injectStateFault(f)
	default:
		c.injectMachineFault(f)
	}
}

func (c *Cluster) injectProcessFault(f Fault) {
	switch f.Kind {
	case FaultKill:
		c.Restart(f.Node, f.Duration/4)
	case FaultKillOwner:
		c.Restart(c.nodeWithMostLocks(), f.Duration)
	case FaultFreeze:
		if process := c.nodes[f.Node].process; process != nil {
			process.freeze(f.Duration)
		}
	}
}

// nodeWithMostLocks returns the controller that holds the most locks in the state service.
func (c *Cluster) nodeWithMostLocks() (node int) {
	var locks map[string]int
	c.server.Clock.Run(func() { locks = c.server.State.LocksByController() })
	for i, n := range c.nodes {
		if locks[n.settings.Label] > locks[c.nodes[node].settings.Label] {
			node = i
		}
	}
	return node
}

func (c *Cluster) injectLinkFault(f Fault) {
	for _, l := range c.links {
		if l.from != f.Node || l.to != f.Other {
			continue
		}
		if f.Kind == FaultLinkHeld {
			l.hold(f.Duration)
		} else {
			l.reset(f.Duration)
		}
	}
}

func (c *Cluster) injectStateFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(f.Duration)
	faults := &c.nodes[f.Node].faults
	switch f.Kind {
	case FaultCutFromState:
		faults.cutUntil = until
	case FaultStateRefuses:
		faults.refuseUntil = until
	case FaultLateWrites:
		faults.delayWritesUntil = until
	case FaultStateRefusesJobs:
		for _, n := range c.nodes {
			n.faults.refuseJobsUntil = until
		}
	}
}

func (c *Cluster) injectMachineFault(f Fault) {
	fault := map[FaultKind]machineFault{
		FaultMachinesHang:           faultHangs,
		FaultMachinesReceiveNothing: faultReceivesNothing,
		FaultMachinesSendNothing:    faultSendsNothing,
		FaultLateHeartbeats:         faultDuplicates,
		FaultMachinesRarelyReached:  faultRarelyReached,
	}[f.Kind]
	for _, m := range c.machines {
		if c.chance(f.Fraction) {
			m.faults.begin(fault, f.Duration)
		}
	}
}
