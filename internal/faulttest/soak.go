package faulttest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"garnethitch/internal/micros"
)

// A soak runs controllers as real processes beside users who cancel, ask and repeat all the
// time, through faults drawn from a seed. Its checker reads only what workers and users saw.

// SoakPlan says what a soak is made of.
type SoakPlan struct {
	Seed    uint64
	Nodes   int
	Workers int
	Length  time.Duration
	// Questions is how many times a second users ask all controllers about jobs that nobody
	// submitted, each of which takes a read; StateRPS and WriteRPS are the limits of the
	// state service, 0: plenty.
	Questions, StateRPS, WriteRPS float64
	Binary                        string
	Dir                           string // for settings and logs
	// Only, if not empty, are the numbers of the faults that are played.
	Only []int
}

// SoakResult is what came about.
type SoakResult struct {
	Jobs, Cancelled, Tasks, Answers int
	Faults                          int
	// Questions counts those about jobs that nobody submitted, Refused the answers that
	// could not be given. Unanswered is the longest that a job was asked about in vain.
	Questions, Refused int
	Unanswered         time.Duration
	Broken             []string
}

func (r SoakResult) String() string {
	return fmt.Sprintf("%d jobs, %d called cancelled, %d tasks started, %d answers to users, %.1f s unanswered at most, %d other questions, %d refused, %d troubles, %d breaks",
		r.Jobs, r.Cancelled, r.Tasks, r.Answers, r.Unanswered.Seconds(), r.Questions, r.Refused, r.Faults, len(r.Broken))
}

// SoakTimes keep about the proportions of the real settings (leases of 4 and 45 s, 70 s to
// cancel, a heartbeat every 10 s), with the fixed margin of 3 s that the bounds take.
func SoakTimes() ClusterTimes {
	return ClusterTimes{
		HeartbeatInterval: time.Second, WorkerLease: 6 * time.Second, Cancel: 13 * time.Second, ControllerLease: time.Second,
		TaskFrom: 2 * time.Second, TaskTo: 40 * time.Second,
	}
}

// FaultKind is what goes wrong.
type FaultKind int

// Kinds of faults.
const (
	FaultKill FaultKind = iota
	FaultKillOwner
	FaultFreeze
	FaultCutFromState
	FaultRefused
	FaultRefusedJobs
	FaultLateWrites
	FaultLinkHeld
	FaultLinkReset
	FaultOutage
	FaultMachinesHang
	FaultMachinesDeaf
	FaultMachinesMute
	FaultLateReports
	FaultMachinesSeldom
	faultKindCount
)

var faultNames = [faultKindCount]string{"kill", "kill owner", "freeze", "cut from state", "refused", "refused jobs", "late writes", "link held", "link reset",
	"outage", "machines hang", "machines hear nothing", "machines reach nobody", "late reports", "machines are heard seldom"}

// Fault is one thing that goes wrong.
type Fault struct {
	At, Duration time.Duration
	Kind         FaultKind
	Node, Other  int
	Fraction     float64
}

func (t Fault) String() string {
	return fmt.Sprintf("%5.1f s: %s, node %d, other %d, share %.2f, for %.1f s", t.At.Seconds(), faultNames[t.Kind], t.Node, t.Other, t.Fraction, t.Duration.Seconds())
}

// Faults draws what goes wrong, from the seed alone; two or three overlap, and owners end
// in series.
func (p SoakPlan) Faults() (list []Fault) {
	r := rand.New(rand.NewPCG(p.Seed, 11))
	draw := func(from, to time.Duration) time.Duration { return from + time.Duration(r.Int64N(int64(to-from))) }
	add := func(at time.Duration, kind FaultKind, d time.Duration) {
		node := r.IntN(p.Nodes)
		list = append(list, Fault{At: at, Duration: d, Kind: kind, Node: node, Other: (node + 1 + r.IntN(p.Nodes-1)) % p.Nodes, Fraction: 0.1 + 0.4*r.Float64()})
	}
	calm := SoakTimes().Cancel
	for at := 4 * time.Second; at < p.Length-calm; at += draw(time.Second, 3*time.Second) {
		add(at, FaultKind(r.IntN(int(faultKindCount))), draw(300*time.Millisecond, 8*time.Second))
		if r.IntN(8) == 0 {
			add(at, FaultMachinesSeldom, draw(12*time.Second, 24*time.Second))
			for i := range time.Duration(6) { // owners in series
				add(at+i*(seldomEvery+500*time.Millisecond), FaultKillOwner, draw(50*time.Millisecond, 2*time.Second))
			}
		}
	}
	list = slices.DeleteFunc(list, func(t Fault) bool { return t.At > p.Length-2*time.Second })
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
	return list
}

