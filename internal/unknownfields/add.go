package unknownfields

import (
	"slices"
	"strings"
)

// Names returns names that differ from a key only in the case of their letters.
func Names(key string) []string {
	names := []string{
		strings.ToUpper(key),
		strings.ToUpper(key[:1]) + key[1:],
		strings.ToLower(key),
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == key })
}

// Add adds to each map of an encoded message, before each of its fields, one that the map does not
// have: its name differs only in case, its value is of the same type. It does not change the
// order of the other fields, which is that of their names.
func (e Encoding) Add(encoded []byte) ([]byte, error) {
	switch e.kindOf(encoded[0]) {
	case mapKind:
		return e.addToMap(encoded)
	case listKind:
		return e.addToList(encoded)
	}
	return encoded, nil
}

func (e Encoding) addToMap(encoded []byte) ([]byte, error) {
	fields, err := e.fieldsOf(encoded)
	if err != nil {
		return nil, err
	}
	var added []field
	for _, f := range fields {
		if name, ok := unusedName(f.key, fields); ok {
			value, err := e.otherValue(f.value)
			if err != nil {
				return nil, err
			}
			added = append(added, field{name, value})
		}
		value, err := e.Add(f.value)
		if err != nil {
			return nil, err
		}
		added = append(added, field{f.key, value})
	}
	return e.joinFields(added)
}

func (e Encoding) addToList(encoded []byte) ([]byte, error) {
	elements, err := e.elementsOf(encoded)
	if err != nil {
		return nil, err
	}
	for i := range elements {
		if elements[i], err = e.Add(elements[i]); err != nil {
			return nil, err
		}
	}
	return e.joinElements(elements), nil
}

// unusedName returns a name that differs from the key in case and is none of the fields' names.
func unusedName(key string, fields []field) (name string, ok bool) {
	if key == "" {
		return "", false
	}
	for _, name := range Names(key) {
		if !hasField(fields, name) {
			return name, true
		}
	}
	return "", false
}

func hasField(fields []field, name string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.key == name })
}

// otherValue returns a value of the same type as an encoded one. It is one that no message has.
func (e Encoding) otherValue(encoded []byte) ([]byte, error) {
	switch e.kindOf(encoded[0]) {
	case integerKind:
		return e.encode(1_000_003)
	case floatKind:
		return e.encode(1_000_003.25)
	case textKind:
		return e.encode("unknown")
	case flagKind:
		return e.otherFlag(encoded)
	case listKind:
		return e.encode([]string{})
	case mapKind:
		return e.encode(map[string]string{})
	}
	return e.encode("unknown")
}

func (e Encoding) otherFlag(encoded []byte) ([]byte, error) {
	var flag bool
	if err := e.decodeRaw(encoded, &flag); err != nil {
		return nil, err
	}
	return e.encode(!flag)
}
