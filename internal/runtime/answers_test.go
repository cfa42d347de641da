package runtime

import (
	"reflect"
	"testing"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/http1"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestDecodeResult checks that the body is decoded into the type that the controller expects, and
// only for the statuses for which the controller needs it. In that case a body that cannot be
// decoded is an error.
func TestDecodeResult(t *testing.T) {
	heartbeat := wire.Heartbeat{Machine: "vm-1", AgentEpoch: 1}
	null := wire.Raw{0xf6}
	withoutMachine := wire.Heartbeat{AgentEpoch: 1}
	for _, tc := range []struct {
		name    string
		request any
		status  int
		body    any
		want    any // body of the result
		fails   bool
	}{
		{"transaction", wire.Txn{}, 200, wire.Revision{Revision: 4}, &wire.Revision{Revision: 4}, false},
		{"transaction, conditions fail", wire.Txn{}, 409, wire.Revision{Failed: []string{"a"}}, &wire.Revision{Failed: []string{"a"}}, false},
		{"transaction, rejected", wire.Txn{}, 400, "text", nil, false},
		{"transaction, malformed", wire.Txn{}, 200, "text", nil, true},
		{"new lease", wire.NewLease{}, 200, wire.Lease{ID: 7}, &wire.Lease{ID: 7}, false},
		{"lease renewed", statestore.RenewLease{}, 200, "text", nil, false},
		{"key", statestore.GetKey{}, 200, wire.KeyValue{Key: "a", Value: null}, &wire.KeyValue{Key: "a", Value: null}, false},
		{"no such key", statestore.GetKey{}, 404, wire.Revision{Revision: 4}, nil, false},
		{"keys", statestore.ListKeys{}, 200, wire.KeyList{More: true}, &wire.KeyList{More: true}, false},
		{"watch", statestore.WatchKeys{}, 200, wire.Events{Revision: 4}, &wire.Events{Revision: 4}, false},
		{"watch from too old a revision", statestore.WatchKeys{}, 410, "text", nil, false},
		{"machine types", controller.GetTypes{}, 200, wire.MachineTypes{}, &wire.MachineTypes{}, false},
		{"machines", controller.ListMachines{}, 200, wire.MachineList{More: true}, &wire.MachineList{More: true}, false},
		{"machines returned", controller.ReturnMachines{}, 200, "text", nil, false},
		{"rental", wire.RentalRequest{}, 200, wire.MachineNames{Machines: []string{"vm-1"}}, &wire.MachineNames{Machines: []string{"vm-1"}}, false},
		{"rental, no capacity", wire.RentalRequest{}, 503, wire.Refusal{Error: "no capacity"}, controller.RefusedRental, false},
		{"rental, outage", wire.RentalRequest{}, 503, wire.Refusal{Error: "trouble"}, nil, false},
		{"rental, unavailable with a malformed body", wire.RentalRequest{}, 503, "text", nil, false},
		{"command", wire.DirectCommand{}, 200, heartbeat, &heartbeat, false},
		{"command, invalid heartbeat", wire.DirectCommand{}, 200, withoutMachine, nil, true},
		{"command refused", wire.DirectCommand{}, 409, withoutMachine, &withoutMachine, false},
		{"heartbeat", controller.GetHeartbeat{}, 200, heartbeat, &heartbeat, false},
		{"heartbeat, worker fails", controller.GetHeartbeat{}, 500, "text", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body, err := wire.Encode(tc.body)
			if err != nil {
				t.Fatal(err)
			}
			result, err := decodeResult(controller.Call{Req: tc.request}, http1.Message{Status: tc.status, Body: body})
			checkResult(t, result, err, tc.status, tc.want, tc.fails)
		})
	}
}

func TestDecodePeerResult(t *testing.T) {
	response := peer.Response{From: "n-1", OK: true}
	encoded, err := peer.Encode(response)
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		status int
		body   []byte
		want   any
		fails  bool
	}{
		{"answer", 200, encoded, &response, false},
		{"malformed", 200, []byte{0xc1}, nil, true},
		{"refused", 503, encoded, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			result, err := decodeResult(controller.Call{To: controller.ToPeer, Req: peer.Request{}}, http1.Message{Status: tc.status, Body: tc.body})
			checkResult(t, result, err, tc.status, tc.want, tc.fails)
		})
	}
}

func checkResult(t *testing.T, got controller.Result, err error, status int, body any, fails bool) {
	t.Helper()
	want := controller.Result{Status: status, Body: body}
	if fails {
		want = controller.Result{}
	}
	if (err != nil) != fails || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v; want %+v, an error: %v", got, err, want, fails)
	}
}
