package controller

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// These tests check that this version reads what older versions that may run beside it write, and
// the reverse. The samples were written by those versions; see testdata.

const (
	productionVersion = "025d571"
	lastLandedVersion = "040d356"
)

// readSamples returns the samples written by a version, by kind and name.
func readSamples(t *testing.T, version string) map[string]map[string][]byte {
	text, err := os.ReadFile("testdata/" + version + "/samples.json")
	if err != nil {
		t.Fatal(err)
	}
	var in map[string]map[string]string
	if err := json.Unmarshal(text, &in); err != nil {
		t.Fatal(err)
	}
	out := map[string]map[string][]byte{}
	for kind, list := range in {
		out[kind] = map[string][]byte{}
		for name, s := range list {
			b, err := hex.DecodeString(s)
			if err != nil {
				t.Fatal(err)
			}
			out[kind][name] = b
		}
	}
	return out
}

// The types of the version in production that have changed since. An older version decodes with
// these.
type (
	oldSubmission struct {
		ID          string   `cbor:"nameId"`
		Class       string   `cbor:"herd"`
		Team        string   `cbor:"crew"`
		Kind        string   `cbor:"gait"`
		Priority    string   `cbor:"rank"`
		Tasks       int      `cbor:"loads"`
		CPUs        float64  `cbor:"cpus"`
		GPUs        float64  `cbor:"gpus"`
		MemGB       float64  `cbor:"memGb"`
		Image       string   `cbor:"tack"`
		ImageGB     float64  `cbor:"sizeGb"`
		Types       []string `cbor:"breeds"`
		Zone        string   `cbor:"paddock,omitempty"`
		SameZone    bool     `cbor:"oneZone"`
		Spread      bool     `cbor:"apart"`
		Spot        bool     `cbor:"strays"`
		EstimateS   float64  `cbor:"haulS"`
		CheckpointS float64  `cbor:"restS"`
		SaveS       float64  `cbor:"stowS"`
		DeadlineS   *float64 `cbor:"dueS"`
	}
	oldStatus struct {
		peer.ControllerState `msgpack:",inline"`
		Demand               []peer.Demand `msgpack:"d,omitempty"`
		Gone                 []string      `msgpack:"g,omitempty"`
		Cancelled            []string      `msgpack:"x,omitempty"`
	}
	oldRequest struct {
		From   string     `msgpack:"f"`
		Status *oldStatus `msgpack:"s,omitempty"`
	}
	oldJobRecord struct {
		Submission *oldSubmission `cbor:"sub,omitempty"`
		AcceptedMS int64          `cbor:"at"`
		State      string         `cbor:"state"`
		Tasks      int            `cbor:"tasks"`
	}
)

// TestOlderVersionsAreRead checks that this version reads every record and message of older
// versions completely: encoded again, each is the same byte for byte.
func TestOlderVersionsAreRead(t *testing.T) {
	for _, version := range []string{productionVersion, lastLandedVersion} {
		t.Run(version, func(t *testing.T) { testReadSamples(t, version) })
	}
}

