package wire

import (
	"reflect"
	"testing"

	"garnethitch/internal/unknownfields"
)

// variantsOf returns variants of the encoded value that have fields whose names differ from those
// of the protocol in case only.
func variantsOf(t *testing.T, value any) []unknownfields.Variant {
	t.Helper()
	encoded, err := Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	variants, err := unknownfields.CBOR.Variants(encoded, unknownfields.Names)
	if err != nil || len(variants) == 0 {
		t.Fatalf("%d variants, error %v", len(variants), err)
	}
	return variants
}

// TestSubmissionWithUnknownFields guards against a job that is accepted with values of fields that
// the protocol does not name, so that it runs in a zone that its user did not allow, or that is
// refused for them.
func TestSubmissionWithUnknownFields(t *testing.T) {
	deadline := 900.0
	want := Submission{
		ID: "job-000412", Class: "train", Team: "vision", Kind: kindArray, Priority: "high",
		Tasks: 16, CPUs: 8, GPUs: 1, MemGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"},
		Zone: "a", SameZone: true, Spread: false, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4,
		DeadlineS: &deadline, DependsOn: []string{"job-000411"},
	}
	for _, v := range variantsOf(t, want) {
		got, err := ParseSubmission(v.Encoded)
		if err != nil {
			t.Errorf("%s: %v", v.Change, err)
		} else if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", v.Change, got, want)
		}
	}
}

// TestHeartbeatWithUnknownFields guards against a heartbeat that is taken for another one, or
// refused, for a field that the protocol does not name, also where the reader compares lists of
// tasks without decoding them.
func TestHeartbeatWithUnknownFields(t *testing.T) {
	notice := 20.0
	want := Heartbeat{
		Machine: "vm-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true,
		AgentEpoch: 3, Sequence: 88, FencingToken: 41, NoticeS: &notice,
		Tasks: []TaskStatus{
			{Task: "job-000412/3", Attempt: 2, State: TaskRunning},
			{Task: "job-000398/0", Attempt: 1, State: TaskExited, ExitReason: ExitStopped, Saved: true},
		},
	}
	const cacheBytes = 1 << 20
	reader := NewHeartbeatReader(cacheBytes)
	for _, v := range variantsOf(t, want) {
		got, err := reader.Parse(v.Encoded)
		if err != nil {
			t.Errorf("%s: %v", v.Change, err)
		} else if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", v.Change, got, want)
		}
	}
}
