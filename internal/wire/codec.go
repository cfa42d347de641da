// Package wire holds the messages that a controller exchanges with users, workers, the cloud
// and the state service, the records that it stores, and the paths of requests. Bodies are
// CBOR (protocol: the introduction). Go names are the field's terms; the protocol's own words
// stand only in the struct tags and constants here.
package wire

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value whose meaning depends on where it stands.
type Raw = cbor.RawMessage

// Bounds of what is decoded.
const (
	maxNesting       = 16
	maxArrayElements = 131072 // more than MaxTasks
	maxMapPairs      = 65536
)

// Bounds of how much longer the textual form of a value is than what is sent.
const (
	maxTextExpansion   = 6      // a boolean takes one byte in CBOR and, with its comma, six in text
	decimalPointMargin = 2 * 16 // amounts have a decimal point in text even where they are whole
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode makes the encoder. Floats keep their full width: not every reader knows the
// half-wide form.
func newEncMode() cbor.EncMode {
	options := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, ShortestFloat: cbor.ShortestFloatNone}
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("wire: encoder options: %v", err))
	}
	return mode
}

func newDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthAllowed,
		DefaultMapType:   reflect.TypeFor[map[string]any](),
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(fmt.Sprintf("wire: decoder options: %v", err))
	}
	return mode
}

// Encode returns the CBOR form of a body made by this program.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode reads a whole CBOR body into v. Anything left over is an error.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("wire: decode %T: %w", v, err)
	}
	return nil
}

// StoredSize returns the size in bytes at which a value counts in the state service, whose
// limits count the textual form, but no less than what is sent. The result is at most limit
// if and only if the value fits; it is exact only near the limit.
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
