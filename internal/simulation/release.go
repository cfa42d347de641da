package simulation

import (
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Release is a release of the controller.
type Release int

// Releases that may run side by side. The commit of each older release is in parentheses.
const (
	// ReleaseCurrent is the current release.
	ReleaseCurrent Release = iota
	// ReleaseWithoutDependencies has no dependencies between jobs, and does not know the lowered
	// limits of the state service (025d571).
	ReleaseWithoutDependencies
	// ReleaseWithoutDependentRecords has dependencies and knows the lowered limits, but does not
	// ask other controllers to record dependents (040d356).
	ReleaseWithoutDependentRecords
	// ReleaseWithoutGroups is like the current release, but has no groups of teams (88a546a).
	ReleaseWithoutGroups
)

// recordWithoutDependencies is a job's record with the fields that ReleaseWithoutDependencies has.
type recordWithoutDependencies struct {
	Submission *wire.Submission `cbor:"sub,omitempty"`
	AcceptedMS int64            `cbor:"at"`
	State      string           `cbor:"state"`
	Tasks      int              `cbor:"tasks"`
}

// withoutDependencies returns a value as ReleaseWithoutDependencies reads and writes it.
func withoutDependencies(key string, value wire.Raw) wire.Raw {
	var record recordWithoutDependencies
	if !strings.HasPrefix(key, wire.PrefixJob) || wire.Decode(value, &record) != nil {
		return value
	}
	if record.Submission != nil {
		record.Submission.DependsOn = nil
	}
	encoded, err := wire.Encode(record)
	if err != nil {
		panic(fmt.Sprintf("simulation: job record of an older version: %v", err))
	}
	return encoded
}

// downgradeStatus removes the fields of a status message that the release does not have.
func (r Release) downgradeStatus(status *peer.Status) {
	status.EnforcesQuota = false
	status.Traces = nil
	if r != ReleaseWithoutGroups {
		status.JobsToCancel = nil
	}
}

// downgradeCall returns a call as a controller of the release sends it.
func (r Release) downgradeCall(call controller.Call) controller.Call {
	if r == ReleaseCurrent {
		return call
	}
	switch request := call.Req.(type) {
	case peer.Request:
		if request.Status != nil {
			status := *request.Status
			r.downgradeStatus(&status)
			request.Status = &status
			call.Req = request
		}
	case wire.Txn:
		if r == ReleaseWithoutDependencies {
			call.Req = downgradeTxn(request)
		}
	}
	return call
}

func downgradeTxn(txn wire.Txn) wire.Txn {
	txn.Changes = slices.Clone(txn.Changes)
	for i, change := range txn.Changes {
		if change.Put != "" {
			txn.Changes[i].Value = withoutDependencies(change.Put, change.Value)
		}
	}
	return txn
}

// downgradeResult returns the result of a call as a controller of the release reads it.
func (r Release) downgradeResult(result controller.Result) controller.Result {
	if r == ReleaseCurrent {
		return result
	}
	if response, ok := result.Body.(*peer.Response); ok && response.Status != nil {
		status := *response.Status
		status.EnforcesQuota = false
		result.Body = &peer.Response{From: response.From, Status: &status, JobResponse: response.JobResponse, OK: response.OK}
	}
	if r == ReleaseWithoutDependencies {
		result.Body = downgradeState(result.Body)
	}
	return result
}

// downgradeState returns the body of an answer of the state service as ReleaseWithoutDependencies
// reads it.
func downgradeState(body any) any {
	switch b := body.(type) {
	case *wire.KeyValue:
		kv := *b
		kv.Value = withoutDependencies(kv.Key, kv.Value)
		return &kv
	case *wire.KeyList:
		list := *b
		list.Items = slices.Clone(b.Items)
		for i, kv := range list.Items {
			list.Items[i].Value = withoutDependencies(kv.Key, kv.Value)
		}
		return &list
	case *wire.Events:
		events := *b
		events.Events = slices.Clone(b.Events)
		for i, event := range events.Events {
			if event.Put != "" {
				events.Events[i].Value = withoutDependencies(event.Put, event.Value)
			}
		}
		return &events
	}
	return body
}

// downgradeRequest removes the fields of another controller's request that the release does not
// have.
func (r Release) downgradeRequest(request *peer.Request) {
	if r != ReleaseCurrent && request.Status != nil {
		r.downgradeStatus(request.Status)
	}
}
