package runtime

import (
	"bytes"
	"errors"
	"testing"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
)

// TestEncodeCall checks the method, path and body of requests, and that a content type is set only
// for a request with a body.
func TestEncodeCall(t *testing.T) {
	for _, tc := range []struct {
		name           string
		call           controller.Call
		method, target string
		body           any // nil: none
	}{
		{"transaction without conditions", controller.Call{Req: wire.Txn{}}, "POST", wire.PathTxn, wire.Txn{Conditions: []wire.Condition{}}},
		{"new lease", controller.Call{Req: wire.NewLease{TTLMS: 5000}}, "POST", wire.PathLeases, wire.NewLease{TTLMS: 5000}},
		{"lease renewal", controller.Call{Req: statestore.RenewLease{Lease: 7}}, "POST", wire.RenewLeasePath(7), nil},
		{"key", controller.Call{Req: statestore.GetKey{Key: "a/b"}}, "GET", wire.KeyPath("a/b"), nil},
		{"machine types", controller.Call{Req: controller.GetTypes{}}, "GET", wire.PathMachineTypes, nil},
		{"return", controller.Call{Req: controller.ReturnMachines{Machines: []string{"vm-1"}}}, "POST", wire.PathReturnMachines, wire.MachineNames{Machines: []string{"vm-1"}}},
		{"heartbeat", controller.Call{Req: controller.GetHeartbeat{}}, "GET", wire.PathShowHeartbeat, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := EncodeCall(tc.call)
			if err != nil {
				t.Fatal(err)
			}
			var body []byte
			contentType := ""
			if tc.body != nil {
				contentType = wire.ContentType
				if body, err = wire.Encode(tc.body); err != nil {
					t.Fatal(err)
				}
			}
			if got.Method != tc.method || got.Target != tc.target || got.ContentType != contentType || !bytes.Equal(got.Body, body) {
				t.Errorf("got %+v, want %s %s, content type %q, body %x", got, tc.method, tc.target, contentType, body)
			}
		})
	}
	if _, err := EncodeCall(controller.Call{Req: "text"}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("request of unknown type: error %v, want ErrUnknownRequest", err)
	}
}
