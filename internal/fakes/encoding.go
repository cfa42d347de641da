package fakes

import (
	"garnethitch/internal/unknownfields"
	"garnethitch/internal/wire"
)

// Encode returns the encoded form of a message of a user, a worker, the cloud or the state service.
// Beside each field stands one that the protocol does not name, which the receiver must ignore;
// its name differs in case only.
func Encode(message any) ([]byte, error) {
	encoded, err := wire.Encode(message)
	if err != nil {
		return nil, err
	}
	return unknownfields.CBOR.Add(encoded)
}
