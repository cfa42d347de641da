package unknownfields

import (
	"fmt"
	"slices"
)

// Variant is a message with one field that the protocol does not name.
type Variant struct {
	Encoded []byte
	// Change says which field was added, and where.
	Change string
}

// otherValues are the values of the fields that Variants adds. They are of all types of the
// protocol, among them those that the true field may have.
var otherValues = []any{
	"other",
	99,
	99.5,
	true,
	false,
	nil,
	[]any{},
	[]any{"other"},
	[]any{map[string]any{}},
	map[string]any{},
	map[string]any{"other": "value"},
}

// Variants returns variants of an encoded message: for each field of each map in it, and each name
// that namesOf returns for the field, one with a field of that name before the true field and one
// with it after the true field, with each of several values.
func (e Encoding) Variants(encoded []byte, namesOf func(key string) []string) ([]Variant, error) {
	switch e.kindOf(encoded[0]) {
	case mapKind:
		return e.variantsOfMap(encoded, namesOf)
	case listKind:
		return e.variantsOfList(encoded, namesOf)
	}
	return nil, nil
}

func (e Encoding) variantsOfMap(encoded []byte, namesOf func(key string) []string) ([]Variant, error) {
	fields, err := e.fieldsOf(encoded)
	if err != nil {
		return nil, err
	}
	var variants []Variant
	for i, f := range fields {
		inner, err := e.Variants(f.value, namesOf)
		if err != nil {
			return nil, err
		}
		for _, v := range inner {
			changed := slices.Clone(fields)
			changed[i].value = v.Encoded
			joined, err := e.joinFields(changed)
			if err != nil {
				return nil, err
			}
			variants = append(variants, Variant{joined, f.key + ": " + v.Change})
		}
		beside, err := e.besideField(fields, i, namesOf)
		if err != nil {
			return nil, err
		}
		variants = append(variants, beside...)
	}
	return variants, nil
}

// besideField returns the variants of a map that have one more field beside fields[i].
func (e Encoding) besideField(fields []field, i int, namesOf func(key string) []string) ([]Variant, error) {
	var variants []Variant
	for _, name := range namesOf(fields[i].key) {
		if hasField(fields, name) {
			continue
		}
		for _, value := range otherValues {
			encodedValue, err := e.encode(value)
			if err != nil {
				return nil, fmt.Errorf("unknownfields: encode %v: %w", value, err)
			}
			for offset, position := range []string{"before", "after"} {
				joined, err := e.joinFields(slices.Insert(slices.Clone(fields), i+offset, field{name, encodedValue}))
				if err != nil {
					return nil, err
				}
				change := fmt.Sprintf("%s = %v %s %s", name, value, position, fields[i].key)
				variants = append(variants, Variant{joined, change})
			}
		}
	}
	return variants, nil
}

func (e Encoding) variantsOfList(encoded []byte, namesOf func(key string) []string) ([]Variant, error) {
	elements, err := e.elementsOf(encoded)
	if err != nil {
		return nil, err
	}
	var variants []Variant
	for i := range elements {
		inner, err := e.Variants(elements[i], namesOf)
		if err != nil {
			return nil, err
		}
		for _, v := range inner {
			changed := slices.Clone(elements)
			changed[i] = v.Encoded
			variants = append(variants, Variant{e.joinElements(changed), fmt.Sprintf("%d: %s", i, v.Change)})
		}
	}
	return variants, nil
}
