package peer

import (
	"bytes"
	"testing"
)

// TestMachineStateIsSentAsInteger checks that a MachineState is encoded as a plain integer, because
// other versions of the controller read it as one.
func TestMachineStateIsSentAsInteger(t *testing.T) {
	for state := MachineIdle; state <= MachineUnreconciled; state++ {
		got, err := Encode(state)
		if err != nil {
			t.Fatal(err)
		}
		want, err := Encode(int(state))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s is encoded as %x, want %x", state, got, want)
		}
	}
}

func TestMachineStateString(t *testing.T) {
	seen := map[string]bool{}
	for state := MachineIdle; state <= MachineUnreconciled; state++ {
		name := state.String()
		if seen[name] || name[0] < 'a' || name[0] > 'z' {
			t.Errorf("state %d is named %q, want a unique name that begins with a lower-case letter", int(state), name)
		}
		seen[name] = true
	}
	if got := MachineState(99).String(); got != "99" {
		t.Errorf("an unknown state is named %q, want its number", got)
	}
}

func TestDecodeMalformed(t *testing.T) {
	for name, body := range map[string][]byte{
		"nothing": nil, "a reserved byte": {0xc1}, "half a map": {0x82, 0xa1, 'f'}, "a number": {0x01}, "a map of numbers": {0x81, 0x01, 0x02},
	} {
		var request Request
		if err := Decode(body, &request); err == nil {
			t.Errorf("%s is decoded without an error, as %+v", name, request)
		}
	}
}

// TestRepeatedName checks that the last of several fields of one name counts, also if it is null.
func TestRepeatedName(t *testing.T) {
	const mapHeadOf2 = 0x82
	for _, tc := range []struct {
		name string
		last any
		want string
	}{{"text", "b", "b"}, {"null", nil, ""}} {
		body := []byte{mapHeadOf2}
		for _, value := range []any{"f", "a", "f", tc.last} {
			encoded, err := Encode(value)
			if err != nil {
				t.Fatal(err)
			}
			body = append(body, encoded...)
		}
		var got Request
		if err := Decode(body, &got); err != nil || got.From != tc.want {
			t.Errorf("%s: from %q, error %v, want %q", tc.name, got.From, err, tc.want)
		}
	}
}
