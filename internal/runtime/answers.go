package runtime

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/http1"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// decodeResult decodes the response to a call into the type that the controller expects for the
// request. The body is not decoded if the controller does not need it for the status.
func decodeResult(call controller.Call, msg http1.Message) (controller.Result, error) {
	decode := decodeServiceAnswer
	if call.To == controller.ToPeer {
		decode = decodePeerAnswer
	}
	body, err := decode(call.Req, msg)
	if err != nil {
		return controller.Result{}, err
	}
	return controller.Result{Status: msg.Status, Body: body}, nil
}

func decodePeerAnswer(_ any, msg http1.Message) (any, error) {
	if msg.Status != http.StatusOK {
		return nil, nil
	}
	var response peer.Response
	if err := peer.Decode(msg.Body, &response); err != nil {
		return nil, err
	}
	return &response, nil
}

// decodeServiceAnswer decodes the response of the state service, the cloud or a worker to a
// request. The result is nil if the controller needs no body.
func decodeServiceAnswer(request any, msg http1.Message) (any, error) {
	switch request.(type) {
	// From the state service.
	case wire.Txn:
		return decodeBody[wire.Revision](msg, http.StatusOK, http.StatusConflict)
	case wire.NewLease:
		return decodeBody[wire.Lease](msg, http.StatusOK)
	case statestore.GetKey:
		return decodeBody[wire.KeyValue](msg, http.StatusOK)
	case statestore.ListKeys:
		return decodeBody[wire.KeyList](msg, http.StatusOK)
	case statestore.WatchKeys:
		return decodeBody[wire.Events](msg, http.StatusOK)

	// From the cloud.
	case controller.GetTypes:
		return decodeBody[wire.MachineTypes](msg, http.StatusOK)
	case controller.ListMachines:
		return decodeBody[wire.MachineList](msg, http.StatusOK)
	case wire.RentalRequest:
		return decodeRentalAnswer(msg)

	// From a worker.
	case wire.DirectCommand:
		if msg.Status == http.StatusConflict {
			return decodeBody[wire.Heartbeat](msg, http.StatusConflict)
		}
		return decodeHeartbeat(msg)
	case controller.GetHeartbeat:
		return decodeHeartbeat(msg)
	}
	return nil, nil
}

// decodeBody decodes the body of a response into a *T if its status is one of the statuses.
// Otherwise the result is nil.
func decodeBody[T any](msg http1.Message, statuses ...int) (any, error) {
	if !slices.Contains(statuses, msg.Status) {
		return nil, nil
	}
	body := new(T)
	if err := wire.Decode(msg.Body, body); err != nil {
		return nil, err
	}
	return body, nil
}

// decodeRentalAnswer decodes the cloud's response to a wire.RentalRequest. The body of a 503
// distinguishes a lack of capacity from an outage. A body that cannot be decoded counts as an
// outage.
func decodeRentalAnswer(msg http1.Message) (any, error) {
	if msg.Status != http.StatusServiceUnavailable {
		return decodeBody[wire.MachineNames](msg, http.StatusOK)
	}
	var refusal wire.Refusal
	if err := wire.Decode(msg.Body, &refusal); err != nil {
		return nil, nil
	}
	if refusal.Error != string(controller.RefusedRental) {
		return nil, nil
	}
	return controller.RefusedRental, nil
}

// decodeHeartbeat decodes and validates a heartbeat that a worker has sent as a response.
func decodeHeartbeat(msg http1.Message) (any, error) {
	if msg.Status != http.StatusOK {
		return nil, nil
	}
	heartbeat, err := wire.ParseHeartbeat(msg.Body)
	if err != nil {
		return nil, err
	}
	return &heartbeat, nil
}
