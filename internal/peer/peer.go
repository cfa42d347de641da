// Package peer defines the messages between controllers, encoded as msgpack. A Request is the
// body of a POST to the internal address of another controller, and a Response is the body of
// the HTTP response. The protocol does not specify these messages ("Controller nodes <->
// controller nodes"). Controllers of different versions exchange them, so a field never changes
// its meaning, and unknown fields are ignored.
package peer

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Path is the path at which a controller accepts Requests, at its internal address.
const Path = "/peer"

// ContentType is the media type of every message in this package.
const ContentType = "application/msgpack"

// MaxMessage is the size in bytes of the largest message that a controller accepts. Senders
// limit the lists that grow with the fleet, in particular those of Demand, to stay below it.
const MaxMessage = 1 << 20

// Request is a message to another controller. Exactly one field besides From is set.
type Request struct {
	From          string         `msgpack:"f"` // the sender's label
	Status        *Status        `msgpack:"s,omitempty"`
	JobRequest    *JobRequest    `msgpack:"a,omitempty"`
	JobRecordHint *JobRecordHint `msgpack:"h,omitempty"`
	Release       *Release       `msgpack:"r,omitempty"`
	// Quota is sent by the command-line tool, which leaves From empty.
	Quota *QuotaRequest `msgpack:"q,omitempty"`
}

// Response answers a Request. Status, JobResponse and Quota answer the fields Status, JobRequest
// and Quota of the Request; OK answers a JobRecordHint or a Release.
type Response struct {
	From        string         `msgpack:"f"` // the label of the controller that responds
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

// Decode decodes a message into v. Fields that v does not have are ignored; of several fields of one
// name the last counts. It returns an error if the message is malformed, and never panics.
func Decode(b []byte, v any) error {
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("peer: decode %T: %w", v, err)
	}
	return nil
}
