package runtime

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"garnethitch/internal/controller"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	cborType    = "application/cbor"
	msgpackType = "application/msgpack"
)

// EncodedCall is the HTTP form of a call without its address.
type EncodedCall struct {
	Method string
	Target string
	Body   []byte
}

// EncodeCall returns the HTTP form of a call. It is a pure function.
func EncodeCall(call controller.Call) (EncodedCall, error) {
	if call.To == controller.ToPeer {
		body, err := peer.Encode(call.Req)
		return EncodedCall{Method: http.MethodPost, Target: "/peer", Body: body}, err
	}
	form, err := formOf(call.Req)
	if err != nil {
		return EncodedCall{}, err
	}
	encoded := EncodedCall{Method: form.method, Target: form.target}
	if form.payload != nil {
		encoded.Body, err = wire.Encode(form.payload)
	}
	return encoded, err
}

// EncodeAnswer returns the content type and the encoded form of an answer's body, which
// may be nil. It is a pure function.
func EncodeAnswer(body any) (contentType string, encoded []byte, err error) {
	if body == nil {
		return cborType, nil, nil
	}
	if response, ok := body.(*peer.Response); ok {
		encoded, err = peer.Encode(response)
		return msgpackType, encoded, err
	}
	encoded, err = wire.Encode(body)
	return cborType, encoded, err
}

// requestForm is a request whose body, if it has one, is not encoded yet.
type requestForm struct {
	method  string
	target  string
	payload any
}

func get(target string) requestForm {
	return requestForm{method: http.MethodGet, target: target}
}

func post(target string, payload any) requestForm {
	return requestForm{method: http.MethodPost, target: target, payload: payload}
}

// formOf returns the form of a request to the state service, the cloud or a worker.
func formOf(request any) (requestForm, error) {
	switch r := request.(type) {
	case wire.Txn:
		if r.If == nil {
			r.If = []wire.Condition{}
		}
		return post("/multi", r), nil
	case wire.NewLease:
		return post("/grants", r), nil
	case controller.RenewLease:
		return post("/grants/"+strconv.FormatUint(r.Lease, 10)+"/extend", nil), nil
	case controller.GetKey:
		return get("/keys/" + r.Key), nil
	case controller.ListKeys:
		return get(listKeysTarget(r)), nil
	case controller.Watch:
		return get(watchTarget(r)), nil
	case controller.GetTypes:
		return get("/flavors"), nil
	case controller.ListMachines:
		return get(listMachinesTarget(r)), nil
	case controller.ReturnMachines:
		return post("/rentals/return", wire.MachineNames{Machines: r.Machines}), nil
	case wire.Rental:
		return post("/rentals", r), nil
	case wire.DirectCommand:
		return post("/orders", r), nil
	case controller.GetHeartbeat:
		return get("/show"), nil
	}
	return requestForm{}, fmt.Errorf("runtime: request of unknown type %T", request)
}

func listKeysTarget(r controller.ListKeys) string {
	target := "/keys?starts=" + url.QueryEscape(r.Prefix) + "&most=" + strconv.Itoa(r.Limit)
	if r.After != "" {
		target += "&since=" + url.QueryEscape(r.After)
	}
	return target
}

func watchTarget(r controller.Watch) string {
	return "/watch?starts=" + url.QueryEscape(r.Prefix) +
		"&since=" + strconv.FormatUint(r.Since, 10) +
		"&blockMs=" + strconv.FormatInt(r.WaitMS, 10)
}

func listMachinesTarget(r controller.ListMachines) string {
	target := "/rentals?most=" + strconv.Itoa(r.Limit)
	if r.After != "" {
		target += "&since=" + url.QueryEscape(r.After)
	}
	return target
}
