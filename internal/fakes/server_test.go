package fakes

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/runtime"
	"garnethitch/internal/wire"
)

// TestServer checks that the server decodes calls as a controller encodes them, and gives the
// answers of the fakes.
func TestServer(t *testing.T) {
	s := NewServer(StateLimits{ValueBytes: 100, TxnOps: 2})
	for i := range 3 {
		s.AddMachine(LoopbackMachine(i, "80"))
	}
	serve := func(to controller.Target, request any) (int, []byte) {
		t.Helper()
		encoded, err := runtime.EncodeCall(controller.Call{To: to, Req: request})
		if err != nil {
			t.Fatal(err)
		}
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequest(encoded.Method, encoded.Target, strings.NewReader(string(encoded.Body))))
		return recorder.Code, recorder.Body.Bytes()
	}
	for _, tc := range []struct {
		name    string
		to      controller.Target
		request any
		status  int
	}{
		{"new lease", controller.ToState, wire.NewLease{TTLMS: 1000}, 200},
		{"renewed lease", controller.ToState, statestore.RenewLease{Lease: 1}, 200},
		{"unknown lease", controller.ToState, statestore.RenewLease{Lease: 2}, 404},
		{"transaction", controller.ToState, put(t, "ctl/a", 1), 200},
		{"key", controller.ToState, statestore.GetKey{Key: "ctl/a"}, 200},
		{"missing key", controller.ToState, statestore.GetKey{Key: "ctl/b"}, 404},
		{"keys", controller.ToState, statestore.ListKeys{Prefix: "ctl/", Limit: 10}, 200},
		{"watch", controller.ToState, statestore.WatchKeys{Prefix: "ctl/", WaitMS: 1000}, 200},
		{"machine types", controller.ToCloud, controller.GetTypes{}, 200},
		{"rental", controller.ToCloud, wire.RentalRequest{RequestID: "r", Type: "small", Zone: "east", Count: 1}, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if status, body := serve(tc.to, tc.request); status != tc.status {
				t.Errorf("status %d, want %d: %q", status, tc.status, body)
			}
		})
	}
	status, body := serve(controller.ToCloud, controller.ListMachines{After: "vm-000000", Limit: 10})
	var list wire.MachineList
	if err := wire.Decode(body, &list); err != nil || status != http.StatusOK || len(list.Machines) != 2 {
		t.Errorf("status %d, error %v, machines %+v, want status 200 and two machines", status, err, list.Machines)
	}
}