// testReadSamples checks that each sample of a version is decoded, and encoded again as the same
// bytes. Every sample must be covered.
func testReadSamples(t *testing.T, version string) {
	samples := readSamples(t, version)
	if version == lastLandedVersion {
		var rec wire.JobRecord
		if err := wire.Decode(samples["records"]["job chained"], &rec); err != nil || rec.WithDependencies == nil || len(rec.WithDependencies.DependsOn) != 2 {
			t.Errorf("a job with dependencies is read as %+v, %v", rec, err)
		}
		if again := encoded(t, rec); string(again) != string(samples["records"]["job chained"]) {
			t.Errorf("a job with dependencies is encoded again as %x", again)
		}
		delete(samples["records"], "job chained")
	}
	for name, into := range map[string]any{
		"owner": &wire.OwnerRecord{}, "types": &wire.MachineTypes{}, "batch": &wire.MachineRecordSet{},
		"job pending": &wire.JobRecord{}, "job pending plain": &wire.JobRecord{}, "job done": &wire.JobRecord{}, "job cancelled": &wire.JobRecord{},
		"version ranges": &wire.CheckpointRecord{}, "version set": &wire.CheckpointRecord{},
	} {
		b := samples["records"][name]
		if err := wire.Decode(b, into); err != nil || len(b) == 0 {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if again, err := wire.Encode(into); err != nil || string(again) != string(b) {
			t.Errorf("%s: encoded again as %x, %v; was %x", name, again, err, b)
		}
		delete(samples["records"], name)
	}
	for name, into := range map[string]any{
		"status": &peer.Request{}, "status plain": &peer.Request{}, "ask": &peer.Request{}, "ask cancel": &peer.Request{}, "hint": &peer.Request{}, "release": &peer.Request{},
		"status ack": &peer.Response{}, "answer": &peer.Response{}, "answer 503": &peer.Response{}, "ok": &peer.Response{},
	} {
		b := samples["messages"][name]
		if err := peer.Decode(b, into); err != nil || len(b) == 0 {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if again, err := peer.Encode(into); err != nil || string(again) != string(b) {
			t.Errorf("%s: encoded again as %x, %v; was %x", name, again, err, b)
		}
		delete(samples["messages"], name)
	}
	for kind, rest := range samples {
		for name := range rest {
			t.Errorf("%s of the %s is not checked by this test", name, kind)
		}
	}
}

// TestFailoverFromOlderVersions checks that after a failover a node of this version continues with
// the jobs, checkpoints and machines of an older version. Jobs that the older version ended also
// count as dependencies.
func TestFailoverFromOlderVersions(t *testing.T) {
	for _, version := range []string{productionVersion, lastLandedVersion} {
		t.Run(version, func(t *testing.T) { testFailoverFrom(t, version) })
	}
}

// testFailoverFrom fails over to a node of this version with the stored samples of an older one.
func testFailoverFrom(t *testing.T, version string) {
	samples := readSamples(t, version)
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.Teams = []Team{{Name: "t"}, {Name: "vision"}}
		c.ValueBytes, c.TxnOps, c.MaxMachines = 2<<10, 4, 100
	})
	store := func(key string, value []byte) {
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Put: key, Value: value}}})
	}
	store(wire.JobKey("job-000413"), samples["records"]["job pending plain"])
	store(wire.JobKey("job-000412"), samples["records"]["job pending"])
	store(wire.CheckpointKey("job-000412"), samples["records"]["version ranges"])
	store(wire.JobKey("job-000001"), samples["records"]["job done"])
	store(wire.JobKey("job-000002"), samples["records"]["job cancelled"])
	store(wire.MachineRecordSetKey(0, "h-1-1"), samples["records"]["batch"])
	if version == lastLandedVersion {
		store(wire.JobKey("job-000414"), samples["records"]["job chained"])
	}
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}}) // the shard is claimed again
	h.run(3 * sec)
	c := h.c
	if j := c.jobs.open["job-000414"]; version == lastLandedVersion && (j == nil || !j.blocked() || len(j.unmetDependencies) != 2) {
		t.Errorf("the job with dependencies is known as %+v, want it blocked by two jobs", j)
	}
	j := c.jobs.open["job-000412"]
	if j == nil || j.run == nil || j.run.doneCount != 6 || !j.run.doneTasks.Has(9) {
		t.Fatalf("the job or its checkpoint was not taken over: %+v", j)
	}
	if len(c.machines) != 50 || !c.machines["vm-000103"].rec.Cordoned {
		t.Errorf("%d machines, want 50, vm-000103 cordoned", len(c.machines))
	}
	if a := h.submit(dependentSubmission("job-000500", 1, "job-000001", "job-000413")); a.Status != 201 {
		t.Errorf("a submission that depends on jobs of the older version is answered %d, want 201", a.Status)
	}
	if a := h.submit(dependentSubmission("job-000501", 1, "job-000002")); a.Status != 201 || stateOf(a) != wire.StateCancelled {
		t.Errorf("a submission that depends on a job cancelled by the older version is answered %d, state %s, want 201 and cancelled", a.Status, stateOf(a))
	}
	if j := c.jobs.open["job-000500"]; j == nil || !j.blocked() || j.unmetDependencies["job-000001"] {
		t.Errorf("%+v: want it blocked by job-000413 alone", j)
	}
	h.cancel("job-000413")
	h.run(2 * sec)
	if s := h.jobState("job-000414"); version == lastLandedVersion && s != wire.StateCancelled {
		t.Errorf("the job with dependencies is in state %q after a dependency was cancelled, want cancelled", s)
	}
	if s := h.jobState("job-000500"); s != wire.StateCancelled {
		t.Errorf("job-000500 is in state %q after its dependency was cancelled, want cancelled", s)
	}
	// Requests of the older version are answered.
	for name, b := range samples["messages"] {
		var req peer.Request
		if peer.Decode(b, &req) != nil || req.Status == nil && req.JobRequest == nil && req.JobRecordHint == nil && req.Release == nil {
			continue
		}
		req.From = "n-1"
		if a := h.request(func(r ReplyID) Input { return PeerRequest{Reply: r, Req: req} }); a.Status != 200 {
			t.Errorf("message %s is answered %d, want 200", name, a.Status)
		}
	}
}

