// Package statestore plans a controller's requests to the state service: it keeps them
// within the controller's part of the service's limits, divides that part among classes of
// requests, merges reads of the same key, and names the outcomes of transactions. It sends
// nothing itself and reads no clock.
package statestore

import "garnethitch/internal/micros"

// Class is the urgency of a request to the state service. The most urgent class comes first.
type Class int

const (
	// ClassLease is for requests on which authority rests: renewing a lease, claiming and
	// releasing a lock, and the watches and listings that keep the view current.
	ClassLease Class = iota
	// ClassAccept is for recording jobs that users submit.
	ClassAccept
	// ClassEnd is for the ends of jobs, and for what a new owner has to read.
	ClassEnd
	// ClassDependents is for the cancellation of dependents.
	ClassDependents
	// ClassFleet is for records of machines and quotas.
	ClassFleet
	// ClassCheckpoint is for checkpoints of jobs.
	ClassCheckpoint
	// ClassUserRead is for reads on behalf of users, whose number the controller does not
	// bound.
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

// Request is a request that waits for its turn.
type Request struct {
	// Body is what is sent. The queue does not look at it.
	Body any
	// Writes is the number of changes in a transaction, 0 for a read.
	Writes float64
	// Timeout is how long the answer is waited for once the request is sent.
	Timeout micros.Micros
	// QueuedAt is when the request was made. It is not sent after ExpiresAt.
	QueuedAt, ExpiresAt micros.Micros
	// Sent, if set, is called when the request is sent.
	Sent func()
	// Done is called exactly once, with what became of the request.
	Done func(Reply)

	class Class // set by Push
}
