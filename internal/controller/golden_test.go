package controller

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// These tests compare the encoded form of every record and message byte for byte with
// testdata/golden.json. After an intended change of the protocol, write that file again with
//
//	go test ./internal/controller -run TestGoldenBytes -update-golden

var updateGolden = flag.Bool("update-golden", false, "rewrite testdata/golden.json")

const goldenFile = "testdata/golden.json"

// codec is one of the encodings of the protocol.
type codec struct {
	name   string // name of its struct tags
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
}

var (
	cborCodec    = codec{"cbor", wire.Encode, wire.Decode}
	msgpackCodec = codec{"msgpack", peer.Encode, peer.Decode}
)

// goldenSample is a type of record or message. Its label stays the same when the Go type is renamed.
type goldenSample struct {
	label string
	codec codec
	typ   reflect.Type
}

func goldenSampleOf[T any](label string, c codec) goldenSample {
	return goldenSample{label, c, reflect.TypeFor[T]()}
}

// goldenSamples returns all types that are stored, or sent as a whole body.
func goldenSamples() []goldenSample {
	return []goldenSample{
		goldenSampleOf[wire.OwnerRecord]("owner record", cborCodec),
		goldenSampleOf[wire.MachineRecordSet]("machine batch record", cborCodec),
		goldenSampleOf[wire.JobRecord]("job record", cborCodec),
		goldenSampleOf[wire.CheckpointRecord]("job version record", cborCodec),
		goldenSampleOf[quota.Record]("quota record", cborCodec),
		goldenSampleOf[wire.Submission]("submission", cborCodec),
		goldenSampleOf[wire.JobAnswer]("job answer", cborCodec),
		goldenSampleOf[wire.Heartbeat]("report", cborCodec),
		goldenSampleOf[wire.HeartbeatReply]("report answer", cborCodec),
		goldenSampleOf[wire.Redirect]("report redirect", cborCodec),
		goldenSampleOf[wire.DirectCommand]("worker commands", cborCodec),
		goldenSampleOf[wire.MachineTypes]("machine types", cborCodec),
		goldenSampleOf[wire.RentalRequest]("machine request", cborCodec),
		goldenSampleOf[wire.Refusal]("refusal", cborCodec),
		goldenSampleOf[wire.MachineNames]("machine names", cborCodec),
		goldenSampleOf[wire.MachineList]("machine list", cborCodec),
		goldenSampleOf[wire.KeyValue]("key and value", cborCodec),
		goldenSampleOf[wire.KeyList]("key list", cborCodec),
		goldenSampleOf[wire.Txn]("transaction", cborCodec),
		goldenSampleOf[wire.Revision]("revision", cborCodec),
		goldenSampleOf[wire.NewLease]("new lease", cborCodec),
		goldenSampleOf[wire.Lease]("lease", cborCodec),
		goldenSampleOf[wire.Events]("watch events", cborCodec),
		goldenSampleOf[peer.Request]("peer request", msgpackCodec),
		goldenSampleOf[peer.Response]("peer response", msgpackCodec),
	}
}

// TestGoldenBytes checks that the encoded form of every record and message, filled and empty, is
// the one in the golden file, and that the filled one is decoded to the same value.
func TestGoldenBytes(t *testing.T) {
	got := map[string]string{}
	for _, s := range goldenSamples() {
		filled := s.filled(t)
		got[s.label] = s.encoded(t, filled)
		got[s.label+", empty"] = s.encoded(t, reflect.New(s.typ))
		s.checkDecoded(t, filled, got[s.label])
	}
	if *updateGolden {
		writeGolden(t, got)
	}
	want := readGolden(t)
	for label, encoded := range got {
		if encoded != want[label] {
			t.Errorf("%s is encoded as\n%s, want\n%s", label, encoded, want[label])
		}
	}
	for label := range want {
		if _, ok := got[label]; !ok {
			t.Errorf("%s is in the golden file but in no sample", label)
		}
	}
}

// filled returns a pointer to a value with every field set.
func (s goldenSample) filled(t *testing.T) reflect.Value {
	t.Helper()
	v := reflect.New(s.typ)
	f := filler{tag: s.codec.name}
	if err := f.fill(v.Elem()); err != nil {
		t.Fatalf("%s: %v", s.label, err)
	}
	return v
}

func (s goldenSample) encoded(t *testing.T, v reflect.Value) string {
	t.Helper()
	b, err := s.codec.encode(v.Interface())
	if err != nil {
		t.Fatalf("%s: %v", s.label, err)
	}
	return hex.EncodeToString(b)
}

func (s goldenSample) checkDecoded(t *testing.T, want reflect.Value, encoded string) {
	t.Helper()
	b, err := hex.DecodeString(encoded)
	if err != nil {
		t.Fatalf("%s: %v", s.label, err)
	}
	got := reflect.New(s.typ)
	if err := s.codec.decode(b, got.Interface()); err != nil {
		t.Errorf("%s: %v", s.label, err)
		return
	}
	if !reflect.DeepEqual(got.Interface(), want.Interface()) {
		t.Errorf("%s is decoded as %+v, want %+v", s.label, got.Elem(), want.Elem())
	}
}

func writeGolden(t *testing.T, golden map[string]string) {
	t.Helper()
	text, err := json.MarshalIndent(golden, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, append(text, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readGolden(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var golden map[string]string
	if err := json.Unmarshal(text, &golden); err != nil {
		t.Fatal(err)
	}
	return golden
}

// filler sets every encoded field of a value. All numbers and strings that it sets differ.
type filler struct {
	tag     string // name of the encoding's struct tags
	counter int64
}

func (f *filler) next() int64 {
	f.counter++
	return f.counter
}

func (f *filler) fill(v reflect.Value) error {
	if v.Type() == reflect.TypeFor[wire.Raw]() {
		return f.fillRaw(v)
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next()))
	case reflect.Int, reflect.Int64:
		v.SetInt(f.next())
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return f.fill(v.Elem())
	case reflect.Slice:
		return f.fillSlice(v)
	case reflect.Struct:
		return f.fillStruct(v)
	default:
		return fmt.Errorf("cannot fill a value of type %s", v.Type())
	}
	return nil
}

// fillRaw sets a value that is kept in encoded form.
func (f *filler) fillRaw(v reflect.Value) error {
	b, err := wire.Encode(fmt.Sprintf("raw-%d", f.next()))
	v.SetBytes(b)
	return err
}

func (f *filler) fillSlice(v reflect.Value) error {
	const elements = 2
	v.Set(reflect.MakeSlice(v.Type(), elements, elements))
	for i := range elements {
		if err := f.fill(v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *filler) fillStruct(v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || strings.Split(field.Tag.Get(f.tag), ",")[0] == "-" {
			continue
		}
		if err := f.fill(v.Field(i)); err != nil {
			return fmt.Errorf("%s: %w", field.Name, err)
		}
	}
	return nil
}
