package runtime

import (
	"testing"
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/micros"
	"garnethitch/internal/server"
)

// Of several objectives for a class the strictest counts; and what follows from
// settings does so at any size.
func TestControllerConfig(t *testing.T) {
	set := config.Settings{Label: "a"}
	set.Cluster.Nodes = 3
	set.Cluster.Objectives = []config.Objective{
		{Kind: "wait", Class: "x", WithinS: 6}, {Kind: "wait", Class: "x", WithinS: 25},
		{Kind: "finished", Class: "x", WithinS: 400}, {Kind: "finished", Class: "x", WithinS: 250},
		{Kind: "deadline", Class: "y"}, {Kind: "submit", WithinS: 1},
		{Kind: "guarantee", WithinS: 200}, {Kind: "guarantee", WithinS: 150},
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
		cfg := ControllerConfig(set, opt)
		if cfg.MaxWorkerRequests != tc.asks || cfg.SilentReturn != tc.want {
			t.Errorf("%d sockets: %d requests to workers, silent machines returned after %d", tc.sockets, cfg.MaxWorkerRequests, cfg.SilentReturn)
		}
		if cfg.GuaranteeWithin != 150*micros.Second {
			t.Errorf("work within a guarantee is wanted started within %v", cfg.GuaranteeWithin)
		}
		if len(cfg.StartWithin) != 1 || cfg.StartWithin["x"] != 6*micros.Second || len(cfg.FinishWithin) != 1 || cfg.FinishWithin["x"] != 250*micros.Second {
			t.Errorf("aims %v %v", cfg.StartWithin, cfg.FinishWithin)
		}
	}
}

// What a machine and a connection take, with room to spare: see docs/account.md.
const (
	machineBytes = 6 << 10
	connBytes    = 2 << 10
)

// One controller left alone serves every worker, at half as many machines again
// as a deployment is planned for, and some users beside; what it keeps for calls
// is enough for them; all of it fits into what the settings give.
func TestSizes(t *testing.T) {
	const users = 200 // connections of users and probes that come and go
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
			var set config.Settings
			set.Cluster.Resources = config.Resources{Sockets: tc.sockets, RAMMB: tc.ramMB}
			set.Cluster.Workers.ReportS = 10
			sz := SizesOf(set)
			if need := tc.machines*3/2 + users; tc.machines > 0 && sz.Serve < need {
				t.Errorf("serves %d connections, needs %d", sz.Serve, need)
			}
			if all := server.MaxSockets(sz.Serve) + sz.Services + sz.Workers; all >= tc.sockets {
				t.Errorf("%d sockets planned of %d", all, tc.sockets)
			}
			if sz.Idle < 13*time.Second+4*time.Second || sz.Idle > 75*time.Second {
				t.Errorf("connections without a request end after %v", sz.Idle)
			}
			if sz.Asks > sz.Workers || sz.Serve < 1 || sz.Services < 16 {
				t.Errorf("no room for calls: %+v", sz)
			}
			// Live data stays well below the collector's limit, at the most that it lets in.
			limit := int(tc.ramMB * config.Defaults().MemoryShare * (1 << 20))
			live := tc.machines*3/2*machineBytes + sz.OpenJobs*openJobBytes + sz.FinalJobs*finalJobBytes + sz.Lists + int(sz.Held) +
				sz.Serve*connBytes + sz.StateBody
			if tc.machines > 0 && live > limit*4/5 {
				t.Errorf("%d bytes of live data, the limit is %d", live, limit)
			}
			// Nothing that stands for a number of machines stands below half as many again.
			opt := config.Defaults()
			cfg := ControllerConfig(set, opt)
			if need := tc.machines * 3 / 2; cfg.MaxRegistrations < need || cfg.MaxMachines < need {
				t.Errorf("%d machines may wait for a record and %d be known, of %d", cfg.MaxRegistrations, cfg.MaxMachines, need)
			}
			if tc.machines > 0 && sz.OpenJobs < 3000 {
				t.Errorf("%d open jobs at most", sz.OpenJobs)
			}
			if ram := int(tc.ramMB * (1 << 20)); sz.StateBody < 2*page || 3*sz.StateBody+int(sz.Held) > ram/2 {
				t.Errorf("answers of %d bytes in %d", sz.StateBody, ram)
			}
		})
	}
}

// Whoever asks too much of one side leaves the others their calls: a call past
// its side's bound fails at once.
func TestCallBounds(t *testing.T) {
	var set config.Settings
	set.Cluster.Resources = config.Resources{Sockets: 4317, RAMMB: 441}
	set.Cluster.Nodes = 1
	sz := SizesOf(set)
	rt := New(set, config.Defaults(), nil, 1)
	sum := 0
	for side, most := range rt.limits.most {
		if most < 2 {
			t.Errorf("side %d may have %d calls", side, most)
		}
		sum += most
	}
	if sum > sz.Services+sz.Workers {
		t.Errorf("%d calls over %d connections", sum, sz.Services+sz.Workers)
	}
}
