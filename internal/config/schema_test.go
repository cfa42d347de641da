package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"garnethitch/quota"

	"github.com/goccy/go-yaml"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// compileSchema compiles OptionsSchema.
func compileSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(OptionsSchema))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("options.schema.json", doc); err != nil {
		t.Fatal(err)
	}
	schema, err := compiler.Compile("options.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	return schema
}

// validate validates a YAML document against the schema.
func validate(t *testing.T, schema *jsonschema.Schema, text string) error {
	t.Helper()
	asJSON, err := yaml.YAMLToJSON([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(asJSON))
	if err != nil {
		t.Fatal(err)
	}
	return schema.Validate(value)
}

// parseAndCheckQuota validates a YAML document in the way a controller does at startup.
func parseAndCheckQuota(text string) error {
	options, err := ParseOptions("options.yaml", []byte(text))
	if err != nil {
		return err
	}
	return options.BuildGroups("options.yaml", Settings{Cluster: Cluster{Teams: []Team{{Name: "t"}}}})
}

// TestOptionsSchema checks that the schema accepts exactly the documents that a controller
// accepts.
func TestOptionsSchema(t *testing.T) {
	schema := compileSchema(t)
	group := "quota: {groups: [{name: a, teams: [t], limit: {cpus: 4}, guarantee: {gpus: 1}, parent: b, schedule: [{rule: FREQ=DAILY, from: '06:00', to: '12:00', zone: UTC, limit: {cpus: 1}}]}, {name: b}]}"
	for _, tc := range []struct {
		name, text string
		good       bool
	}{
		{name: "lease", text: "lease_ms: 4000", good: true},
		{name: "silent machines kept", text: "silent_return_s: 0", good: true},
		{name: "trace to a file", text: "trace: {exporter: file, file: x}", good: true},
		{name: "every key of a group", text: group, good: true},
		{name: "short lease", text: "lease_ms: 10"},
		{name: "no time to drain", text: "drain_horizon_s: 0"},
		{name: "share of memory", text: "memory_share: 1.5"},
		{name: "negative", text: "idle_return_s: -1"},
		{name: "wrong type", text: "max_machines: lots"},
		{name: "unknown key", text: "unknown: 1"},
		{name: "unknown key of trace", text: "trace: {exporters: none}"},
		{name: "group without a name", text: "quota: {groups: [{limit: {cpus: 1}}]}"},
		{name: "unknown key of a group", text: "quota: {groups: [{name: a, limits: {}}]}"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := validate(t, schema, tc.text); (err == nil) != tc.good {
				t.Errorf("%s: schema validation returns %v, want valid: %v", tc.text, err, tc.good)
			}
			if err := parseAndCheckQuota(tc.text); (err == nil) != tc.good {
				t.Errorf("%s: a controller returns %v, want valid: %v", tc.text, err, tc.good)
			}
		})
	}
}

// TestOptionsSchemaKeys checks that the schema has exactly the keys that the Go types have.
func TestOptionsSchemaKeys(t *testing.T) {
	type object struct{ Properties map[string]any }
	var schema struct {
		Properties map[string]any
		Defs       map[string]object `json:"$defs"`
	}
	if err := json.Unmarshal(OptionsSchema, &schema); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name       string
		properties map[string]any
		typ        reflect.Type
	}{
		{"options", schema.Properties, reflect.TypeFor[Options]()},
		{"group", schema.Defs["group"].Properties, reflect.TypeFor[quota.GroupOptions]()},
		{"schedule", schema.Defs["schedule"].Properties, reflect.TypeFor[quota.ScheduleOptions]()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if count := yamlFieldCount(tc.typ); count != len(tc.properties) {
				t.Errorf("the schema has %d keys, the type %d", len(tc.properties), count)
			}
			for key := range tc.properties {
				if _, ok := yamlFieldType(tc.typ, key); !ok {
					t.Errorf("the type has no key %q", key)
				}
			}
		})
	}
}

// yamlFieldCount returns the number of a struct's fields that YAML can set.
func yamlFieldCount(structType reflect.Type) int {
	count := 0
	for i := range structType.NumField() {
		if structType.Field(i).Tag.Get("yaml") != "-" {
			count++
		}
	}
	return count
}
