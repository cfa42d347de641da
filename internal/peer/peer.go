// Package peer holds the messages between controllers, in msgpack. Each is the body of a POST
// to the internal address; the answer is the response's body. The protocol leaves them to the
// service ("Controller nodes <-> controller nodes"). Controllers of different versions
// exchange them: a field is never given another meaning, and unknown ones are ignored.
package peer

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Path is where a controller takes a Request, at its internal address.
const Path = "/peer"

// ContentType is the media type of every message in this package.
const ContentType = "application/msgpack"

// MaxMessage is the size in bytes of the largest message that a controller takes. Senders
// bound what grows with the fleet, the rows of Demand above all, so that it fits.
const MaxMessage = 1 << 20

// Request is a message to another controller. Exactly one part is set beside From.
type Request struct {
	From          string         `msgpack:"f"` // the sender's label
	Status        *Status        `msgpack:"s,omitempty"`
	JobRequest    *JobRequest    `msgpack:"a,omitempty"`
	JobRecordHint *JobRecordHint `msgpack:"h,omitempty"`
	Release       *Release       `msgpack:"r,omitempty"`
	// Quota is sent by the command line, whose From is empty.
	Quota *QuotaRequest `msgpack:"q,omitempty"`
}

// Response answers a Request, in the part of the same name; OK answers a JobRecordHint and a
// Release.
type Response struct {
	From        string         `msgpack:"f"` // the label of the controller that answers
	Status      *StatusAck     `msgpack:"s,omitempty"`
	JobResponse *JobResponse   `msgpack:"a,omitempty"`
	OK          bool           `msgpack:"o,omitempty"`
	Quota       *QuotaResponse `msgpack:"q,omitempty"`
}

// Encode returns the msgpack form of a message.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode reads a message into v. A malformed one is an error, never a panic.
func Decode(b []byte, v any) error {
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("peer: decode %T: %w", v, err)
	}
	return nil
}
