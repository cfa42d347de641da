package wire

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// mapHeadOf2 is the CBOR head of a map with two fields.
const mapHeadOf2 = 0xa2

// encoded returns the CBOR form of a value.
func encoded(t *testing.T, value any) []byte {
	t.Helper()
	b, err := Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// withUnknownField returns a submission with an unknown field in front, given the encoded value.
func withUnknownField(t *testing.T, value []byte) []byte {
	t.Helper()
	return withFirstField(t, encoded(t, "unknown"), value)
}

// withFirstField returns a submission with one more field in front, given in encoded form.
func withFirstField(t *testing.T, key, value []byte) []byte {
	t.Helper()
	fields := submissionFields()
	body := []byte{0xb9, 0, byte(len(fields) + 1)} // a map with the number of its fields in two bytes
	body = append(body, key...)
	body = append(body, value...)
	for name, fieldValue := range fields {
		body = append(body, encoded(t, name)...)
		body = append(body, encoded(t, fieldValue)...)
	}
	return body
}

// nestedLists returns lists in one another, the innermost one empty.
func nestedLists(depth int) []byte {
	return append(bytes.Repeat([]byte{0x81}, depth-1), 0x80)
}

// TestUnknownFieldOfAnyValue guards against a message that is refused for the value of a field that
// the protocol does not name. The value's depth is bounded, since the decoder's stack grows with it.
func TestUnknownFieldOfAnyValue(t *testing.T) {
	const maxRequestBytes = 64 << 10
	for _, tc := range []struct {
		name  string
		value []byte
		ok    bool
	}{
		{"nested 17 deep", nestedLists(17), true},
		{"nested as deep as the bound", nestedLists(maxNesting - 1), true},
		{"nested deeper", nestedLists(maxNesting), false},
		{"as many elements as a request can have", encoded(t, make([]bool, maxRequestBytes-1000)), true},
		{"a long text", encoded(t, strings.Repeat("x", maxRequestBytes-1000)), true},
		{"binary", []byte{0x42, 1, 2}, true},
		{"a map with a binary key", []byte{0xa1, 0x41, 'k', 0x01}, true},
		{"a large number with a tag", []byte{0xc2, 0x41, 1}, true},
		{"text that is not UTF-8", []byte{0x61, 0xff}, true},
		{"a half-precision float", []byte{0xf9, 0x3c, 0x00}, true},
		{"a list of unknown length", []byte{0x9f, 0x01, 0xff}, true},
		{"an undefined value", []byte{0xf7}, true},
		{"nothing", nil, false},
	} {
		got, err := ParseSubmission(withUnknownField(t, tc.value))
		if (err == nil) != tc.ok || tc.ok && got.ID != "job-000412" {
			t.Errorf("%s: job %q, error %v, want an error: %v", tc.name, got.ID, err, !tc.ok)
		}
	}
}

// TestKeyThatIsNoText checks that a number as a key is ignored, and that a map with any other key
// that is not text is malformed: the protocol has text keys only. The error still names the job,
// because an accepted one must not be refused.
func TestKeyThatIsNoText(t *testing.T) {
	value := encoded(t, "value")
	for _, tc := range []struct {
		name string
		key  []byte
		ok   bool
	}{
		{"a number", []byte{0x01}, true},
		{"a negative number", []byte{0x20}, true},
		{"binary", []byte{0x41, 'k'}, false},
		{"binary, with the name of a field", append([]byte{0x47}, "paddock"...), false},
		{"a list", []byte{0x80}, false},
		{"a flag", []byte{0xf5}, false},
		{"null", []byte{0xf6}, false},
		{"text that is not UTF-8", []byte{0x61, 0xff}, false},
	} {
		got, err := ParseSubmission(withFirstField(t, tc.key, value))
		if (err == nil) != tc.ok || got.Zone != "" {
			t.Errorf("%s: zone %q, error %v, want no zone, and an error: %v", tc.name, got.Zone, err, !tc.ok)
		}
		if err != nil && err.ID != "job-000412" {
			t.Errorf("%s: the error names the job %q, want job-000412", tc.name, err.ID)
		}
	}
}

// TestRepeatedName checks that the first of several fields of one name counts, also if it is null.
func TestRepeatedName(t *testing.T) {
	name := encoded(t, "label")
	for _, tc := range []struct {
		name  string
		first any
		want  string
	}{{"text", "a", "a"}, {"null", nil, ""}} {
		body := slices.Concat([]byte{mapHeadOf2}, name, encoded(t, tc.first), name, encoded(t, "b"))
		var got OwnerRecord
		if err := Decode(body, &got); err != nil || got.Label != tc.want {
			t.Errorf("%s: label %q, error %v, want %q", tc.name, got.Label, err, tc.want)
		}
	}
}
