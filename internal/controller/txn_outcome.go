package controller

import (
	"net/http"

	"garnethitch/internal/wire"
)

// txnOutcome is what is known of a transaction that was given to the state service.
type txnOutcome int

const (
	// txnInDoubt: it was sent, and may have been executed or may yet be.
	txnInDoubt txnOutcome = iota
	// txnApplied: it was executed.
	txnApplied
	// txnConditionFailed: it was not executed, since a condition was not met. A copy of
	// it may have been executed before.
	txnConditionFailed
	// txnRejected: it was not executed, since it is malformed or too large.
	txnRejected
	// txnNotExecuted: it was never sent, or refused for load; it may be sent again.
	txnNotExecuted
)

var txnOutcomeNames = [...]string{
	txnInDoubt:         "in_doubt",
	txnApplied:         "applied",
	txnConditionFailed: "condition_failed",
	txnRejected:        "rejected",
	txnNotExecuted:     "not_executed",
}

func (o txnOutcome) String() string { return txnOutcomeNames[o] }

// txnOutcomeOf returns the outcome of a transaction by its Result.
func txnOutcomeOf(r Result) txnOutcome {
	switch {
	case r.NotSent:
		return txnNotExecuted
	case r.Status == http.StatusOK:
		return txnApplied
	case r.Status == http.StatusConflict:
		return txnConditionFailed
	case r.Status == http.StatusBadRequest:
		return txnRejected
	case r.Status == http.StatusServiceUnavailable, r.Status == http.StatusTooManyRequests:
		return txnNotExecuted
	}
	return txnInDoubt
}

// txnRevision returns the revision at which a transaction was applied; ok is false if the
// Result does not say that it was.
func txnRevision(r Result) (revision uint64, ok bool) {
	body, ok := r.Body.(*wire.Revision)
	if !ok || txnOutcomeOf(r) != txnApplied {
		return 0, false
	}
	return body.Revision, true
}

// failedKeys returns the keys whose conditions were not met.
func failedKeys(r Result) []string {
	if body, ok := r.Body.(*wire.Revision); ok && txnOutcomeOf(r) == txnConditionFailed {
		return body.Failed
	}
	return nil
}
