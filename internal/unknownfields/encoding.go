// Package unknownfields adds fields that the protocol does not name to encoded messages. Receivers
// must ignore them. Tests and the stand-ins of the other components use it; a controller does not.
package unknownfields

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Encoding is an encoding of messages.
type Encoding struct {
	name   string
	encode func(v any) ([]byte, error)
	decode func(encoded []byte, v any) error
	// mapHead and listHead are the bytes before the two bytes with the number of elements.
	mapHead, listHead byte
	// null is the encoded form of null.
	null byte
	// kindOf returns the kind of a value by its first byte.
	kindOf func(first byte) kind
}

// The encodings of the protocol (CBOR) and of the messages between controllers (MessagePack).
var (
	CBOR = Encoding{
		name:     "CBOR",
		encode:   cbor.Marshal,
		decode:   cbor.Unmarshal,
		mapHead:  0xb9,
		listHead: 0x99,
		null:     0xf6,
		kindOf:   kindOfCBOR,
	}
	MessagePack = Encoding{
		name:     "MessagePack",
		encode:   msgpack.Marshal,
		decode:   msgpack.Unmarshal,
		mapHead:  0xde,
		listHead: 0xdc,
		null:     0xc0,
		kindOf:   kindOfMessagePack,
	}
)

// kind is the kind of an encoded value.
type kind int

const (
	otherKind kind = iota
	integerKind
	floatKind
	textKind
	flagKind
	listKind
	mapKind
)

// kindOfCBOR returns the kind of a value by its first byte (RFC 8949, 3.1 and 3.3).
func kindOfCBOR(first byte) kind {
	const majorTypeBits = 5
	switch first >> majorTypeBits {
	case 0, 1:
		return integerKind
	case 3:
		return textKind
	case 4:
		return listKind
	case 5:
		return mapKind
	}
	switch first {
	case 0xf4, 0xf5:
		return flagKind
	case 0xf9, 0xfa, 0xfb:
		return floatKind
	}
	return otherKind
}

// kindOfMessagePack returns the kind of a value by its first byte.
func kindOfMessagePack(first byte) kind {
	switch {
	case first <= 0x7f, first >= 0xe0, first >= 0xcc && first <= 0xd3:
		return integerKind
	case first >= 0x80 && first <= 0x8f, first == 0xde, first == 0xdf:
		return mapKind
	case first >= 0x90 && first <= 0x9f, first == 0xdc, first == 0xdd:
		return listKind
	case first >= 0xa0 && first <= 0xbf, first >= 0xd9 && first <= 0xdb:
		return textKind
	case first == 0xc2, first == 0xc3:
		return flagKind
	case first == 0xca, first == 0xcb:
		return floatKind
	}
	return otherKind
}

// field is a field of an encoded map.
type field struct {
	key   string
	value []byte
}

// fieldsOf returns the fields of an encoded map, ordered by their keys.
func (e Encoding) fieldsOf(encoded []byte) ([]field, error) {
	byKey := map[string]rawValue{}
	if err := e.decodeRaw(encoded, &byKey); err != nil {
		return nil, err
	}
	var fields []field
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		fields = append(fields, field{key, byKey[key].orNull(e)})
	}
	return fields, nil
}

// elementsOf returns the elements of an encoded list.
func (e Encoding) elementsOf(encoded []byte) ([]rawValue, error) {
	var elements []rawValue
	if err := e.decodeRaw(encoded, &elements); err != nil {
		return nil, err
	}
	for i := range elements {
		elements[i] = elements[i].orNull(e)
	}
	return elements, nil
}

func (e Encoding) decodeRaw(encoded []byte, v any) error {
	if err := e.decode(encoded, v); err != nil {
		return fmt.Errorf("unknownfields: decode %s: %w", e.name, err)
	}
	return nil
}

// joinFields returns the encoded form of a map with the fields in the given order.
func (e Encoding) joinFields(fields []field) ([]byte, error) {
	joined := binary.BigEndian.AppendUint16([]byte{e.mapHead}, uint16(len(fields)))
	for _, f := range fields {
		key, err := e.encode(f.key)
		if err != nil {
			return nil, fmt.Errorf("unknownfields: encode key %q: %w", f.key, err)
		}
		joined = append(joined, key...)
		joined = append(joined, f.value...)
	}
	return joined, nil
}

// joinElements returns the encoded form of a list.
func (e Encoding) joinElements(elements []rawValue) []byte {
	joined := binary.BigEndian.AppendUint16([]byte{e.listHead}, uint16(len(elements)))
	for _, element := range elements {
		joined = append(joined, element...)
	}
	return joined
}

// rawValue is a value in encoded form.
type rawValue []byte

// orNull returns the value, or null for an empty one: the MessagePack library does not hand null to
// a decoder of the application's own.
func (r rawValue) orNull(e Encoding) rawValue {
	if len(r) == 0 {
		return rawValue{e.null}
	}
	return r
}

// UnmarshalCBOR keeps the encoded form.
func (r *rawValue) UnmarshalCBOR(encoded []byte) error {
	*r = slices.Clone(encoded)
	return nil
}

// DecodeMsgpack keeps the encoded form.
func (r *rawValue) DecodeMsgpack(d *msgpack.Decoder) error {
	encoded, err := d.DecodeRaw()
	*r = rawValue(encoded)
	return err
}
