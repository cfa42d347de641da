package statestore

import (
	"net/http"

	"garnethitch/internal/wire"
)

// Reply is the result of a request to the state service.
type Reply struct {
	// Status is the HTTP status of the answer, or 0 if there is no usable answer.
	Status int
	// Body is the decoded body of the answer, or nil if there is none.
	Body any
	// NotSent is true if no byte of the request was sent.
	NotSent bool
}

// Outcome is what a controller knows about the effect of a transaction that it gave to the state
// service.
type Outcome int

const (
	// InDoubt means that the transaction was sent and may have been applied, or may yet be
	// applied.
	InDoubt Outcome = iota
	// Applied means that the transaction was applied.
	Applied
	// ConditionFailed means that the transaction was not applied because a condition did not hold.
	// An earlier copy of the transaction may have been applied.
	ConditionFailed
	// Rejected means that the transaction was not applied because it is malformed or too large.
	Rejected
	// NotExecuted means that the transaction was never sent, or was refused because of overload.
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

// Revision returns the revision at which a transaction was applied. ok is false if the reply does
// not state that the transaction was applied.
func (r Reply) Revision() (revision uint64, ok bool) {
	body, ok := r.Body.(*wire.Revision)
	if !ok || r.Outcome() != Applied {
		return 0, false
	}
	return body.Revision, true
}

// FailedKeys returns the keys whose conditions did not hold. It returns nil unless the outcome is
// ConditionFailed.
func (r Reply) FailedKeys() []string {
	body, ok := r.Body.(*wire.Revision)
	if !ok || r.Outcome() != ConditionFailed {
		return nil
	}
	return body.Failed
}
