package main

import (
	"fmt"
	"image/color"
	"math/rand/v2"

	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
	"garnethitch/quota"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// quotaCommand compares three ways to keep a limit across controllers, in a simulation
// with full demand: allowances (package quota), one owner that all ask, a write per grant.
type quotaCommand struct {
	Seed    uint64 `default:"1" help:"The first seed."`
	Repeats int    `default:"9" help:"Seeds, for the noise."`
	Plot    string `default:"docs/img/quota.png" help:"Where the plot goes."`
}

const (
	ms  = micros.Millisecond
	sec = micros.Second

	controllers = 3
	limitBefore = 300.0
	limitAfter  = 150.0
	taskMean    = 4 * sec
	// writeRate is the store's, for all controllers together.
	writeRate = 40.0
	ownerEnds = 40 * sec // and is replaced after failover
	takeover  = 6 * sec
	lowerAt   = 80 * sec
	cutFor    = 10 * sec
	runLength = 120 * sec
)

// way is one way to keep a limit.
type way interface {
	// want asks for a start by a controller; start is called if and when it is granted.
	want(node int, start func())
	// ended says that a task has ended.
	ended(node int)
	// back says that the controller that had ended is replaced.
	back()
	// lower lowers the limit.
	lower(limit float64)
	// inForce tells whether the limit that was lowered to holds.
	inForce() bool
	writes() int
}

// bench is one run of a way.
type bench struct {
	rng     *rand.Rand
	now     micros.Micros
	queue   eventqueue.Queue
	way     way
	running [controllers]int
	dead    int           // the controller that has ended; -1: none
	cut     int           // the one that does not reach the store; -1: none
	tokens  float64       // of the store's write budget
	filled  micros.Micros // when they were last added to
	grants  int
	unused  []float64
	stalled micros.Micros // the longest without a grant
	lastAt  micros.Micros
	lowered micros.Micros // when the lowered limit was in force; 0: not yet
	points  plotter.XYs
}

func (b *bench) after(d micros.Micros, f func()) {
	b.queue.Add(b.now+d, f)
}

func (b *bench) span(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(b.rng.Int64N(int64(to-from)+1))
}

// mayWrite takes a write of the store's budget.
func (b *bench) mayWrite() bool {
	b.tokens = min(writeRate, b.tokens+writeRate*(b.now-b.filled).Seconds())
	b.filled = b.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// demand keeps work waiting at every controller.
const demand = 400

func (b *bench) ask(node int) {
	b.way.want(node, func() {
		b.running[node]++
		b.grants++
		b.stalled = max(b.stalled, b.now-b.lastAt)
		b.lastAt = b.now
		b.after(b.span(taskMean/2, taskMean*3/2), func() {
			b.running[node]--
			b.way.ended(node)
			b.ask(node)
		})
	})
}

func (b *bench) sample() {
	b.after(100*ms, b.sample)
	used := 0
	for _, n := range b.running {
		used += n
	}
	b.points = append(b.points, plotter.XY{X: b.now.Seconds(), Y: float64(used)})
	switch {
	case b.now > 10*sec && b.now < ownerEnds:
		b.unused = append(b.unused, (limitBefore-float64(used))/limitBefore)
	case b.now > lowerAt && b.lowered == 0 && b.way.inForce():
		b.lowered = b.now
	}
}

// play runs a way; cut: a controller is cut off just before the limit is lowered.
func (b *bench) play(cut bool) {
	for range demand {
		for node := range controllers {
			b.ask(node)
		}
	}
	b.sample()
	b.after(ownerEnds, func() { b.dead = 0 })
	b.after(ownerEnds+takeover, func() {
		b.dead = -1
		b.way.back()
	})
	if cut {
		b.after(lowerAt-sec, func() { b.cut = 2 })
		b.after(lowerAt-sec+cutFor, func() { b.cut = -1 })
	}
	b.after(lowerAt, func() { b.way.lower(limitAfter) })
	for b.now < runLength {
		var f func()
		b.now, f = b.queue.Take() // there is always a sample to take
		f()
	}
}

func newBench(seed uint64, make func(*bench) way) *bench {
	b := &bench{rng: rand.New(rand.NewPCG(seed, 3)), dead: -1, cut: -1, tokens: writeRate}
	b.way = make(b)
	return b
}

// oneOwner: controller 0 counts for all; the others ask it.
type oneOwner struct {
	b     *bench
	limit float64
	used  float64
	queue []func()
}

func (o *oneOwner) want(_ int, start func()) {
	o.b.after(o.b.span(ms, 4*ms), func() {
		o.queue = append(o.queue, start)
		o.grant()
	})
}

func (o *oneOwner) grant() {
	for o.b.dead != 0 && len(o.queue) > 0 && o.used < o.limit {
		start := o.queue[0]
		o.queue = o.queue[1:]
		o.used++
		o.b.after(o.b.span(ms, 4*ms), start)
	}
}

func (o *oneOwner) ended(int) {
	o.b.after(o.b.span(ms, 4*ms), func() {
		o.used--
		o.grant()
	})
}

func (o *oneOwner) back() { o.grant() }

func (o *oneOwner) lower(limit float64) { o.limit = limit }
func (o *oneOwner) inForce() bool       { return o.used <= o.limit }
func (o *oneOwner) writes() int         { return 0 }

// writePerGrant: each start and end is a conditional write of one record.
type writePerGrant struct {
	b      *bench
	limit  float64
	used   float64
	count  int
	queues [controllers][]func()
	ends   [controllers]int
	busy   [controllers]bool
}

func (w *writePerGrant) want(node int, start func()) {
	w.queues[node] = append(w.queues[node], start)
	w.write(node)
}

func (w *writePerGrant) ended(node int) {
	w.ends[node]++
	w.write(node)
}

// write sends the next write of a controller: ends together, starts one by one.
func (w *writePerGrant) write(node int) {
	if w.busy[node] {
		return
	}
	w.busy[node] = true
	w.b.after(w.b.span(2*ms, 10*ms), func() {
		again := func(d micros.Micros) {
			w.busy[node] = false
			w.b.after(d, func() { w.write(node) })
		}
		switch {
		case w.ends[node] == 0 && (len(w.queues[node]) == 0 || w.used >= w.limit):
			again(20 * ms)
		case w.b.dead == node || w.b.cut == node:
			again(100 * ms)
		case !w.b.mayWrite():
			again(w.b.span(20*ms, 60*ms))
		case w.ends[node] > 0:
			w.count++
			w.used -= float64(w.ends[node])
			w.ends[node] = 0
			again(0)
		default:
			w.count++
			start := w.queues[node][0]
			w.queues[node] = w.queues[node][1:]
			w.used++
			w.b.after(w.b.span(2*ms, 10*ms), start)
			again(0)
		}
	})
}

func (w *writePerGrant) back() {}

func (w *writePerGrant) lower(limit float64) { w.limit = limit }
func (w *writePerGrant) inForce() bool       { return w.used <= w.limit }
func (w *writePerGrant) writes() int         { return w.count }

// allowances: package quota over a simulated store.
type allowances struct {
	b           *bench
	rec         quota.Record
	modRevision uint64
	count       int
	ledgers     [controllers]*quota.Ledger
	queues      [controllers][]func()
	used        [controllers]float64
}

const group = "all"

func newAllowances(b *bench) way {
	a := &allowances{b: b, modRevision: 1}
	a.rec = quota.Record{Definition: quota.Definition{Name: group, Teams: []string{"t"}, Limit: quota.CPULimit(limitBefore)}, Epoch: 1}
	for i := range a.ledgers {
		a.ledgers[i] = quota.NewLedger(quota.Config{Shards: controllers, Timing: quota.DefaultTiming()})
		a.step(i, quota.Held{Shard: i})
		a.step(i, quota.Learned{Group: group, Record: a.rec, ModRevision: a.modRevision})
		a.step(i, quota.Refreshed{Shard: i})
		a.reportUsage(i)
	}
	return a
}

func (a *allowances) want(node int, start func()) {
	a.queues[node] = append(a.queues[node], start)
	a.grant(node)
}

func (a *allowances) ended(node int) {
	a.used[node]--
	a.grant(node)
}

func (a *allowances) grant(node int) {
	for a.b.dead != node && len(a.queues[node]) > 0 && a.used[node] < a.ledgers[node].Allowed(node, group).CPUs {
		start := a.queues[node][0]
		a.queues[node] = a.queues[node][1:]
		a.used[node]++
		a.ledgers[node].Granted(node, group, quota.Amount{CPUs: 1})
		a.b.after(0, start)
	}
}

// reportUsage is what the controller does four times a second.
func (a *allowances) reportUsage(node int) {
	a.b.after(250*ms, func() { a.reportUsage(node) })
	if a.b.dead == node {
		return
	}
	team := quota.TeamDemand{Groups: []string{group}, Used: quota.Amount{CPUs: a.used[node]}}
	if n := len(a.queues[node]); n > 0 {
		team.Waiting = []quota.WaitingTasks{{Size: quota.Amount{CPUs: 1}, Count: n, SinceMS: 1}}
	}
	a.step(node, quota.Used{Shard: node, Groups: a.ledgers[node].Claims(node, true, []quota.TeamDemand{team})})
}

func (a *allowances) step(node int, in quota.Input) {
	now := quota.Instant{Steady: a.b.now, WallMS: a.b.now.Millis()}
	for _, e := range a.ledgers[node].Step(now, in) {
		switch e := e.(type) {
		case quota.Write:
			a.write(node, e)
		case quota.Read:
			a.deliver(node)
		}
	}
	a.grant(node)
}

func (a *allowances) write(node int, w quota.Write) {
	a.b.after(a.b.span(2*ms, 10*ms), func() {
		out := quota.Wrote{ID: w.ID, Outcome: quota.Refused}
		switch {
		case a.b.dead == node || a.b.cut == node || !a.b.mayWrite():
			out.Outcome = quota.NotSent
		case a.modRevision == w.ModRevision:
			a.modRevision++
			a.count++
			a.rec, out.Outcome, out.ModRevision = w.Record, quota.Applied, a.modRevision
			for other := range a.ledgers {
				a.deliver(other)
			}
		}
		a.b.after(a.b.span(2*ms, 10*ms), func() { a.step(node, out) })
	})
}

// deliver brings the record by a read or a watch.
func (a *allowances) deliver(node int) {
	rec, modRevision := a.rec, a.modRevision
	a.b.after(a.b.span(5*ms, 100*ms), func() {
		if a.b.cut == node || a.b.dead == node {
			a.b.after(500*ms, func() { a.deliver(node) })
			return
		}
		a.step(node, quota.Learned{Group: group, Record: rec, ModRevision: modRevision})
	})
}

func (a *allowances) back() {}

func (a *allowances) lower(limit float64) {
	l := quota.CPULimit(limit)
	a.step(1, quota.Set{Token: 1, Group: group, Limit: &l})
}

func (a *allowances) inForce() bool {
	return a.rec.Limit.Equal(quota.CPULimit(limitAfter)) && a.rec.InForce(controllers)
}

func (a *allowances) writes() int { return a.count }

// Run plays the ways.
func (q *quotaCommand) Run() error {
	ways := []struct {
		name string
		make func(*bench) way
		line color.Color
	}{
		{"allowances", newAllowances, color.RGBA{R: 20, G: 90, B: 200, A: 255}},
		{"one owner", func(b *bench) way { return &oneOwner{b: b, limit: limitBefore} }, color.RGBA{R: 200, G: 80, B: 20, A: 255}},
		{"a write per grant", func(b *bench) way { return &writePerGrant{b: b, limit: limitBefore} }, color.RGBA{R: 90, G: 140, B: 60, A: 255}},
	}
	chart := plot.New()
	chart.Title.Text = "CPUs used of a limit of 300, lowered to 150 at 80 s; a controller ends from 40 to 46 s"
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", "CPUs used"
	chart.Y.Min = 0
	for _, w := range ways {
		var rate, writes, unused, stall, quiet, cut []float64
		for i := range q.Repeats {
			b := newBench(q.Seed+uint64(i), w.make)
			b.play(false)
			rate = append(rate, float64(b.grants)/runLength.Seconds())
			writes = append(writes, 1000*float64(b.way.writes())/float64(b.grants))
			for _, u := range b.unused {
				unused = append(unused, 100*u)
			}
			stall = append(stall, b.stalled.Seconds())
			quiet = append(quiet, toInForce(b))
			c := newBench(q.Seed+uint64(i), w.make)
			c.play(true)
			cut = append(cut, toInForce(c))
			if i > 0 {
				continue
			}
			line, err := plotter.NewLine(b.points)
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			line.Color = w.line
			chart.Add(line)
			chart.Legend.Add(w.name, line)
		}
		fmt.Printf("%s\n  grants a second: %s\n  writes per thousand grants: %s\n  unused of the limit, in 100: %s\n  longest without a grant, s: %s\n  announced to in force, s: %s\n  the same, one controller cut off for %g s: %s\n",
			w.name, figuresOf(rate), figuresOf(writes), figuresOf(unused), figuresOf(stall), figuresOf(quiet), cutFor.Seconds(), figuresOf(cut))
	}
	chart.Legend.Top = true
	if err := chart.Save(22*vg.Centimeter, 10*vg.Centimeter, q.Plot); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// toInForce is how long a lowered limit took to hold, in seconds.
func toInForce(b *bench) float64 {
	if b.lowered == 0 {
		return (runLength - lowerAt).Seconds()
	}
	return (b.lowered - lowerAt).Seconds()
}
