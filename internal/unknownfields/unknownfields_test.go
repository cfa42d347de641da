package unknownfields

import (
	"maps"
	"reflect"
	"slices"
	"testing"
)

// message has fields of all types of the protocol.
func message() map[string]any {
	return map[string]any{
		"name":    "job-000412",
		"list":    []any{map[string]any{"item": 3}, map[string]any{"item": 4}},
		"inner":   map[string]any{"cpus": 8.5},
		"flag":    true,
		"number":  70_000,
		"nothing": nil,
		"a":       "a name of one letter",
		"A":       "and the same in the other case, so that neither has another name",
	}
}

// TestAdd checks that each map gets a field beside each of its own, that the value is of the same
// type but another one, and that the own fields stay. Stand-ins that add nothing test nothing.
func TestAdd(t *testing.T) {
	for _, e := range []Encoding{CBOR, MessagePack} {
		t.Run(e.name, func(t *testing.T) {
			encoded, err := e.encode(message())
			if err != nil {
				t.Fatal(err)
			}
			added, err := e.Add(encoded)
			if err != nil {
				t.Fatal(err)
			}
			var before, after map[string]any
			for into, body := range map[*map[string]any][]byte{&before: encoded, &after: added} {
				if err := e.decode(body, into); err != nil {
					t.Fatal(err)
				}
			}
			if want := 2*len(before) - 2; len(after) != want {
				t.Errorf("%d fields, want %d: %v", len(after), want, slices.Sorted(maps.Keys(after)))
			}
			for key, other := range map[string]string{"name": "NAME", "list": "LIST", "inner": "INNER", "flag": "FLAG", "number": "NUMBER"} {
				if reflect.TypeOf(after[other]) != reflect.TypeOf(before[key]) || reflect.DeepEqual(after[other], before[key]) {
					t.Errorf("%s is %v beside %s = %v, want another value of its type", other, after[other], key, before[key])
				}
			}
			inner := reflect.ValueOf(after["list"]).Index(1).Interface()
			if got := reflect.ValueOf(inner).Len(); got != 2 {
				t.Errorf("a map in a list has %d fields, want 2: %v", got, inner)
			}
			if got := reflect.ValueOf(after["inner"]).Len(); got != 2 {
				t.Errorf("a map in a map has %d fields, want 2: %v", got, after["inner"])
			}
		})
	}
}

// TestVariants checks the number of variants and that each has one field more than the message.
func TestVariants(t *testing.T) {
	encoded, err := CBOR.encode(map[string]any{"a": 1, "b": []any{map[string]any{"c": 2}}})
	if err != nil {
		t.Fatal(err)
	}
	variants, err := CBOR.Variants(encoded, func(key string) []string { return []string{key + "2"} })
	if err != nil {
		t.Fatal(err)
	}
	const fields, positions = 3, 2
	if want := fields * positions * len(otherValues); len(variants) != want {
		t.Errorf("%d variants, want %d", len(variants), want)
	}
	seen := map[string]bool{}
	for _, v := range variants {
		if seen[string(v.Encoded)] {
			t.Errorf("%s: there are two variants with the same bytes", v.Change)
		}
		seen[string(v.Encoded)] = true
	}
}
