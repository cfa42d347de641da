// Package statestore schedules a controller's requests to the state service. It keeps them within
// the controller's share of the service's rate limits, divides that share among classes of
// requests, merges reads of the same key, and classifies the outcomes of transactions. The package
// performs no I/O and reads no clock.
package statestore

import "garnethitch/internal/micros"

// Class is the urgency of a request to the state service. Lower values are more urgent.
type Class int

const (
	// ClassLease is for requests on which a controller's authority depends: renewing its lease,
	// claiming and releasing locks, and the watches and listings that keep its view current.
	ClassLease Class = iota
	// ClassAccept is for recording jobs that users submit.
	ClassAccept
	// ClassEnd is for recording the ends of jobs, and for the reads of a new owner.
	ClassEnd
	// ClassDependents is for cancelling the dependents of a cancelled job.
	ClassDependents
	// ClassFleet is for records of machines and quotas.
	ClassFleet
	// ClassCheckpoint is for checkpoints of jobs.
	ClassCheckpoint
	// ClassUserRead is for reads on behalf of users. The controller does not control how many
	// requests users make. Logs and metrics call the class "question".
	ClassUserRead
	// ClassCount is the number of classes.
	ClassCount
)

var classNames = [ClassCount]string{
	ClassLease:      "lease",
	ClassAccept:     "accept",
	ClassEnd:        "end",
	ClassDependents: "dependents",
	ClassFleet:      "fleet",
	ClassCheckpoint: "checkpoint",
	ClassUserRead:   "question",
}

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Request is a request that waits to be sent.
type Request struct {
	// Body is the request to send. The queue does not inspect it.
	Body any
	// Writes is the number of changes in a transaction, or 0 for a read.
	Writes float64
	// Timeout is how long to wait for the answer after the request is sent.
	Timeout micros.Micros
	// QueuedAt is when the request was created. ExpiresAt is the time after which it must not be
	// sent.
	QueuedAt, ExpiresAt micros.Micros
	// Sent, if not nil, is called when the request is sent.
	Sent func()
	// Done is called exactly once with the result, unless Queue.Clear removes the request.
	Done func(Reply)

	class Class // set by Push
}
