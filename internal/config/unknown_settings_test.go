package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// otherSettingValues are values, in TOML, of fields that a settings file may have and a controller
// does not know.
var otherSettingValues = []string{`"127.0.0.9:9"`, `["c"]`, `7`, `0.5`, `true`, `{a = 1}`, `[{name = "x"}]`, `2026-12-07`}

// allSettings is a valid settings file with every field that a controller knows.
var allSettings = strings.NewReplacer(
	"cpus_max = 2.0\n", `cpus_max = 2.0
gpus = 1.0
gpus_max = 3.0
[[cluster.objectives]]
kind = "finished"
class = "c"
within_s = 90.0
share = 0.8
`,
	"txn_ops = 8\n", `txn_ops = 8
[cluster.state.next]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 6
`).Replace(settings)

// valueKeys returns the keys of the fields of a struct, and of those in it, that are not tables.
func valueKeys(structType reflect.Type) (keys []string) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		element := field.Type
		for element.Kind() == reflect.Pointer || element.Kind() == reflect.Slice {
			element = element.Elem()
		}
		if element.Kind() == reflect.Struct {
			keys = append(keys, valueKeys(element)...)
		} else {
			keys = append(keys, field.Tag.Get("toml"))
		}
	}
	return keys
}

// TestUnknownSettingsOfAnotherCase guards against a field of the settings file that the controller
// does not know, and whose name differs from that of a known one in case only, being taken for it:
// it would move the controller's addresses or limits, or end the controller.
func TestUnknownSettingsOfAnotherCase(t *testing.T) {
	text := allSettings
	want, err := ParseSettings("file.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(text, "\n")
	keys := map[string]bool{}
	for i, line := range lines {
		key, _, found := strings.Cut(line, " = ")
		if !found {
			continue
		}
		keys[key] = true
		for _, name := range []string{strings.ToUpper(key), strings.ToUpper(key[:1]) + key[1:]} {
			for _, value := range otherSettingValues {
				other := fmt.Sprintf("%s = %s", name, value)
				for position, added := range map[string]string{"before": other + "\n" + line, "after": line + "\n" + other} {
					changed := strings.Join(lines[:i], "\n") + "\n" + added + "\n" + strings.Join(lines[i+1:], "\n")
					checkSameSettings(t, fmt.Sprintf("line %d: %s %s %s", i, other, position, key), changed, want)
				}
			}
		}
	}
	for _, key := range valueKeys(reflect.TypeFor[Settings]()) {
		if !keys[key] {
			t.Errorf("the settings of the test have no line with %s", key)
		}
	}
}

// TestUnknownTablesOfAnotherCase is the same for whole tables, and for a field that is there in
// another case only.
func TestUnknownTablesOfAnotherCase(t *testing.T) {
	want, err := ParseSettings("file.toml", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	for _, added := range []string{
		"[Cluster]\nnodes = 9\n",
		"[CLUSTER.state]\nrps = 1.0\n",
		"[cluster.State]\nrps = 1.0\n",
		"[cluster.state.Next]\nrps = 1.0\n",
		"[Endpoints]\ncloud = \"127.0.0.9:9\"\n",
		"[[Seeds]]\nlabel = \"n-2\"\naddress = \"127.0.0.9:9\"\n",
		"[[cluster.Teams]]\nname = \"u\"\n",
		"[[cluster.Objectives]]\nwithin_s = -1.0\n",
	} {
		checkSameSettings(t, added, settings+added, want)
	}
	if _, err := ParseSettings("file.toml", []byte(strings.Replace(settings, "label = \"n-0\"", "Label = \"n-0\"", 1))); err == nil {
		t.Error("a file without label, but with Label, is accepted")
	}
}

func checkSameSettings(t *testing.T, name, text string, want Settings) {
	t.Helper()
	got, err := ParseSettings("file.toml", []byte(text))
	if err != nil {
		t.Errorf("%s: %v", name, err)
	} else if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %+v, want %+v", name, got, want)
	}
}
