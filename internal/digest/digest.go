// Package digest computes hashes of all messages that controllers send in runs of the
// simulation. A refactoring that preserves behaviour leaves them as they are. The hashes
// are made of encoded messages only: no name of a Go type or field enters them, and
// neither do log lines or spans.
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

// Head is the first line of a file of digests.
const Head = "# plan/seed, number of messages, hash of all messages; made by: go run ./internal/measure digest"

// hashBytes is how many bytes of a hash are kept.
const hashBytes = 8

// Run names one run of the simulation.
type Run struct {
	Plan simulation.NamedPlan
	Seed uint64
}

// Digest is the hash of all messages that the controllers sent in one run.
type Digest struct {
	Plan     string
	Seed     uint64
	Messages int
	Hash     string
}

// String returns the line that stands for the digest in a file.
func (d Digest) String() string {
	return fmt.Sprintf("%s/%d %d %s", d.Plan, d.Seed, d.Messages, d.Hash)
}

// Play plays one run.
func Play(run Run) (Digest, error) {
	recorder := newRecorder()
	sim := simulation.New(run.Plan.WithSeed(run.Seed))
	sim.Sent = recorder.record
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
	err      error // the first
}

func newRecorder() *recorder {
	return &recorder{hash: sha256.New()}
}

func (r *recorder) sum() string {
	return hex.EncodeToString(r.hash.Sum(nil)[:hashBytes])
}

func (r *recorder) record(at micros.Micros, from string, effect controller.Effect) {
	r.messages++
	r.number(int64(at))
	r.text(from)
	switch e := effect.(type) {
	case controller.Answer:
		r.answer(e)
	case controller.Call:
		r.call(e)
	default:
		r.fail(fmt.Errorf("effect of unknown type %T", effect))
	}
}

func (r *recorder) answer(answer controller.Answer) {
	contentType, body, err := runtime.EncodeAnswer(answer.Body)
	r.fail(err)
	r.text("answer")
	r.number(int64(answer.Reply))
	r.number(int64(answer.Status))
	r.number(int64(answer.RetryAfterS))
	r.text(contentType)
	r.bytes(body)
}

func (r *recorder) call(call controller.Call) {
	encoded, err := runtime.EncodeCall(call)
	r.fail(err)
	r.text(r.target(call.To))
	r.text(call.Addr)
	r.number(int64(call.Timeout))
	r.text(encoded.Method)
	r.text(encoded.Target)
	r.bytes(encoded.Body)
}

// target returns the fixed name of each kind of target.
func (r *recorder) target(to controller.Target) string {
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
	r.fail(fmt.Errorf("unknown target %d", to))
	return ""
}

func (r *recorder) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *recorder) number(n int64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(n))
	r.write(buffer[:])
}

func (r *recorder) text(s string) {
	r.bytes([]byte(s))
}

// bytes hashes the length first, so that different sequences of parts have different hashes.
func (r *recorder) bytes(b []byte) {
	r.number(int64(len(b)))
	r.write(b)
}

func (r *recorder) write(b []byte) {
	_, err := r.hash.Write(b)
	r.fail(err)
}

const (
	// defaultSeeds and defaultSeedsLarge are how many seeds of a plan are played by default.
	defaultSeeds      = 2
	defaultSeedsLarge = 1
	// largeMachines is from how many machines on a plan is large.
	largeMachines = 300
)

// Runs lists the runs of the plans whose names contain pattern, ordered by plan, then by
// seed. With seeds 0 it lists few seeds of each plan, and fewer of large ones.
func Runs(plans []simulation.NamedPlan, pattern string, seeds int) []Run {
	var runs []Run
	for _, plan := range plans {
		if !strings.Contains(plan.Name, pattern) {
			continue
		}
		for seed := range seedsOf(plan, seeds) {
			runs = append(runs, Run{Plan: plan, Seed: uint64(seed) + 1})
		}
	}
	return runs
}

func seedsOf(plan simulation.NamedPlan, wanted int) int {
	switch {
	case wanted > 0:
		return wanted
	case plan.Plan.Machines >= largeMachines:
		return defaultSeedsLarge
	}
	return defaultSeeds
}
