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

// decodeResult reads an answer into the type that the controller expects for the request.
// The body of a status that needs none is left unread.
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

// decodeServiceAnswer reads the answer of the state service, the cloud or a worker to a
// request. The body is nil if the controller needs none.
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

// decodeBody reads the body of an answer with one of the statuses into a *T.
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

// decodeRentalAnswer reads the cloud's answer to a rental. The body of a 503 tells a lack of
// capacity from an outage; one that can't be read counts as an outage.
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

// decodeHeartbeat reads a worker's heartbeat, and checks it.
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
