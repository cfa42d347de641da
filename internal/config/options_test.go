package config

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"garnethitch/internal/tracing"
)

func TestOptions(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "", ""},
		{"some", "lease_ms: 4000\nmax_machines: 50\n", ""},
		{"an unknown key", "lease_ms: 4000\nunknown: 1\n", "unknown = "},
		{"a key of another case", "Lease_Ms: 4000\n", "Lease_Ms = "},
		{"long lease", "lease_ms: 700000", "lease_ms = 700000"},
		{"no time to drain", "drain_horizon_s: 0", "drain_horizon_s = 0"},
		{"infinite", "quarantine_s: .inf", "options.yaml"},
		{"more machines than allowed", "max_machines: 100001", "max_machines = 100001"},
		{"short lease", "lease_ms: 10", "lease_ms = 10"},
		{"share of memory", "memory_share: 1.5", "memory_share = 1.5"},
		{"negative", "idle_return_s: -1", "idle_return_s = -1"},
		{"wrong type", "max_machines: lots", "max_machines"},
		{"not YAML", "a: [", "options.yaml"},
		{"groups", "quota:\n  groups:\n    - {name: a, teams: [t], limit: {cpus: 4}}\n", ""},
		{"an unknown key of quota", "quota:\n  groops: []\n", "quota.groops = "},
		{"an unknown key of a group", "quota:\n  groups:\n    - {name: a, limits: {cpus: 4}}\n", "quota.groups[0].limits = "},
		{"an unknown key of trace", "trace: {exporters: none}", "trace.exporters = "},
		{"an unknown exporter", "trace: {exporter: jaeger}", "trace.exporter"},
		{"a file for no exporter", "trace: {exporter: stderr, file: x}", "trace.exporter"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o, err := ParseOptions("options.yaml", []byte(tc.text))
			if tc.want == "" {
				if err != nil || o.DrainHorizonS != Defaults().DrainHorizonS {
					t.Errorf("options %+v, error %v, want the default drain horizon and no error", o, err)
				}
				return
			}
			requireError(t, err, "options.yaml", tc.want)
		})
	}
}

// TestDeployOptions checks that deploy/options.yaml, which documents every option, holds the
// defaults, and that its commented-out example of groups is valid.
func TestDeployOptions(t *testing.T) {
	text, err := os.ReadFile("../../deploy/options.yaml")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseOptions("options.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	want.Trace.Exporter = tracing.ExporterNone
	if !reflect.DeepEqual(got, want) {
		t.Errorf("deploy/options.yaml holds %+v, the defaults are %+v", got, want)
	}
	_, example, _ := strings.Cut(string(text), "# quota:\n")
	example, _, _ = strings.Cut(example, "\n\n")
	example = strings.ReplaceAll("\n"+example, "\n# ", "\n")
	got, err = ParseOptions("options.yaml", []byte("quota:\n"+example))
	if err != nil {
		t.Fatal(err)
	}
	var settings Settings
	for _, team := range []string{"rubavu", "karongi", "rusizi"} {
		settings.Cluster.Teams = append(settings.Cluster.Teams, Team{Name: team})
	}
	err = got.BuildGroups("options.yaml", settings)
	if err != nil || len(got.Groups.Names()) != 2 {
		t.Errorf("example of groups: names %v, error %v, want 2 names and no error", got.Groups.Names(), err)
	}
}
