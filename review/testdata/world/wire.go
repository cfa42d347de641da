package main

import (
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// object is a CBOR map with text keys.
type object = map[string]any

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[object]()}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
	return body
}

func decode(body []byte, v any) bool { return decoder.Unmarshal(body, v) == nil }

// readBody returns the whole body of a request.
func readBody(r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	return body
}

// answer writes a response; a nil body is left out.
func answer(rw http.ResponseWriter, status int, body any) {
	var encoded []byte
	if body != nil {
		encoded = encode(body)
		rw.Header().Set("Content-Type", "application/cbor")
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	rw.WriteHeader(status)
	_, _ = rw.Write(encoded)
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}
