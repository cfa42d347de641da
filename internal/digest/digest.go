// Package digest computes a hash of all messages that controllers send in a run of the
// simulation. A refactoring that preserves behaviour does not change the hashes. Only encoded
// messages enter a hash: names of Go types and fields, log lines and spans do not.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/runtime"
	"garnethitch/internal/simulation"
)

// Header is the first line of a file with digests.
const Header = "# plan/seed, number of messages, hash of all messages; made by: go run ./internal/measure digest"

// hashBytes is the number of bytes to which a hash is truncated.
const hashBytes = 8

// Run identifies one run of the simulation.
type Run struct {
	Plan simulation.NamedPlan
	Seed uint64
}

// Digest holds the number and the hash of all messages that the controllers sent in one run.
type Digest struct {
	Plan     string
	Seed     uint64
	Messages int
	Hash     string
}

// String returns the line for the digest in a file with digests.
func (d Digest) String() string {
	return fmt.Sprintf("%s/%d %d %s", d.Plan, d.Seed, d.Messages, d.Hash)
}

// Compute runs one simulation and returns its digest. It returns an error if a message can't be
// encoded.
func Compute(run Run) (Digest, error) {
	recorder := newRecorder()
	sim := simulation.New(run.Plan.WithSeed(run.Seed))
	sim.OnSend = recorder.record
	sim.Run()
	if recorder.err != nil {
		return Digest{}, fmt.Errorf("digest: %s/%d: %w", run.Plan.Name, run.Seed, recorder.err)
	}
	return Digest{
		Plan:     run.Plan.Name,
		Seed:     run.Seed,
		Messages: recorder.messages,
		Hash:     recorder.sum(),
	}, nil
}

// recorder hashes messages in the order in which they are sent.
type recorder struct {
	hash     hash.Hash
	messages int
	err      error // first error, if any
}

func newRecorder() *recorder {
	return &recorder{hash: sha256.New()}
}

func (r *recorder) sum() string {
	return hex.EncodeToString(r.hash.Sum(nil)[:hashBytes])
}

// record hashes one message with the time and the label of the controller that sends it.
func (r *recorder) record(at micros.Micros, from string, effect controller.Effect) {
	r.messages++
	r.writeNumber(int64(at))
	r.writeText(from)
	switch e := effect.(type) {
	case controller.Answer:
		r.recordAnswer(e)
	case controller.Call:
		r.recordCall(e)
	default:
		r.keepFirstError(fmt.Errorf("effect of unknown type %T", effect))
	}
}

func (r *recorder) recordAnswer(answer controller.Answer) {
	contentType, body, err := runtime.EncodeAnswer(answer.Body)
	r.keepFirstError(err)
	r.writeText("answer")
	r.writeNumber(int64(answer.Reply))
	r.writeNumber(int64(answer.Status))
	r.writeNumber(int64(answer.RetryAfterS))
	r.writeText(contentType)
	r.writeBytes(body)
}

func (r *recorder) recordCall(call controller.Call) {
	encoded, err := runtime.EncodeCall(call)
	r.keepFirstError(err)
	r.writeText(r.targetName(call.To))
	r.writeText(call.Addr)
	r.writeNumber(int64(call.Timeout))
	r.writeText(encoded.Method)
	r.writeText(encoded.Target)
	r.writeBytes(encoded.Body)
}

// targetName returns the name that stands for a target in the hashes. It is fixed, so that renaming
// a constant does not change them.
func (r *recorder) targetName(to controller.Target) string {
	switch to {
	case controller.ToState:
		return "state"
	case controller.ToCloud:
		return "cloud"
	case controller.ToWorker:
		return "worker"
	case controller.ToPeer:
		return "peer"
	}
	r.keepFirstError(fmt.Errorf("unknown target %d", to))
	return ""
}

func (r *recorder) keepFirstError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *recorder) writeNumber(n int64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(n))
	r.write(buffer[:])
}

func (r *recorder) writeText(s string) {
	r.writeBytes([]byte(s))
}

// writeBytes hashes the length first, so that different sequences of parts have different hashes.
func (r *recorder) writeBytes(b []byte) {
	r.writeNumber(int64(len(b)))
	r.write(b)
}

func (r *recorder) write(b []byte) {
	_, err := r.hash.Write(b)
	r.keepFirstError(err)
}

const (
	// defaultSeeds is the default number of seeds of a plan, defaultSeedsLarge that of a large
	// plan.
	defaultSeeds      = 2
	defaultSeedsLarge = 1
	// largeMachines is the least number of machines of a large plan.
	largeMachines = 300
)

// Runs returns the runs of the plans whose names contain pattern, ordered by plan, then by
// seed. seeds is the number of seeds of each plan; 0 selects the default number, which is
// smaller for large plans.
func Runs(plans []simulation.NamedPlan, pattern string, seeds int) []Run {
	var runs []Run
	for _, plan := range plans {
		if !strings.Contains(plan.Name, pattern) {
			continue
		}
		for seed := range seedCount(plan, seeds) {
			runs = append(runs, Run{Plan: plan, Seed: uint64(seed) + 1})
		}
	}
	return runs
}

func seedCount(plan simulation.NamedPlan, wanted int) int {
	switch {
	case wanted > 0:
		return wanted
	case plan.Plan.Machines >= largeMachines:
		return defaultSeedsLarge
	}
	return defaultSeeds
}
