package simulation

import (
	"garnethitch/internal/peer"
	"garnethitch/internal/unknownfields"
	"garnethitch/internal/wire"
)

// unknownFieldsEvery is the number of received messages of which one has fields that the receiver
// does not know, beside each of its fields. In all messages they would double the time of a run.
const unknownFieldsEvery = 4

// receivedHeartbeat returns a worker's heartbeat as the controller decodes it.
func (n *node) receivedHeartbeat(sent *wire.Heartbeat) (wire.Heartbeat, error) {
	body, err := wire.Encode(sent)
	if err == nil {
		body, err = n.withUnknownFields(unknownfields.CBOR, body)
	}
	if err != nil {
		return wire.Heartbeat{}, err
	}
	return n.heartbeatReader.Parse(body)
}

// receivedRequest returns a request of another controller as the controller decodes it.
func (n *node) receivedRequest(sent any) (received peer.Request, err error) {
	body, err := peer.Encode(sent)
	if err == nil {
		body, err = n.withUnknownFields(unknownfields.MessagePack, body)
	}
	if err != nil {
		return received, err
	}
	return received, peer.Decode(body, &received)
}

// withUnknownFields adds fields to one of several messages, by their number alone.
func (n *node) withUnknownFields(encoding unknownfields.Encoding, body []byte) ([]byte, error) {
	n.receivedMessages++
	if n.receivedMessages%unknownFieldsEvery != 0 {
		return body, nil
	}
	return encoding.Add(body)
}
