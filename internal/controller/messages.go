package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// This file declares the messages of a Controller: the inputs of Step, its effects, and the request
// types that an effect can carry.

// Instant is a reading of the monotonic clock and of the wall clock.
type Instant struct {
	// Monotonic is the time of the monotonic clock.
	Monotonic micros.Micros
	// Wall is the time of day.
	Wall micros.Micros
	// PreviousStepDuration is how long the previous step took, including the time to carry out its
	// effects.
	PreviousStepDuration micros.Micros
}

// ReplyID identifies a request that waits for its Answer. The caller of Step chooses it.
type ReplyID uint64

// Input is an input of Step.
type Input interface{ isInput() }

// Inputs of Step.
type (
	// Tick reports only that time has passed.
	Tick struct{}
	// SubmitRequest is a user's submission of a job.
	SubmitRequest struct {
		Reply ReplyID
		Job   wire.Submission
		Err   *wire.SubmissionError // set if the submission is malformed
	}
	// JobStatusRequest is a user's request for a job's status.
	JobStatusRequest struct {
		Reply ReplyID
		ID    string
	}
	// CancelRequest is a user's request to cancel a job.
	CancelRequest struct {
		Reply ReplyID
		ID    string
	}
	// ReadinessRequest asks whether this controller can serve requests.
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
	// Result is the outcome of a Call.
	Result struct {
		ID uint64 // ID of the Call
		// Status is the HTTP status of the response, or 0 if there is no usable response.
		Status int
		// Body is a pointer to the decoded response body, of a type of package wire or peer; nil if
		// there is none.
		Body any
		// NotSent is set if no byte of the request was sent. Status is 0 then.
		NotSent bool
	}
)

func (Tick) isInput()             {}
func (SubmitRequest) isInput()    {}
func (JobStatusRequest) isInput() {}
func (CancelRequest) isInput()    {}
func (ReadinessRequest) isInput() {}
func (Heartbeat) isInput()        {}
func (PeerRequest) isInput()      {}
func (Result) isInput()           {}

// StatusResponseTooLarge is the Status of a Result whose response exceeds this controller's size
// limit. Repeating the request would give the same result.
const StatusResponseTooLarge = http.StatusRequestEntityTooLarge

// Target is the kind of service that a Call is sent to.
type Target int

const (
	// ToState is the state service.
	ToState Target = iota
	// ToCloud is the cloud.
	ToCloud
	// ToWorker is the worker at Call.Addr.
	ToWorker
	// ToPeer is the controller with the label Call.Addr.
	ToPeer
)

// Requests to the cloud and to workers that have no body in package wire.
type (
	// GetTypes requests the cloud's machine types.
	GetTypes struct{}
	// ListMachines requests a page of the cloud's machine list: at most Limit machines whose names
	// follow After.
	ListMachines struct {
		After string
		Limit int
	}
	// ReturnMachines returns machines to the cloud, by their names.
	ReturnMachines struct{ Machines []string }
	// GetHeartbeat requests a worker's heartbeat.
	GetHeartbeat struct{}
)

// Effect is a result of Step that the caller carries out: an Answer, a Call, a Log or a Span.
type Effect interface{ isEffect() }

// Effects of Step.
type (
	// Answer is the response to a request.
	Answer struct {
		Reply  ReplyID
		Status int // HTTP status
		Body   any // a type of package wire or peer; nil means no body
		// RetryAfterS is the value of the Retry-After header in seconds; 0 means no header.
		RetryAfterS int
	}
	// Call sends a request. The caller of Step must return exactly one Result for it.
	Call struct {
		ID   uint64
		To   Target
		Addr string // the address of a worker, or the label of a controller
		Req  any    // a request type of this file, of package wire or of package peer
		// Timeout is how long to wait for the response.
		Timeout micros.Micros
	}
	// Log is a line of the operators' log.
	Log struct {
		Level Level
		Text  string
		Args  []any // alternating keys and values
	}
)

func (Answer) isEffect() {}
func (Call) isEffect()   {}
func (Log) isEffect()    {}
func (Span) isEffect()   {}

// Level is the level of a log line.
type Level int

const (
	// Debug is for lines that explain a decision.
	Debug Level = iota
	// Info is for events that may interest an operator.
	Info
	// Error is for faults that an operator should look at.
	Error
)
