package wire

import "testing"

// TestStoredSize checks that a value fits a limit only if both its textual form and its CBOR form
// fit.
func TestStoredSize(t *testing.T) {
	list := make([]bool, 300)
	value, err := Encode(map[string]any{"k": list})
	if err != nil {
		t.Fatal(err)
	}
	text := len(`{"k":[]}`) + len("false")*300 + 299
	for _, tc := range []struct {
		limit int
		fits  bool
	}{{len(value) - 1, false}, {len(value), false}, {text - 1, false}, {text + 40, true}, {100_000, true}} {
		if got := StoredSize(value, tc.limit) <= tc.limit; got != tc.fits {
			t.Errorf("limit %d: fits %v, want %v", tc.limit, got, tc.fits)
		}
	}
}
