// Package wire defines the messages that a controller exchanges with users, workers, the cloud
// and the state service, the records that it stores in the state service, and the paths of
// requests. Bodies are encoded as CBOR (protocol: the introduction). Go identifiers use the
// standard terms of cluster scheduling; the words of the protocol appear only in the struct
// tags and constants of this package.
package wire

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value that is decoded later, once its type is known.
type Raw = cbor.RawMessage

// Limits of the decoder. They hold for the values of unknown fields as well. A request's body is
// shorter than the longest array or map.
const (
	// maxNesting is the number of arrays and maps that may be inside one another. The decoder's
	// stack grows by about 256 bytes with each.
	maxNesting       = 1024
	maxArrayElements = 131072 // more than MaxTasks
	maxMapPairs      = 65536
)

// Bounds on how much longer the textual form of a value is than its CBOR form.
const (
	// maxTextExpansion is the largest ratio of the two lengths: false takes one byte in CBOR
	// and, with the comma after it, six bytes in text.
	maxTextExpansion = 6
	// decimalPointMargin is the number of bytes added for amounts: the state service's text
	// writes whole amounts with a decimal point, and encoding/json does not.
	decimalPointMargin = 2 * 16
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns the encoder. Floats are encoded at full width, because not every reader
// supports half-precision floats.
func newEncMode() cbor.EncMode {
	options := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, ShortestFloat: cbor.ShortestFloatNone}
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("wire: encoder options: %v", err))
	}
	return mode
}

// newDecMode returns the decoder. Names of fields match exactly: a name that differs in case is
// that of an unknown field, which receivers must ignore (protocol: the introduction). By default
// the library would take it for the known one.
func newDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		IndefLength:       cbor.IndefLengthAllowed,
		DefaultMapType:    reflect.TypeFor[map[string]any](),
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(fmt.Sprintf("wire: decoder options: %v", err))
	}
	return mode
}

// Encode returns the CBOR form of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes a CBOR body into v. Fields that v does not have are ignored, whatever their value;
// of several fields of one name the first counts. A map with a key that is neither text nor a
// number is an error, and so are bytes after the first CBOR value. After an error in a key or in
// the type of a value v holds the other fields.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("wire: decode %T: %w", v, err)
	}
	return nil
}

// StoredSize returns the size in bytes that the state service counts towards its limits for a
// value: the length of the textual form, or of the CBOR form if that is longer. The result is
// at most limit if and only if the value fits. It is only exact near the limit.
func StoredSize(value Raw, limit int) int {
	if len(value) > limit || maxTextExpansion*len(value) <= limit {
		return len(value)
	}
	var v any
	if err := decMode.Unmarshal(value, &v); err != nil {
		return limit + 1
	}
	text, err := json.Marshal(v)
	if err != nil {
		return limit + 1
	}
	return max(len(text)+decimalPointMargin, len(value))
}
