package config

import (
	"strings"
	"testing"
)

// settings is a valid settings file. Each test case replaces a part of it.
const settings = `
label = "n-0"
site = "a"
serve_on = "127.0.0.1:8080"
internal_addr = "127.0.0.1:8081"
[[seeds]]
label = "n-1"
site = "b"
address = "127.0.0.2:8081"
[endpoints]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[cluster]
nodes = 2
zones = ["b", "a", "b"]
clock_error_ms = 5.0
[[cluster.teams]]
name = "t"
cpus = 1.0
cpus_max = 2.0
[cluster.workers]
report_s = 3.0
lease_s = 45.0
cancel_s = 70.0
[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 5.0
list_lag_s = 3.0
[cluster.resources]
core_share = 0.24
ram_mb = 451.0
sockets = 5000
`

// requireError fails the test unless the error contains the file name and the text.
func requireError(t *testing.T, err error, file, text string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), file) || !strings.Contains(err.Error(), text) {
		t.Fatalf("error %v, want one that contains %s and %s", err, file, text)
	}
}

func TestSettings(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{name: "good"},
		{"unknown fields", "[cluster.cloud]", "new_thing = 1\n[cluster.cloud]\nother = \"x\"", ""},
		{"no label", `label = "n-0"`, "", "label"},
		{"bad address", "127.0.0.1:8080", "localhost:http", `serve_on = "localhost:http"`},
		{"a seed with the label of this controller", `label = "n-1"`, `label = "n-0"`, "seeds[0].label"},
		{"no nodes", "nodes = 2", "nodes = 0", "cluster.nodes = 0"},
		{"more seeds than nodes", "nodes = 2", "nodes = 1", "cluster.nodes = 1"},
		{"no teams", "[[cluster.teams]]\nname = \"t\"\ncpus = 1.0\ncpus_max = 2.0", "", "cluster.teams"},
		{"negative limit", "cpus_max = 2.0", "cpus_max = -2.0", "cluster.teams[0].cpus_max = -2"},
		{"no lease", "lease_s = 45.0", "lease_s = 0.0", "cluster.workers.lease_s = 0"},
		{"endless lease", "lease_s = 45.0", "lease_s = inf", "cluster.workers.lease_s"},
		{"wrong type", "rps = 150.0", `rps = "many"`, "cluster.state.rps"},
		{"a table for a list", "[[seeds]]", "[seeds]", "seeds: "},
		{"a date", `site = "b"`, `site = 2026-12-07`, "seeds[0].site = 2026-12-07"},
		{"a time in a list", `zones = ["b", "a", "b"]`, `zones = ["b", 07:32:00]`, "cluster.zones[1] = 07:32:00"},
		{"no time", "core_share = 0.24", "core_share = 0.0001", "cluster.resources.core_share = 0.0001"},
		{"no memory", "ram_mb = 451.0", "ram_mb = 8.0", "cluster.resources.ram_mb = 8"},
		{"few sockets", "sockets = 5000", "sockets = 3", "cluster.resources.sockets = 3"},
		{"not TOML", "[cluster]", "[cluster", "line"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := settings
			if tc.old != "" {
				text = strings.Replace(text, tc.old, tc.new, 1)
				if text == settings {
					t.Fatal("the text to replace is not in the settings")
				}
			}
			s, err := ParseSettings("file.toml", []byte(text))
			if tc.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				if len(s.Cluster.Zones) != 2 {
					t.Errorf("zones %v, want no duplicates", s.Cluster.Zones)
				}
				return
			}
			requireError(t, err, "file.toml", tc.want)
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q is more than one line", err)
			}
		})
	}
}

// TestNextLimits checks that planned limits apply from the start where they are lower, and
// that missing fields leave the current limits unchanged.
func TestNextLimits(t *testing.T) {
	current := StateLimits{RPS: 150, WriteRPS: 25, ValueKB: 8, TxnOps: 8}
	for _, tc := range []struct {
		name, next string
		want       StateLimits
		bad        string
	}{
		{"none", "", current, ""},
		{"empty", "[cluster.state.next]", current, ""},
		{"all", "[cluster.state.next]\nrps = 100.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4", StateLimits{RPS: 100, WriteRPS: 18, ValueKB: 2, TxnOps: 4}, ""},
		{"only some", "[cluster.state.next]\nvalue_kb = 2.0", StateLimits{RPS: 150, WriteRPS: 25, ValueKB: 2, TxnOps: 8}, ""},
		{"higher ones", "[cluster.state.next]\nvalue_kb = 64.0\ntxn_ops = 100", current, ""},
		{"unknown fields", "[cluster.state.next]\ncolour = 1\ntxn_ops = 4", StateLimits{RPS: 150, WriteRPS: 25, ValueKB: 8, TxnOps: 4}, ""},
		{"negative", "[cluster.state.next]\nvalue_kb = -1.0", current, "cluster.state.next.value_kb"},
		{"too few", "[cluster.state.next]\ntxn_ops = 1", current, "cluster.state.next.txn_ops"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(settings, "[cluster.cloud]", tc.next+"\n[cluster.cloud]", 1)
			s, err := ParseSettings("x.toml", []byte(text))
			if tc.bad != "" {
				requireError(t, err, "x.toml", tc.bad)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			got := s.Cluster.State.Strictest()
			got.Next = nil
			if got != tc.want {
				t.Errorf("%+v, want %+v", got, tc.want)
			}
		})
	}
}
