package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// quotaCommand compares three ways to enforce a limit across controllers, in a simulation with
// full demand: allowances (package quota), one owner that grants for all controllers, and a write
// per grant.
type quotaCommand struct {
	Seed    uint64 `default:"1" help:"The first seed."`
	Repeats int    `default:"9" help:"Seeds, for the noise."`
	Plot    string `default:"docs/img/quota.png" help:"Where the plot goes."`
}

// comparedMechanism is a mechanism with its name and its color in the plot.
type comparedMechanism struct {
	name  string
	new   func(*quotaRun) mechanism
	color color.Color
}

func comparedMechanisms() []comparedMechanism {
	return []comparedMechanism{
		{"allowances", newAllowances, color.RGBA{R: 20, G: 90, B: 200, A: 255}},
		{"one owner", func(r *quotaRun) mechanism { return &oneOwner{run: r, limit: initialLimit} }, color.RGBA{R: 200, G: 80, B: 20, A: 255}},
		{"a write per grant", func(r *quotaRun) mechanism { return &writePerGrant{run: r, limit: initialLimit} }, color.RGBA{R: 90, G: 140, B: 60, A: 255}},
	}
}

// Run simulates the mechanisms, prints their figures and saves the plot of the first seed.
func (q *quotaCommand) Run() error {
	chart := newChart()
	for _, m := range comparedMechanisms() {
		points := q.compare(m)
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = m.color
		chart.Add(line)
		chart.Legend.Add(m.name, line)
	}
	if err := chart.Save(22*vg.Centimeter, 10*vg.Centimeter, q.Plot); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func newChart() *plot.Plot {
	chart := plot.New()
	chart.Title.Text = "CPUs used of a limit of 300, lowered to 150 at 80 s; a controller is down from 40 to 46 s"
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "CPUs used"
	chart.Y.Min = 0
	chart.Legend.Top = true
	return chart
}

// compare simulates a mechanism with each seed, prints its figures, and returns the CPUs in use
// with the first seed.
func (q *quotaCommand) compare(m comparedMechanism) (first plotter.XYs) {
	var rate, writes, unused, longestStall, inForce, inForceCut []float64
	for i := range q.Repeats {
		seed := q.Seed + uint64(i)
		run := newQuotaRun(seed, m.new)
		run.simulate(false)
		rate = append(rate, float64(run.grants)/runLength.Seconds())
		writes = append(writes, 1000*float64(run.mechanism.writes())/float64(run.grants))
		for _, fraction := range run.unusedFractions {
			unused = append(unused, 100*fraction)
		}
		longestStall = append(longestStall, run.longestStall.Seconds())
		inForce = append(inForce, enforcementDelay(run))
		runWithCut := newQuotaRun(seed, m.new)
		runWithCut.simulate(true)
		inForceCut = append(inForceCut, enforcementDelay(runWithCut))
		if i == 0 {
			first = run.usage
		}
	}
	fmt.Printf("%s\n  grants a second: %s\n  writes per thousand grants: %s\n  unused part of the limit, percent: %s\n  longest time without a grant, s: %s\n  announced to in force, s: %s\n  the same, one controller cut off for %g s: %s\n",
		m.name, summarize(rate), summarize(writes), summarize(unused), summarize(longestStall), summarize(inForce), cutDuration.Seconds(), summarize(inForceCut))
	return first
}
