package controller

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/unknownfields"
)

// TestDecodersIgnoreUnknownFields guards against a receiver that takes a field which the protocol
// does not name for one that it does, or refuses a message for it: in every record and message,
// each field gets a neighbour whose name differs in case only or is that of the Go field, before it
// and after it, with values of all types.
func TestDecodersIgnoreUnknownFields(t *testing.T) {
	encodings := map[string]unknownfields.Encoding{
		cborCodec.name:    unknownfields.CBOR,
		msgpackCodec.name: unknownfields.MessagePack,
	}
	for _, s := range goldenSamples() {
		t.Run(s.label, func(t *testing.T) {
			filled := s.filled(t)
			encoded, err := s.codec.encode(filled.Interface())
			if err != nil {
				t.Fatal(err)
			}
			goNames := map[string][]string{}
			addGoNames(goNames, s.codec.name, s.typ)
			variants, err := encodings[s.codec.name].Variants(encoded, func(key string) []string {
				return append(unknownfields.Names(key), goNames[key]...)
			})
			if err != nil || len(variants) == 0 {
				t.Fatalf("%d variants, error %v", len(variants), err)
			}
			for _, v := range variants {
				got := reflect.New(s.typ)
				if err := s.codec.decode(v.Encoded, got.Interface()); err != nil {
					t.Errorf("%s: %v", v.Change, err)
				} else if !reflect.DeepEqual(got.Interface(), filled.Interface()) {
					t.Errorf("%s: decoded as\n%+v, want\n%+v", v.Change, got.Elem(), filled.Elem())
				}
			}
		})
	}
}

// addGoNames adds the names of the Go fields of a type and of the types of its fields, by their
// names in an encoding.
func addGoNames(names map[string][]string, tag string, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice:
		addGoNames(names, tag, typ.Elem())
	case reflect.Struct:
		for i := range typ.NumField() {
			field := typ.Field(i)
			key, _, _ := strings.Cut(field.Tag.Get(tag), ",")
			if key != "" && key != field.Name && !slices.Contains(names[key], field.Name) {
				names[key] = append(names[key], field.Name)
			}
			addGoNames(names, tag, field.Type)
		}
	}
}
