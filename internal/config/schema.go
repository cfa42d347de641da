package config

import (
	_ "embed" // for the schema
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// OptionsSchema is the JSON Schema of the options file, for editors and other programs.
// A controller validates the file in Go instead, because a schema validator would make every
// start slower.
//
//go:embed options.schema.json
var OptionsSchema []byte

// unknownKey returns the path of the first key in a decoded document that is not the yaml tag
// of a field of typ, or "" if there is none. path is the path of value in the document.
// Unknown keys are errors because a limit with a misspelt key would have no effect.
func unknownKey(path string, value any, typ reflect.Type) string {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch v := value.(type) {
	case map[string]any:
		if typ.Kind() == reflect.Struct {
			return unknownKeyInMap(path, v, typ)
		}
	case []any:
		if typ.Kind() == reflect.Slice {
			return unknownKeyInList(path, v, typ.Elem())
		}
	}
	return ""
}

func unknownKeyInMap(path string, values map[string]any, structType reflect.Type) string {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		keyPath := joinPath(path, key)
		fieldType, ok := yamlFieldType(structType, key)
		if !ok {
			return keyPath
		}
		if unknown := unknownKey(keyPath, values[key], fieldType); unknown != "" {
			return unknown
		}
	}
	return ""
}

func unknownKeyInList(path string, values []any, itemType reflect.Type) string {
	for i, value := range values {
		if unknown := unknownKey(fmt.Sprintf("%s[%d]", path, i), value, itemType); unknown != "" {
			return unknown
		}
	}
	return ""
}

// yamlFieldType returns the type of the struct field with the given YAML key.
func yamlFieldType(structType reflect.Type, key string) (reflect.Type, bool) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name == key && name != "-" {
			return field.Type, true
		}
	}
	return nil, false
}
