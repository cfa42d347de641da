package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// quotaCommand compares three ways to enforce a limit across controllers, in a simulation
// with full demand: allowances (package quota), one owner that all ask, a write per grant.
type quotaCommand struct {
	Seed    uint64 `default:"1" help:"The first seed."`
	Repeats int    `default:"9" help:"Seeds, for the noise."`
	Plot    string `default:"docs/img/quota.png" help:"Where the plot goes."`
}

// comparedLimiter is one of the ways that are compared.
type comparedLimiter struct {
	name       string
	newLimiter func(*quotaSimulation) limiter
	line       color.Color
}

func comparedLimiters() []comparedLimiter {
	return []comparedLimiter{
		{"allowances", newAllowances, color.RGBA{R: 20, G: 90, B: 200, A: 255}},
		{"one owner", newSingleOwner, color.RGBA{R: 200, G: 80, B: 20, A: 255}},
		{"a write per grant", newWritePerGrant, color.RGBA{R: 90, G: 140, B: 60, A: 255}},
	}
}

// quotaFigures are a limiter's samples over all seeds.
type quotaFigures struct {
	grantsPerSecond        []float64
	writesPerThousand      []float64 // grants
	unusedPercent          []float64
	longestStallSeconds    []float64
	inForceSeconds         []float64
	inForceSecondsIfCutOff []float64
}

func (f *quotaFigures) add(s, withCutOff *quotaSimulation) {
	grants := float64(s.grants)
	f.grantsPerSecond = append(f.grantsPerSecond, grants/runLength.Seconds())
	f.writesPerThousand = append(f.writesPerThousand, 1000*float64(s.limiter.writes())/grants)
	for _, unused := range s.unused {
		f.unusedPercent = append(f.unusedPercent, 100*unused)
	}
	f.longestStallSeconds = append(f.longestStallSeconds, s.longestStall.Seconds())
	f.inForceSeconds = append(f.inForceSeconds, s.secondsToInForce())
	f.inForceSecondsIfCutOff = append(f.inForceSecondsIfCutOff, withCutOff.secondsToInForce())
}

func (f *quotaFigures) print(name string) {
	fmt.Println(name)
	fmt.Printf("  grants a second: %s\n", figuresOf(f.grantsPerSecond))
	fmt.Printf("  writes per thousand grants: %s\n", figuresOf(f.writesPerThousand))
	fmt.Printf("  unused of the limit, in 100: %s\n", figuresOf(f.unusedPercent))
	fmt.Printf("  longest without a grant, s: %s\n", figuresOf(f.longestStallSeconds))
	fmt.Printf("  announced to in force, s: %s\n", figuresOf(f.inForceSeconds))
	fmt.Printf("  the same, one controller cut off for %g s: %s\n", cutOffFor.Seconds(), figuresOf(f.inForceSecondsIfCutOff))
}

// Run simulates all limiters, prints their figures, and plots what is used with the first
// seed.
func (q *quotaCommand) Run() error {
	chart := newQuotaChart()
	for _, compared := range comparedLimiters() {
		var figures quotaFigures
		for i := range q.Repeats {
			seed := q.Seed + uint64(i)
			s := newQuotaSimulation(seed, compared.newLimiter)
			s.run(false)
			withCutOff := newQuotaSimulation(seed, compared.newLimiter)
			withCutOff.run(true)
			figures.add(s, withCutOff)
			if i > 0 {
				continue
			}
			if err := addLine(chart, compared, s.used); err != nil {
				return fmt.Errorf("plot: %w", err)
			}
		}
		figures.print(compared.name)
	}
	if err := chart.Save(22*vg.Centimeter, 10*vg.Centimeter, q.Plot); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func newQuotaChart() *plot.Plot {
	chart := plot.New()
	chart.Title.Text = "CPUs used of a limit of 300, lowered to 150 at 80 s; a controller ends from 40 to 46 s"
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "CPUs used"
	chart.Y.Min = 0
	chart.Legend.Top = true
	return chart
}

// addLine adds what a limiter's tasks used over time.
func addLine(chart *plot.Plot, compared comparedLimiter, used plotter.XYs) error {
	line, err := plotter.NewLine(used)
	if err != nil {
		return fmt.Errorf("line of %s: %w", compared.name, err)
	}
	line.Color = compared.line
	chart.Add(line)
	chart.Legend.Add(compared.name, line)
	return nil
}
