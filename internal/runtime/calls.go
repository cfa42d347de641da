package runtime

import (
	"errors"

	"garnethitch/internal/client"
	"garnethitch/internal/controller"
	"garnethitch/internal/http1"
)

// cloudConnsDivisor of the connections to services may be in use for calls to the cloud.
const cloudConnsDivisor = 8

// callsPerWorkerRequest is how many calls there may be to a request that the controller counts: beside
// those, as many again may still be under way.
const callsPerWorkerRequest = 2

// callCounts are numbers of calls by target.
type callCounts [controller.ToPeer + 1]int

// callLimits bounds the calls under way to each target: one that does not answer must not
// keep the lease from being renewed.
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

// acquire counts a call to a target as under way, and reports false if it may have none more.
func (l *callLimits) acquire(to controller.Target) bool {
	if l.inFlight[to] >= l.max[to] {
		return false
	}
	l.inFlight[to]++
	return true
}

// release takes back an acquire.
func (l *callLimits) release(to controller.Target) { l.inFlight[to]-- }

// startCall makes a call in the background and feeds its result back.
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

// makeCall makes a call. Anything that is not a well-formed answer counts as none.
func (rt *Runtime) makeCall(call controller.Call) controller.Result {
	request, err := rt.httpRequest(call)
	if err != nil {
		rt.log.Error("request not encoded", "error", err)
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
		rt.log.Error("answer not readable", "method", request.Method, "target", request.Target, "status", msg.Status, "error", err)
		return controller.Result{}
	}
	return result
}

// resultOfError is the result of a call without an answer. Idle connections to an address
// that did not answer are closed, since they may be as dead as the one that was used.
func resultOfError(caller *client.Client, addr string, err error) controller.Result {
	if errors.Is(err, http1.ErrBodyTooLarge) {
		return controller.Result{Status: controller.TooLarge}
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

func (rt *Runtime) clientFor(to controller.Target) *client.Client {
	if to == controller.ToWorker {
		return rt.workers
	}
	return rt.services
}

// address is where a call is sent to.
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
