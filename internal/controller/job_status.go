package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	// peerStatusTimeout is the timeout of a status request to a job's owner.
	peerStatusTimeout = 400 * micros.Millisecond
	// peerCancelTimeout is the timeout of a cancellation request to a job's owner.
	peerCancelTimeout = 3 * micros.Second
)

// answerFromLookup returns the answer for a job whose record was looked up and whose end is not in
// memory.
func answerFromLookup(found statestore.Lookup) peer.JobResponse {
	switch found {
	case statestore.LookupFound:
		return peer.JobResponse{Status: http.StatusOK, State: wire.StatePending}
	case statestore.LookupMissing:
		return peer.JobResponse{Status: http.StatusNotFound}
	default:
		return unavailable()
	}
}

// handleJobStatus handles a user's status request.
func (c *Controller) handleJobStatus(in JobStatusRequest) {
	if !wire.ValidID(in.ID) {
		// A job's id always has the form that the protocol defines.
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	c.findJobState(in.ID, func(a peer.JobResponse) { c.answerJobStatus(in.Reply, in.ID, a) })
}

// findJobState finds the state of a job and calls done with it. A final state comes from memory if it
// is there, any other from the job's owner or from a read of the record.
func (c *Controller) findJobState(id string, done func(peer.JobResponse)) {
	if f, ok := c.jobs.final(id); ok {
		done(f.answer())
		return
	}
	j := c.jobs.open[id]
	if j == nil {
		c.readJobState(id, done)
		return
	}
	if j.dependencyCancelled && !c.hasSpareRequests() {
		// The job will be recorded as cancelled, and the watch will deliver the record. Reads for
		// status requests about a thousand such jobs would leave no requests for writing the
		// records.
		done(unavailable())
		return
	}
	if !c.ownership.mayAnswerFromMemory(j) {
		c.askOwner(j, done)
		return
	}
	if j.run.end.unresolved() || !c.mayAnswerPending(j) {
		c.readJobState(id, done)
		return
	}
	done(c.memoryAnswer(j))
}

// askOwner asks the owner of a job for its state. If the owner does not answer, the record is read.
func (c *Controller) askOwner(j *job, done func(peer.JobResponse)) {
	s := c.ownership.shards[j.shard]
	p := c.peers[s.owner.Label]
	if s.ownerEpoch == 0 || p == nil || !c.alive(p) {
		c.readJobState(j.id, done)
		return
	}
	c.askPeer(p, peer.JobRequest{ID: j.id}, peerStatusTimeout, func(a peer.JobResponse) {
		if a.Status == http.StatusOK {
			done(a)
			return
		}
		c.readJobState(j.id, done)
	})
}

// askPeer sends a user's request about a job to its owner, and calls done with unavailable if too
// many such requests are in flight or no answer comes.
func (c *Controller) askPeer(p *peerView, jobReq peer.JobRequest, timeout micros.Micros, done func(peer.JobResponse)) {
	if c.cfg.MaxForwardedRequests > 0 && c.forwardedRequestsInFlight >= c.cfg.MaxForwardedRequests {
		done(unavailable())
		return
	}
	c.forwardedRequestsInFlight++
	req := peer.Request{From: c.cfg.Label, JobRequest: &jobReq}
	c.sendCall(Call{To: ToPeer, Addr: p.label, Req: req, Timeout: timeout}, func(r Result) {
		c.forwardedRequestsInFlight--
		resp, ok := r.Body.(*peer.Response)
		if !ok || r.Status != http.StatusOK || resp.JobResponse == nil {
			done(unavailable())
			return
		}
		a := *resp.JobResponse
		if a.Status == http.StatusOK && a.State.Final() {
			c.finishJob(jobReq.ID, finalJob{state: a.State, tasks: a.Done})
		}
		done(a)
	})
}

// readJob reads a job's record for internal work of the given class. Users' requests use
// readJobForUser.
func (c *Controller) readJob(class statestore.Class, id string, done func(statestore.Lookup)) {
	c.queueStateRequest(class, statestore.GetKey{Key: wire.JobKey(id)}, statestore.ReadTimeout, func(r statestore.Reply) { done(c.applyJobRead(r)) })
}

// applyJobRead updates the job table from the result of reading a job's record.
func (c *Controller) applyJobRead(r statestore.Reply) statestore.Lookup {
	switch r.Status {
	case http.StatusOK:
		kv, ok := r.Body.(*wire.KeyValue)
		if !ok {
			return statestore.LookupFailed
		}
		c.ownership.lastStateReplyAt = c.now
		c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		if id := kv.Key[len(wire.PrefixJob):]; !c.jobs.contains(id) && !c.jobs.unusable[id] {
			return statestore.LookupFailed // the job has ended since the read; see outdated
		}
		return statestore.LookupFound
	case http.StatusNotFound:
		c.ownership.lastStateReplyAt = c.now
		return statestore.LookupMissing
	}
	return statestore.LookupFailed
}

// readJobState finds the state of a job by reading its record.
func (c *Controller) readJobState(id string, done func(peer.JobResponse)) {
	c.readJobForUser(id, func(found statestore.Lookup) {
		if f, ok := c.jobs.final(id); ok {
			done(f.answer())
			return
		}
		j := c.jobs.open[id]
		if found == statestore.LookupFound && j != nil && !c.mayAnswerPending(j) {
			found = statestore.LookupFailed
		}
		done(answerFromLookup(found))
	})
}
