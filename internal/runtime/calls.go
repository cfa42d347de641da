package runtime

import (
	"errors"

	"garnethitch/internal/client"
	"garnethitch/internal/controller"
	"garnethitch/internal/http1"
)

// cloudConnsDivisor is the divisor of Sizes.ServiceConns that gives the maximum number of calls to
// the cloud in flight.
const cloudConnsDivisor = 8

// callsPerWorkerRequest is the ratio of the maximum number of calls to workers in flight to
// Sizes.WorkerCalls, the maximum number of requests that the controller counts as in flight.
// Besides these, as many calls again may still be in flight.
const callsPerWorkerRequest = 2

// callCounts holds the number of calls to each target.
type callCounts [controller.ToPeer + 1]int

// callLimits bounds the calls in flight to each target, so that a target that does not respond
// cannot prevent the renewal of the lease.
type callLimits struct {
	max      callCounts
	inFlight callCounts
}

func newCallLimits(sizes Sizes) callLimits {
	return callLimits{max: callCounts{
		controller.ToState:  sizes.StateCalls,
		controller.ToCloud:  sizes.ServiceConns / cloudConnsDivisor,
		controller.ToWorker: callsPerWorkerRequest * sizes.WorkerCalls,
		controller.ToPeer:   sizes.PeerCalls,
	}}
}

// acquire counts a call to a target as in flight. It returns false, and does not count the call,
// if the target has reached its limit.
func (l *callLimits) acquire(to controller.Target) bool {
	if l.inFlight[to] >= l.max[to] {
		return false
	}
	l.inFlight[to]++
	return true
}

// release ends a call that acquire has counted.
func (l *callLimits) release(to controller.Target) { l.inFlight[to]-- }

// startCall makes a call in a goroutine, which passes the result to the controller. A call beyond
// the limits fails as not sent. rt.mu must be held.
func (rt *Runtime) startCall(call controller.Call) {
	if !rt.limits.acquire(call.To) {
		go rt.step(controller.Result{ID: call.ID, NotSent: true})
		return
	}
	go func() {
		result := rt.makeCall(call)
		result.ID = call.ID
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.limits.release(call.To)
		rt.stepLocked(result)
	}()
}

// makeCall makes a call and returns its result. A malformed response counts as no response.
func (rt *Runtime) makeCall(call controller.Call) controller.Result {
	request, err := rt.httpRequest(call)
	if err != nil {
		rt.log.Error("request could not be encoded", "error", err)
		return controller.Result{NotSent: true}
	}
	caller := rt.clientFor(call.To)
	msg, err := caller.Do(rt.ctx, request)
	if err != nil {
		rt.log.Debug("no answer", "method", request.Method, "target", request.Target, "addr", request.Addr, "error", err)
		return resultOfError(caller, request.Addr, err)
	}
	result, err := decodeResult(call, msg)
	if err != nil {
		rt.log.Error("response could not be decoded", "method", request.Method, "target", request.Target, "status", msg.Status, "error", err)
		return controller.Result{}
	}
	return result
}

// resultOfError returns the result of a call that failed without a response. It closes the idle
// connections to an address that did not respond, because they may be broken as well.
func resultOfError(caller *client.Client, addr string, err error) controller.Result {
	if errors.Is(err, http1.ErrBodyTooLarge) {
		return controller.Result{Status: controller.StatusResponseTooLarge}
	}
	if !errors.Is(err, client.ErrBusy) {
		caller.CloseIdle(addr)
	}
	return controller.Result{NotSent: errors.Is(err, client.ErrNotSent)}
}

// httpRequest returns the HTTP form of a call.
func (rt *Runtime) httpRequest(call controller.Call) (client.Call, error) {
	encoded, err := EncodeCall(call)
	if err != nil {
		return client.Call{}, err
	}
	return client.Call{
		Addr:        rt.address(call),
		Method:      encoded.Method,
		Target:      encoded.Target,
		ContentType: encoded.ContentType,
		Body:        encoded.Body,
		Timeout:     call.Timeout.Duration(),
	}, nil
}

// clientFor returns the client whose connections are used for calls to a target.
func (rt *Runtime) clientFor(to controller.Target) *client.Client {
	if to == controller.ToWorker {
		return rt.workers
	}
	return rt.services
}

// address returns the address to which a call is sent.
func (rt *Runtime) address(call controller.Call) string {
	switch call.To {
	case controller.ToState:
		return rt.settings.Endpoints.State
	case controller.ToCloud:
		return rt.settings.Endpoints.Cloud
	case controller.ToPeer:
		return rt.peers[call.Addr]
	default:
		return call.Addr
	}
}