// TestOlderVersionsReadRequestsToRecord checks that an older version ignores a request to record
// dependents but reads the rest of the message.
func TestOlderVersionsReadRequestsToRecord(t *testing.T) {
	about := peer.ControllerState{UptimeUS: 5, StateReachable: true, Claims: []peer.ShardClaim{{Shard: 1, OwnerEpoch: 77}}}
	sent, err := peer.Encode(peer.Request{From: "n-1", Status: &peer.Status{ControllerState: about, Cancelled: []string{"job-000412"}, JobsToCancel: []string{"job-000413"}}})
	if err != nil {
		t.Fatal(err)
	}
	var got oldRequest
	if err := peer.Decode(sent, &got); err != nil || got.Status == nil {
		t.Fatalf("%+v, %v", got, err)
	}
	if got.From != "n-1" || !reflect.DeepEqual(got.Status.ControllerState, about) || !reflect.DeepEqual(got.Status.Cancelled, []string{"job-000412"}) {
		t.Errorf("read as %+v", got.Status)
	}
}

// TestProductionVersionReadsRecords checks that the version in production reads the records of this
// version like its own. It takes a job with dependencies as pending, without a submission, and so
// starts none of its tasks.
func TestProductionVersionReadsRecords(t *testing.T) {
	due := 900.0
	sub := wire.Submission{ID: "job-000412", Class: "c", Team: "t", Kind: "sweep", Priority: "high", Tasks: 16, CPUs: 8, Image: "i", Types: []string{"m"}, DeadlineS: &due}
	withDependencies := sub
	withDependencies.DependsOn = []string{"job-000001"}
	for _, tc := range []struct {
		name string
		rec  wire.JobRecord
		sub  bool
	}{
		{"a plain job", wire.NewJobRecord(&sub, 5), true},
		{"a job with dependencies", wire.NewJobRecord(&withDependencies, 5), false},
		{"a job that ended", wire.JobRecord{AcceptedMS: 5, State: wire.StateDone, Tasks: 16, EndMS: 77}, false},
	} {
		var old oldJobRecord
		if err := wire.Decode(encoded(t, tc.rec), &old); err != nil {
			t.Fatalf("%s: %v", tc.name, err)
		}
		if old.State != string(tc.rec.State) || old.Tasks != 16 || old.AcceptedMS != 5 || (old.Submission != nil) != tc.sub {
			t.Errorf("%s: read as %+v", tc.name, old)
		}
		if tc.sub && (old.Submission.ID != sub.ID || *old.Submission.DeadlineS != due || !reflect.DeepEqual(old.Submission.Types, sub.Types)) {
			t.Errorf("%s: read as %+v", tc.name, old.Submission)
		}
	}
	// Encoded again by the version in production, a plain job's record is unchanged.
	var old oldJobRecord
	plain := encoded(t, wire.NewJobRecord(&sub, 5))
	if err := wire.Decode(plain, &old); err != nil || string(encoded(t, old)) != string(plain) {
		t.Errorf("encoded again as %x, %v", encoded(t, old), err)
	}
	// The parts of a split record set are ordinary record sets.
	var list []*machine
	for i := range 24 {
		list = append(list, &machine{id: fmt.Sprintf("vm-%06d", i)})
	}
	var b wire.MachineRecordSet
	if err := wire.Decode(encoded(t, recordSetOf(list, nil, nil)), &b); err != nil || len(b.Machines) != 24 {
		t.Errorf("%d machines, %v", len(b.Machines), err)
	}
}