// PlaySoak plays a soak to its end.
func PlaySoak(p SoakPlan) (SoakResult, error) {
	c, err := NewCluster(ClusterPlan{Seed: p.Seed, Nodes: p.Nodes, Machines: p.Workers, Teams: []string{"kigali", "rubavu", "karongi"},
		Binary: p.Binary, Dir: p.Dir, Times: SoakTimes(), StateRPS: p.StateRPS, WriteRPS: p.WriteRPS})
	if err != nil {
		return SoakResult{}, err
	}
	s := &soak{cluster: c, plan: p}
	began := time.Now()
	var users sync.WaitGroup
	for i := range max(p.Workers/6, 6) {
		users.Add(1)
		go func() {
			defer users.Done()
			s.user(i, began.Add(p.Length-4*time.Second))
		}()
	}
	if p.Questions > 0 {
		users.Add(1)
		go func() {
			defer users.Done()
			s.askAboutOthers(began.Add(p.Length - 4*time.Second))
		}()
	}
	played := 0
	for i, t := range p.Faults() {
		if len(p.Only) > 0 && !slices.Contains(p.Only, i) {
			continue
		}
		c.pause(time.Until(began.Add(t.At)))
		c.bring(t)
		played++
	}
	c.pause(time.Until(began.Add(p.Length)))
	users.Wait()
	c.Close()
	return s.result(played), nil
}

// bring brings one fault about.
func (c *Cluster) bring(t Fault) {
	n := c.nodes[t.Node]
	fault := func(set func(f *stateFaults, until time.Time)) {
		c.mu.Lock()
		defer c.mu.Unlock()
		set(&n.faults, time.Now().Add(t.Duration))
	}
	machines := func(of func(f *machineFaults) *time.Time) {
		for _, m := range c.machines {
			if c.chance(t.Fraction) {
				m.faults.set(of(&m.faults), t.Duration)
			}
		}
	}
	switch t.Kind {
	case FaultKill:
		c.End(t.Node, t.Duration/4)
	case FaultKillOwner:
		c.End(c.mostClaims(), t.Duration)
	case FaultFreeze:
		if n.process != nil {
			n.process.freeze(t.Duration)
		}
	case FaultCutFromState:
		c.Cut(t.Node, t.Duration)
	case FaultRefused:
		fault(func(f *stateFaults, until time.Time) { f.refuseUntil = until })
	case FaultRefusedJobs:
		for _, o := range c.nodes {
			n = o
			fault(func(f *stateFaults, until time.Time) { f.jobsUntil = until })
		}
	case FaultLateWrites:
		fault(func(f *stateFaults, until time.Time) { f.lateUntil = until })
	case FaultLinkHeld, FaultLinkReset:
		for _, l := range c.links {
			if l.from == t.Node && l.to == t.Other {
				l.cut(t.Kind == FaultLinkHeld, t.Duration)
			}
		}
	case FaultOutage:
		c.server.Clock.Run(func() { c.server.State.SetOutage(c.server.Clock.Now() + micros.FromDuration(t.Duration)) })
	case FaultMachinesHang:
		machines(func(f *machineFaults) *time.Time { return &f.hungUntil })
	case FaultMachinesDeaf:
		machines(func(f *machineFaults) *time.Time { return &f.deafUntil })
	case FaultMachinesMute:
		machines(func(f *machineFaults) *time.Time { return &f.mutedUntil })
	case FaultMachinesSeldom:
		machines(func(f *machineFaults) *time.Time { return &f.seldomUntil })
	case FaultLateReports:
		machines(func(f *machineFaults) *time.Time { return &f.copies })
	}
}

// mostClaims is the controller that holds the most locks by the state service.
func (c *Cluster) mostClaims() (node int) {
	var holds map[string]int
	c.server.Clock.Run(func() { holds = c.server.State.LocksByController() })
	for i, n := range c.nodes {
		if holds[n.set.Label] > holds[c.nodes[node].set.Label] {
			node = i
		}
	}
	return node
}
