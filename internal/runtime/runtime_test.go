package runtime

import (
	"testing"

	"garnethitch/internal/config"
	"garnethitch/internal/micros"
)

// Of several objectives for a class the strictest counts; and what follows from
// settings does so at any size.
func TestCoreConfig(t *testing.T) {
	set := config.Settings{Label: "a"}
	set.Cluster.Nodes = 3
	set.Cluster.Objectives = []config.Objective{
		{Kind: "wait", Class: "x", WithinS: 6}, {Kind: "wait", Class: "x", WithinS: 25},
		{Kind: "finished", Class: "x", WithinS: 400}, {Kind: "finished", Class: "x", WithinS: 250},
		{Kind: "deadline", Class: "y"}, {Kind: "submit", WithinS: 1},
	}
	for _, tc := range []struct {
		sockets, asks int
		silent        *float64
		want          micros.Micros
	}{
		{64, 8, nil, -1},
		{1800, 60, new(float64), 0},
		{5000, 96, func() *float64 { v := 30.0; return &v }(), 30 * micros.Second},
	} {
		set.Cluster.Resources.Sockets = tc.sockets
		opt := config.Defaults()
		opt.SilentReturnS = tc.silent
		cfg := CoreConfig(set, opt)
		if cfg.Asks != tc.asks || cfg.SilentReturn != tc.want {
			t.Errorf("%d sockets: %d requests to workers, silent machines returned after %d", tc.sockets, cfg.Asks, cfg.SilentReturn)
		}
		if len(cfg.Urgent) != 1 || cfg.Urgent["x"] != 6*micros.Second || len(cfg.Finished) != 1 || cfg.Finished["x"] != 250*micros.Second {
			t.Errorf("aims %v %v", cfg.Urgent, cfg.Finished)
		}
	}
}
