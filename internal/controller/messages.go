package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// The messages of a Controller: the inputs of Step, its effects, and the requests in them.

// Instant is a reading of both clocks.
type Instant struct {
	// Steady is the time by a clock that is never set.
	Steady micros.Micros
	// Wall is the time of day.
	Wall micros.Micros
	// PreviousStepDuration is how long the step before took, with carrying out its effects.
	PreviousStepDuration micros.Micros
}

// ReplyID names a request that waits for its Answer. The caller of Step chooses it.
type ReplyID uint64

// Input is an input of Step.
type Input interface{ isInput() }

// Inputs of Step.
type (
	// Tick says that time has passed.
	Tick struct{}
	// SubmitRequest is a user's submission of a job.
	SubmitRequest struct {
		Reply ReplyID
		Job   wire.Submission
		Err   *wire.SubmissionError // set if the submission is malformed
	}
	// JobStatusRequest asks for a job's status.
	JobStatusRequest struct {
		Reply ReplyID
		ID    string
	}
	// CancelRequest cancels a job.
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
	// Result ends a Call.
	Result struct {
		ID uint64 // of the Call
		// Status is the HTTP status of the answer, 0 if there is no usable answer.
		Status int
		// Body is the decoded body of the answer, a pointer to a type of package wire or
		// peer; nil if there is none.
		Body any
		// NotSent is set if not a byte of the request has left. Status is 0 then.
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

// TooLarge is the Status of a Result whose answer is larger than this controller takes: the same
// request would bring the same again.
const TooLarge = http.StatusRequestEntityTooLarge

// Target is the kind of service that a Call goes to.
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
	// GetTypes asks the cloud for its machine types.
	GetTypes struct{}
	// ListMachines asks the cloud for a page of at most Limit machines, from the first one
	// after After on.
	ListMachines struct {
		After string
		Limit int
	}
	// ReturnMachines returns machines to the cloud, by their names.
	ReturnMachines struct{ Machines []string }
	// GetHeartbeat asks a worker for its heartbeat.
	GetHeartbeat struct{}
)

// Effect is an effect of Step, which the caller carries out: an Answer, a Call, a Log or a Span.
type Effect interface{ isEffect() }

// Effects of Step.
type (
	// Answer answers a request.
	Answer struct {
		Reply  ReplyID
		Status int // HTTP status
		Body   any // of package wire or peer; nil: none
		// RetryAfterS is the time after which to try again, in seconds; 0: none.
		RetryAfterS int
	}
	// Call sends a request. Its Result must come back exactly once.
	Call struct {
		ID   uint64
		To   Target
		Addr string // of workers the address, of controllers the label
		Req  any    // one of the requests above, or of package wire or peer
		// Timeout is how long the answer is waited for.
		Timeout micros.Micros
	}
	// Log is a line for the operators.
	Log struct {
		Level Level
		Text  string
		Args  []any // keys and values in turn
	}
)

func (Answer) isEffect() {}
func (Call) isEffect()   {}
func (Log) isEffect()    {}
func (Span) isEffect()   {}

// Level is the level of a log line.
type Level int

const (
	// Debug is for what explains a decision.
	Debug Level = iota
	// Info is for what an operator may want to know.
	Info
	// Error is for what an operator should look at.
	Error
)
