package runtime

import (
	"testing"
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/micros"
	"garnethitch/internal/server"
)

// TestControllerConfig checks that the strictest of several objectives for a class applies, and
// that the bounds follow from the settings for small and large deployments.
func TestControllerConfig(t *testing.T) {
	settings := config.Settings{Label: "a"}
	settings.Cluster.Nodes = 3
	settings.Cluster.Objectives = []config.Objective{
		{Kind: "wait", Class: "x", WithinS: 6}, {Kind: "wait", Class: "x", WithinS: 25},
		{Kind: "finished", Class: "x", WithinS: 400}, {Kind: "finished", Class: "x", WithinS: 250},
		{Kind: "deadline", Class: "y"}, {Kind: "submit", WithinS: 1},
		{Kind: "guarantee", WithinS: 200}, {Kind: "guarantee", WithinS: 150},
	}
	for _, tc := range []struct {
		sockets, workerCalls int
		silent               *float64
		want                 micros.Micros
	}{
		{64, 8, nil, -1},
		{1800, 60, new(float64), 0},
		{5000, 96, func() *float64 { v := 30.0; return &v }(), 30 * micros.Second},
	} {
		settings.Cluster.Resources.Sockets = tc.sockets
		opt := config.Defaults()
		opt.SilentReturnS = tc.silent
		cfg := ControllerConfig(settings, opt)
		if cfg.MaxWorkerRequests != tc.workerCalls || cfg.SilentReturn != tc.want {
			t.Errorf("%d sockets: %d requests to workers, silent machines returned after %d", tc.sockets, cfg.MaxWorkerRequests, cfg.SilentReturn)
		}
		if cfg.GuaranteeWithin != 150*micros.Second {
			t.Errorf("work within a guarantee is to start within %v, want 150 s", cfg.GuaranteeWithin)
		}
		if len(cfg.StartWithin) != 1 || cfg.StartWithin["x"] != 6*micros.Second || len(cfg.FinishWithin) != 1 || cfg.FinishWithin["x"] != 250*micros.Second {
			t.Errorf("objectives: start within %v, finish within %v; want 6 s and 250 s for class x only", cfg.StartWithin, cfg.FinishWithin)
		}
	}
}

// Memory in bytes that a machine and a connection take, with a margin; see docs/account.md.
const (
	machineBytes = 6 << 10
	connBytes    = 2 << 10
)

// TestSizes checks that a single remaining controller can serve all workers, even with half as many
// machines again as the deployment is planned for, and some users. It also checks that enough
// connections remain for outbound calls, and that everything fits into the sockets and the memory
// of the settings.
func TestSizes(t *testing.T) {
	const users = 200 // short-lived connections of users and probes
	for _, tc := range []struct {
		name     string
		sockets  int
		ramMB    float64
		machines int
	}{
		{"inkingi", 5000, 451, 28},
		{"magnolia", 1800, 179, 40},
		{"inkingi grown", 5000, 451, 2180},
		{"magnolia grown", 1800, 179, 701},
		{"inkingi fleet", 4317, 441, 2036},
		{"magnolia fleet", 3282, 322, 1219},
		{"inkingi lean", 5000, 277, 2180},
		{"magnolia lean", 1800, 114, 701},
		{"four thousand machines", 8192, 640, 4000},
		{"four thousand machines, plenty of all", 65536, 8192, 4000},
		{"the least that starts", 128, 32, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var settings config.Settings
			settings.Cluster.Resources = config.Resources{Sockets: tc.sockets, RAMMB: tc.ramMB}
			settings.Cluster.Workers.ReportS = 10
			sizes := SizesOf(settings)
			if need := tc.machines*3/2 + users; tc.machines > 0 && sizes.ServedConns < need {
				t.Errorf("serves %d connections, must serve %d", sizes.ServedConns, need)
			}
			if all := server.MaxSockets(sizes.ServedConns) + sizes.ServiceConns + sizes.WorkerConns; all >= tc.sockets {
				t.Errorf("%d sockets allocated to connections, only %d available", all, tc.sockets)
			}
			if sizes.IdleTimeout < 13*time.Second+4*time.Second || sizes.IdleTimeout > 75*time.Second {
				t.Errorf("idle connections are closed after %v, want 17 s to 75 s", sizes.IdleTimeout)
			}
			if sizes.WorkerCalls > sizes.WorkerConns || sizes.ServedConns < 1 || sizes.ServiceConns < 16 {
				t.Errorf("too few connections for calls or for serving: %+v", sizes)
			}
			// With everything at its bound, live data stays well below the memory limit of the
			// garbage collector.
			limit := int(tc.ramMB * config.Defaults().MemoryShare * (1 << 20))
			live := tc.machines*3/2*machineBytes + sizes.OpenJobs*openJobBytes + sizes.FinalJobs*finalJobBytes + sizes.TaskListBytes + int(sizes.BufferedBytes) +
				sizes.ServedConns*connBytes + sizes.StateBodyBytes
			if tc.machines > 0 && live > limit*4/5 {
				t.Errorf("%d bytes of live data, want at most four fifths of the limit of %d", live, limit)
			}
			// No bound on a number of machines is lower than one and a half times the machines.
			opt := config.Defaults()
			cfg := ControllerConfig(settings, opt)
			if need := tc.machines * 3 / 2; cfg.MaxRegistrations < need || cfg.MaxMachines < need {
				t.Errorf("%d machines may wait for a record and %d may be known, must be at least %d", cfg.MaxRegistrations, cfg.MaxMachines, need)
			}
			if tc.machines > 0 && sizes.OpenJobs < 3000 {
				t.Errorf("at most %d unfinished jobs, want at least 3000", sizes.OpenJobs)
			}
			if ram := int(tc.ramMB * (1 << 20)); sizes.StateBodyBytes < 2*statePageBytes || 3*sizes.StateBodyBytes+int(sizes.BufferedBytes) > ram/2 {
				t.Errorf("responses of the state service of up to %d bytes in a memory of %d bytes: too small for two pages, or too large for the memory", sizes.StateBodyBytes, ram)
			}
		})
	}
}

// TestCallBounds checks that calls to one target cannot use up the connections for the others: each
// target has a separate bound on its calls in flight, and the bounds together do not exceed the
// connections.
func TestCallBounds(t *testing.T) {
	var settings config.Settings
	settings.Cluster.Resources = config.Resources{Sockets: 4317, RAMMB: 441}
	settings.Cluster.Nodes = 1
	sizes := SizesOf(settings)
	rt := New(settings, config.Defaults(), nil, 1)
	sum := 0
	for target, limit := range rt.limits.max {
		if limit < 2 {
			t.Errorf("target %d may have %d calls in flight, want at least 2", target, limit)
		}
		sum += limit
	}
	if sum > sizes.ServiceConns+sizes.WorkerConns {
		t.Errorf("%d calls in flight over only %d connections", sum, sizes.ServiceConns+sizes.WorkerConns)
	}
}
