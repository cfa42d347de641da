package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// decodeSettings decodes the text of a settings file into s. Names of fields match exactly: a
// name that differs in case is that of an unknown field, and unknown fields are ignored
// (DEPLOY, "The deploy file"). The library matches names in any case and has no option against
// that, so unknown fields are taken out before it fills the fields of s. Errors are one line.
func decodeSettings(name string, text []byte, s *Settings) error {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return fmt.Errorf("%s: %s%w", name, errorPosition(text, err), err)
	}
	known := knownFields{file: name}
	kept := known.table("", document, reflect.TypeFor[Settings]())
	if known.err != nil {
		return known.err
	}
	rewritten, err := toml.Marshal(kept)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := toml.Unmarshal(rewritten, s); err != nil {
		return fmt.Errorf("%s: %s%w", name, errorField(rewritten, err), err)
	}
	return nil
}

// errorPosition returns "line N: field = value: " for an error in decoding a text, or "".
func errorPosition(text []byte, err error) string {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return ""
	}
	row, _ := decodeErr.Position()
	return fmt.Sprintf("line %d: %s", row, errorField(text, err))
}

// errorField returns "field = value: " for an error in decoding a text, or "".
func errorField(text []byte, err error) string {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return ""
	}
	row, _ := decodeErr.Position()
	return tomlField(string(text), row) + ": "
}

// knownFields takes the fields that are unknown out of a decoded TOML document. err is the error
// of the first known field that has a date or a time as its value: no field has, and the
// library panics when it stores one in a field of another type.
type knownFields struct {
	file string
	err  error
}

// table returns the fields of a table that are those of a struct. path is that of the table.
func (k *knownFields) table(path string, table map[string]any, structType reflect.Type) map[string]any {
	kept := map[string]any{}
	for i := range structType.NumField() {
		field := structType.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if value, found := table[key]; found {
			kept[key] = k.value(joinPath(path, key), value, field.Type)
		}
	}
	return kept
}

// value returns a value without the unknown fields of the tables in it.
func (k *knownFields) value(path string, value any, typ reflect.Type) any {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch v := value.(type) {
	case map[string]any:
		if typ.Kind() == reflect.Struct {
			return k.table(path, v, typ)
		}
	case []any:
		if typ.Kind() == reflect.Slice {
			return k.list(path, v, typ.Elem())
		}
	case time.Time, toml.LocalDate, toml.LocalTime, toml.LocalDateTime:
		if k.err == nil {
			k.err = &FieldError{File: k.file, Field: path, Value: value, Want: "no date or time"}
		}
	}
	return value
}

func (k *knownFields) list(path string, list []any, elementType reflect.Type) []any {
	kept := make([]any, 0, len(list))
	for i, element := range list {
		kept = append(kept, k.value(fmt.Sprintf("%s[%d]", path, i), element, elementType))
	}
	return kept
}

// joinPath returns the path of a key of a table; the path of the document is empty.
func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// tomlField returns "table.key = value" for the field on the given line, counted from 1, the name
// of the table that begins there, or "syntax" if the line holds neither.
func tomlField(text string, row int) string {
	const notAField = "syntax"
	lines := strings.Split(text, "\n")
	if row < 1 || row > len(lines) {
		return notAField
	}
	if table, found := tableName(lines[row-1]); found {
		return table
	}
	key, value, ok := strings.Cut(lines[row-1], "=")
	if !ok {
		return notAField
	}
	path := ""
	for _, line := range lines[:row-1] {
		if table, found := tableName(line); found {
			path = table
		}
	}
	return joinPath(path, strings.TrimSpace(key)) + " = " + strings.TrimSpace(value)
}

// tableName returns the name of the table that begins on a line.
func tableName(line string) (name string, found bool) {
	line = strings.TrimSpace(line)
	return strings.Trim(line, "[] "), strings.HasPrefix(line, "[")
}
