package faulttest

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// seeds returns the number of seeds in the environment variable GARNETHITCH_SEEDS, or n if that is
// not a positive number.
func seeds(n int) int {
	if v, err := strconv.Atoi(os.Getenv("GARNETHITCH_SEEDS")); err == nil && v > 0 {
		return v
	}
	return n
}

// TestClusterGrants checks that real controllers which grant concurrently never exceed a limit,
// while limits change, controllers are restarted or cut off, and answers are lost. They use
// loopback sockets and real time. For a longer run: go run ./internal/measure grants.
func TestClusterGrants(t *testing.T) {
	for seed := range uint64(seeds(2)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			nodes := []int{3, 2, 5}[seed%3]
			r, err := RunGrants(GrantsPlan{Seed: seed + 1, Nodes: nodes, MinGrants: 600, MinWrites: 10, MinLimitsSet: 1, Timeout: 25 * time.Second, Faults: true})
			if err != nil {
				t.Fatal(err)
			}
			for _, o := range r.Overshoots {
				t.Error(o)
			}
			if r.Grants < 200 || r.LimitsSet == 0 || r.Writes < 10 {
				t.Errorf("too little activity: %s; want at least 200 grants, 10 writes and one limit set", r)
			}
			t.Log(r)
		})
	}
}
