package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// What a controller takes in and gives out.

// Instant is a reading of both clocks.
type Instant struct {
	Steady micros.Micros
	Wall   micros.Micros // time of day
	// Took is how long the step before took, with what it gave to do: on a small
	// share of a core much longer than on a whole one.
	Took micros.Micros
}

// ReplyID names a request that waits for its answer.
type ReplyID uint64

// Inputs of Step.
type (
	// Tick says that time has passed.
	Tick struct{}
	// SubmitRequest is a user's submission, parsed; Err is set if it is malformed.
	SubmitRequest struct {
		Reply ReplyID
		Job   wire.Submission
		Err   *wire.SubmissionError
	}
	// JobStatusRequest asks for a job's state.
	JobStatusRequest struct {
		Reply ReplyID
		ID    string
	}
	// CancelRequest cancels a job.
	CancelRequest struct {
		Reply ReplyID
		ID    string
	}
	// ReadinessRequest asks whether this node can take requests.
	ReadinessRequest struct{ Reply ReplyID }
	// Heartbeat is a worker's heartbeat.
	Heartbeat struct {
		Reply     ReplyID
		Heartbeat wire.Heartbeat
	}
	// PeerRequest is a request of another controller.
	PeerRequest struct {
		Reply ReplyID
		Req   peer.Request
	}
	// Result ends a Call. Status 0: no usable answer; NotSent: and not a byte
	// of the request has left.
	Result struct {
		ID      uint64
		Status  int
		Body    any
		NotSent bool
	}
)

// TooLarge is the Status of a Result whose answer came but is larger than this
// node takes: asking the same again would bring the same.
const TooLarge = http.StatusRequestEntityTooLarge

// Target of a Call.
type Target int

// Targets.
const (
	ToState Target = iota
	ToCloud
	ToWorker
	ToPeer
)

// Requests that are not bodies of package wire.
type (
	// GetKey reads a key.
	GetKey struct{ Key string }
	// ListKeys reads a page of keys.
	ListKeys struct {
		Prefix, After string
		Limit         int
	}
	// Watch waits for changes.
	Watch struct {
		Prefix string
		Since  uint64
		WaitMS int64
	}
	// RenewLease extends a lease.
	RenewLease struct{ Lease uint64 }
	// GetTypes asks the cloud for machine types.
	GetTypes struct{}
	// ListMachines asks the cloud for machines.
	ListMachines struct {
		After string
		Limit int
	}
	// ReturnMachines gives machines back.
	ReturnMachines struct{ Machines []string }
	// GetHeartbeat asks a worker for its heartbeat.
	GetHeartbeat struct{}
)

// Effects of Step.
type (
	// Answer answers a request. Body is a wire or peer value, or nil.
	Answer struct {
		Reply       ReplyID
		Status      int
		Body        any
		RetryAfterS int
	}
	// Call sends a request; its Result must come back exactly once.
	Call struct {
		ID      uint64
		To      Target
		Addr    string // workers: address; peers: label
		Req     any
		Timeout micros.Micros
	}
	// Log is a line for the operators.
	Log struct {
		Level Level
		Text  string
		Args  []any
	}
)

// Level of a log line.
type Level int

// Levels.
const (
	Debug Level = iota
	Info
	Error
)

// Effect is an Answer, a Call, a Log or a Span.
type Effect any

// Input is one of the input types above.
type Input any
