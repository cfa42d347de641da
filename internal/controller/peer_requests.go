package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// handlePeerRequest handles and answers a request of another controller.
func (c *Controller) handlePeerRequest(in PeerRequest) {
	req := in.Req
	if req.Quota != nil {
		c.handleQuotaRequest(in.Reply, *req.Quota)
		return
	}
	p := c.peers[req.From]
	if p == nil {
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	resp := &peer.Response{From: c.cfg.Label}
	switch {
	case req.Status != nil:
		resp.Status = c.handleStatus(p, req.Status)
	case req.JobRequest != nil:
		c.handleJobRequest(*req.JobRequest, func(a peer.JobResponse) {
			resp.JobResponse = &a
			c.answer(in.Reply, http.StatusOK, resp, 0)
		})
		return
	case req.JobRecordHint != nil:
		resp.OK = c.handleJobRecordHint(req.JobRecordHint)
	case req.Release != nil:
		resp.OK = c.release(*req.Release)
	}
	c.answer(in.Reply, http.StatusOK, resp, 0)
}

// handleStatus applies another controller's status and returns the acknowledgement.
func (c *Controller) handleStatus(p *peerView, status *peer.Status) *peer.StatusAck {
	p.lastStatusAt = c.now
	quiesced := c.applyControllerState(p, &status.ControllerState)
	if status.Demand != nil || c.ownership.mayLead() {
		p.demand = status.Demand
		p.demandAt = c.now
	}
	for _, id := range status.ReturnedMachines {
		c.machineReturned(id)
	}
	c.applyBroadcastCancellations(p, status.Cancelled)
	c.quota.recordTraces(status.Traces)
	c.applyRecordRequests(status.JobsToCancel, status.Claims)
	return &peer.StatusAck{ControllerState: c.controllerStateFor(p), QuiescedShards: quiesced}
}

// handleJobRecordHint applies the record of a new job, sent by the controller that accepted it. It
// reports whether the record is readable.
func (c *Controller) handleJobRecordHint(hint *peer.JobRecordHint) bool {
	var rec wire.JobRecord
	if err := wire.Decode(hint.Record, &rec); err != nil || !wire.ValidID(hint.ID) {
		return false
	}
	c.applyJobRecord(hint.ID, rec, hint.ModRevision)
	return true
}

// handleJobRequest answers a request about a job as the job's owner. If this node can't answer as the
// owner and does not know a final state of the job, the response is unavailable (503).
func (c *Controller) handleJobRequest(req peer.JobRequest, done func(peer.JobResponse)) {
	if f, ok := c.jobs.final(req.ID); ok {
		done(f.answer())
		return
	}
	j := c.jobs.open[req.ID]
	switch {
	case j == nil && req.Cancel && wire.ValidID(req.ID):
		c.readBeforeCancel(req, done)
	case j == nil:
		done(unavailable())
	case !c.ownership.mayAnswerFromMemory(j):
		if req.Cancel {
			c.stopCancelledTasks(j)
		}
		done(unavailable())
	case req.Cancel:
		c.cancelJob(j, done)
	case j.run.end.unresolved() || !c.mayAnswerPending(j):
		done(unavailable())
	default:
		done(c.memoryAnswer(j))
	}
}

// readBeforeCancel reads the record of an unknown job that another controller asks this one to
// cancel: the watch may not have delivered it yet.
func (c *Controller) readBeforeCancel(req peer.JobRequest, done func(peer.JobResponse)) {
	c.readJobForUser(req.ID, func(found statestore.Lookup) {
		_, ended := c.jobs.final(req.ID)
		j := c.jobs.open[req.ID]
		owned := j != nil && j.run != nil
		if found == statestore.LookupFound && (ended || owned) {
			c.handleJobRequest(req, done)
			return
		}
		done(unavailable())
	})
}
