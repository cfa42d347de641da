package runtime

import (
	"net/http"

	"garnethitch/internal/controller"
	"garnethitch/internal/peer"
	"garnethitch/internal/server"
	"garnethitch/internal/wire"
)

// route is the method and the handler of requests to a path.
type route struct {
	method string
	handle func(rt *Runtime, req server.Request)
}

// routeOf returns the route of a path at the public address. The protocol describes these paths
// in "Users -> controller nodes" and "Workers -> controller nodes".
func routeOf(path string) (route, bool) {
	switch path {
	case wire.PathHeartbeat:
		return route{http.MethodPost, (*Runtime).handleHeartbeat}, true
	case wire.PathReadiness:
		return route{http.MethodGet, (*Runtime).handleReadiness}, true
	case wire.PathSubmissions:
		return route{http.MethodPost, (*Runtime).handleSubmission}, true
	}
	switch _, action := wire.ParseJobPath(path); action {
	case wire.JobStatus:
		return route{http.MethodGet, (*Runtime).handleJobStatus}, true
	case wire.CancelJob:
		return route{http.MethodPost, (*Runtime).handleCancel}, true
	}
	return route{}, false
}

// internalRouteOf returns the route of a path at the internal address.
func internalRouteOf(path string) (route, bool) {
	return route{http.MethodPost, (*Runtime).handlePeer}, path == peer.Path
}

// handle is the server's handler. It routes a request by its address, path and method.
func (rt *Runtime) handle(req server.Request) {
	find := routeOf
	if req.Listener == internalListener {
		req.ExemptFromEviction()
		find = internalRouteOf
	}
	route, found := find(req.Message.Path)
	switch {
	case !found:
		req.Reply().Send(server.Response{Status: http.StatusNotFound})
	case req.Message.Method != route.method:
		req.Reply().Send(server.Response{Status: http.StatusMethodNotAllowed})
	default:
		route.handle(rt, req)
	}
}

// handleHeartbeat handles a worker's heartbeat. It exempts the worker's connection from eviction.
// A user whose connection is closed finds another node at once, but a worker that is refused by
// one node after the other loses its lease.
func (rt *Runtime) handleHeartbeat(req server.Request) {
	req.ExemptFromEviction()
	heartbeat, err := rt.heartbeats.Parse(req.Message.Body)
	if err != nil {
		rt.log.Debug("heartbeat could not be decoded", "error", err)
		req.Reply().Send(server.Response{Status: http.StatusBadRequest})
		return
	}
	rt.stepWithReply(req.Reply(), func(id controller.ReplyID) controller.Input {
		return controller.Heartbeat{Reply: id, Heartbeat: heartbeat}
	})
}

func (rt *Runtime) handleReadiness(req server.Request) {
	rt.stepWithReply(req.Reply(), func(id controller.ReplyID) controller.Input {
		return controller.ReadinessRequest{Reply: id}
	})
}

// handleSubmission passes malformed submissions to the controller as well, because the controller
// may already know the job.
func (rt *Runtime) handleSubmission(req server.Request) {
	submission, err := wire.ParseSubmission(req.Message.Body)
	rt.stepWithReply(req.Reply(), func(id controller.ReplyID) controller.Input {
		return controller.SubmitRequest{Reply: id, Job: submission, Err: err}
	})
}

func (rt *Runtime) handleJobStatus(req server.Request) {
	job, _ := wire.ParseJobPath(req.Message.Path)
	rt.stepWithReply(req.Reply(), func(id controller.ReplyID) controller.Input {
		return controller.JobStatusRequest{Reply: id, ID: job}
	})
}

func (rt *Runtime) handleCancel(req server.Request) {
	job, _ := wire.ParseJobPath(req.Message.Path)
	rt.stepWithReply(req.Reply(), func(id controller.ReplyID) controller.Input {
		return controller.CancelRequest{Reply: id, ID: job}
	})
}

func (rt *Runtime) handlePeer(req server.Request) {
	var request peer.Request
	if err := peer.Decode(req.Message.Body, &request); err != nil {
		rt.log.Debug("peer message could not be decoded", "error", err)
		req.Reply().Send(server.Response{Status: http.StatusBadRequest})
		return
	}
	rt.stepWithReply(req.Reply(), func(id controller.ReplyID) controller.Input {
		return controller.PeerRequest{Reply: id, Req: request}
	})
}

// waitingRequest is a request that waits for the controller's answer.
type waitingRequest struct {
	reply     *server.Reply
	heartbeat bool // the request is a worker's heartbeat
}

// stepWithReply passes the input for a request to the controller. inputOf makes the input from the
// ID under which the controller is to answer.
func (rt *Runtime) stepWithReply(reply *server.Reply, inputOf func(controller.ReplyID) controller.Input) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.nextID++
	in := inputOf(rt.nextID)
	_, heartbeat := in.(controller.Heartbeat)
	rt.waitingRequests[rt.nextID] = waitingRequest{reply: reply, heartbeat: heartbeat}
	rt.stepLocked(in)
}

// answer sends the controller's answer to the request that waits for it. rt.mu must be held.
func (rt *Runtime) answer(a controller.Answer) {
	waiting, ok := rt.waitingRequests[a.Reply]
	if !ok {
		return
	}
	delete(rt.waitingRequests, a.Reply)
	contentType, body, err := EncodeAnswer(a.Body)
	if err != nil {
		rt.log.Error("response could not be encoded", "error", err)
		waiting.reply.Send(server.Response{Status: http.StatusServiceUnavailable, RetryAfterSeconds: encodingErrorRetryS})
		return
	}
	waiting.reply.Send(server.Response{
		Status:            a.Status,
		ContentType:       contentType,
		Body:              body,
		RetryAfterSeconds: a.RetryAfterS,
		CloseIfNearlyFull: waiting.heartbeat,
	})
}
