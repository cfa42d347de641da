package statestore

import (
	"net/http"

	"garnethitch/internal/wire"
)

// Reply is what became of a request to the state service.
type Reply struct {
	// Status is the HTTP status of the answer, 0 if there is no usable answer.
	Status int
	// Body is the decoded body of the answer, nil if there is none.
	Body any
	// NotSent is set if not a byte of the request has left.
	NotSent bool
}

// Outcome is what is known of a transaction that was given to the state service.
type Outcome int

const (
	// InDoubt is the outcome of a transaction that was sent and may have been applied, or
	// may yet be.
	InDoubt Outcome = iota
	// Applied is the outcome of a transaction that was applied.
	Applied
	// ConditionFailed is the outcome of a transaction that was not applied since a condition
	// was not met. An earlier copy of it may have been applied.
	ConditionFailed
	// Rejected is the outcome of a transaction that was not applied since it is malformed or
	// too large.
	Rejected
	// NotExecuted is the outcome of a transaction that was never sent, or refused for load.
	// It may be sent again.
	NotExecuted
)

var outcomeNames = [...]string{
	InDoubt:         "in_doubt",
	Applied:         "applied",
	ConditionFailed: "condition_failed",
	Rejected:        "rejected",
	NotExecuted:     "not_executed",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Outcome returns the outcome of the transaction that r replies to.
func (r Reply) Outcome() Outcome {
	if r.NotSent {
		return NotExecuted
	}
	switch r.Status {
	case http.StatusOK:
		return Applied
	case http.StatusConflict:
		return ConditionFailed
	case http.StatusBadRequest:
		return Rejected
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return NotExecuted
	}
	return InDoubt
}

// Revision returns the revision at which a transaction was applied. ok is false if the reply
// does not say that it was.
func (r Reply) Revision() (revision uint64, ok bool) {
	body, ok := r.Body.(*wire.Revision)
	if !ok || r.Outcome() != Applied {
		return 0, false
	}
	return body.Revision, true
}

// FailedKeys returns the keys whose conditions were not met, nil unless the outcome is
// ConditionFailed.
func (r Reply) FailedKeys() []string {
	body, ok := r.Body.(*wire.Revision)
	if !ok || r.Outcome() != ConditionFailed {
		return nil
	}
	return body.Failed
}
