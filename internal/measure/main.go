// Command measure takes measurements that are too long for the tests. Each prints its
// figures and stops by itself.
//
//	go run ./internal/measure digest --plan churn
//	go run ./internal/measure grants --seeds 50 --grants 2000
//	go run ./internal/measure quota --seed 1
//	go run ./internal/measure soak --seeds 50 --first 1
//	go run ./internal/measure size --machines 4000
package main

import (
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Digest  digestCommand  `cmd:"" help:"Hashes of all messages that controllers send in the simulation."`
	Grants  grantsCommand  `cmd:"" help:"Concurrent grants of real controllers on loopback, checked for overshoots."`
	Cluster clusterCommand `cmd:"" help:"Run controllers on loopback for a while, to try the command line on."`
	Size    sizeCommand    `cmd:"" help:"The simulation at production size, controllers with old knowledge."`
	Soak    soakCommand    `cmd:"" help:"Real processes on loopback, through faults, with users who cancel."`
	Quota   quotaCommand   `cmd:"" help:"Three ways to keep a limit across controllers, simulated."`
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("measure"))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// summary holds the number, the median, the 99th percentile and the maximum of samples.
type summary struct {
	count            int
	median, p99, max float64
}

func summarize(samples []float64) summary {
	if len(samples) == 0 {
		return summary{median: math.NaN(), p99: math.NaN(), max: math.NaN()}
	}
	s := slices.Sorted(slices.Values(samples))
	quantile := func(q float64) float64 { return s[int(q*float64(len(s)-1)+0.5)] }
	return summary{len(s), quantile(0.5), quantile(0.99), s[len(s)-1]}
}

func (s summary) String() string {
	return fmt.Sprintf("%d samples, median %.3g, p99 %.3g, max %.3g", s.count, s.median, s.p99, s.max)
}
