package runtime

import (
	"errors"
	"fmt"
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// ErrUnknownRequest is returned, wrapped, for a call whose request has no HTTP form.
var ErrUnknownRequest = errors.New("runtime: request of unknown type")

// EncodedCall is the HTTP request for a call, without the address.
type EncodedCall struct {
	Method      string
	Target      string // path and query
	ContentType string // empty without a Body
	Body        []byte
}

// EncodeCall returns the HTTP request for a call. It is a pure function. The error wraps
// ErrUnknownRequest or is an encoding error.
func EncodeCall(call controller.Call) (EncodedCall, error) {
	if call.To == controller.ToPeer {
		return encodePeerCall(call.Req)
	}
	unencoded, err := unencodedRequestOf(call.Req)
	if err != nil {
		return EncodedCall{}, err
	}
	encoded := EncodedCall{Method: unencoded.method, Target: unencoded.target}
	if unencoded.payload == nil {
		return encoded, nil
	}
	encoded.ContentType = wire.ContentType
	encoded.Body, err = wire.Encode(unencoded.payload)
	return encoded, err
}

func encodePeerCall(request any) (EncodedCall, error) {
	body, err := peer.Encode(request)
	return EncodedCall{
		Method:      http.MethodPost,
		Target:      peer.Path,
		ContentType: wire.ContentType, // receivers ignore the content type
		Body:        body,
	}, err
}

// EncodeAnswer returns the content type and the encoded form of a response body, which may be
// nil. It is a pure function.
func EncodeAnswer(body any) (contentType string, encoded []byte, err error) {
	if body == nil {
		return wire.ContentType, nil, nil
	}
	if response, ok := body.(*peer.Response); ok {
		encoded, err = peer.Encode(response)
		return peer.ContentType, encoded, err
	}
	encoded, err = wire.Encode(body)
	return wire.ContentType, encoded, err
}

// unencodedRequest is an HTTP request whose body is not encoded yet.
type unencodedRequest struct {
	method  string
	target  string
	payload any // nil: no body
}

func newGetRequest(target string) unencodedRequest {
	return unencodedRequest{method: http.MethodGet, target: target}
}

func newPostRequest(target string, payload any) unencodedRequest {
	return unencodedRequest{method: http.MethodPost, target: target, payload: payload}
}

// unencodedRequestOf returns the HTTP request for a request to the state service, the cloud or a
// worker. decodeServiceAnswer decodes the responses to these requests.
func unencodedRequestOf(request any) (unencodedRequest, error) {
	switch r := request.(type) {
	// To the state service.
	case wire.Txn:
		return newPostRequest(wire.PathTxn, withConditionList(r)), nil
	case wire.NewLease:
		return newPostRequest(wire.PathLeases, r), nil
	case statestore.RenewLease:
		return newPostRequest(wire.RenewLeasePath(r.Lease), nil), nil
	case statestore.GetKey:
		return newGetRequest(wire.KeyPath(r.Key)), nil
	case statestore.ListKeys:
		return newGetRequest(wire.ListKeysTarget(r.Prefix, r.After, r.Limit)), nil
	case statestore.WatchKeys:
		return newGetRequest(wire.WatchTarget(r.Prefix, r.Since, r.WaitMS)), nil

	// To the cloud.
	case controller.GetTypes:
		return newGetRequest(wire.PathMachineTypes), nil
	case controller.ListMachines:
		return newGetRequest(wire.ListMachinesTarget(r.After, r.Limit)), nil
	case controller.ReturnMachines:
		return newPostRequest(wire.PathReturnMachines, wire.MachineNames{Machines: r.Machines}), nil
	case wire.RentalRequest:
		return newPostRequest(wire.PathMachines, r), nil

	// To a worker.
	case wire.DirectCommand:
		return newPostRequest(wire.PathDirectCommand, r), nil
	case controller.GetHeartbeat:
		return newGetRequest(wire.PathShowHeartbeat), nil
	}
	return unencodedRequest{}, fmt.Errorf("%w %T", ErrUnknownRequest, request)
}

// withConditionList returns a copy of a transaction whose list of conditions, if it is nil, is
// replaced by an empty one. A nil list would be encoded as null.
func withConditionList(txn wire.Txn) wire.Txn {
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	return txn
}
