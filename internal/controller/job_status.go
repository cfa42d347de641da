package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	// peerStatusTimeout is how long a status request to a job's owner may take.
	peerStatusTimeout = 400 * micros.Millisecond
	// peerCancelTimeout is the same for a cancellation.
	peerCancelTimeout = 3 * micros.Second
)

// answerOfLookup returns the answer about a job whose record was looked up, where memory has no
// more.
func answerOfLookup(found statestore.Lookup) peer.JobResponse {
	switch found {
	case statestore.LookupFound:
		return peer.JobResponse{Status: http.StatusOK, State: wire.StatePending}
	case statestore.LookupMissing:
		return peer.JobResponse{Status: http.StatusNotFound}
	default:
		return unavailable()
	}
}

// handleJobStatus answers a user who asks for the status of a job.
func (c *Controller) handleJobStatus(in JobStatusRequest) {
	if !wire.ValidID(in.ID) {
		// Only ids of the protocol's form exist.
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	c.findJobState(in.ID, func(a peer.JobResponse) { c.answerJobStatus(in.Reply, in.ID, a) })
}

// findJobState finds the state of a job: a final state from memory, any other from the
// job's owner, or from a read of its record.
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
		// It is to be recorded as cancelled, and the watch brings that. Reads for the
		// users of a thousand such jobs would leave no requests for the records.
		done(unavailable())
		return
	}
	if !c.ownership.mayAnswerFromMemory(j) {
		c.askOwner(j, done)
		return
	}
	if j.run.end.unresolved() || !c.mayWait(j) {
		c.readJobState(id, done)
		return
	}
	done(c.memoryAnswer(j))
}

// askOwner asks the owner of a job for its state; without its answer the record is read.
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

// askPeer asks the owner of a job on behalf of a user.
func (c *Controller) askPeer(p *peerView, ask peer.JobRequest, timeout micros.Micros, done func(peer.JobResponse)) {
	if c.cfg.MaxForwardedRequests > 0 && c.forwardedRequestsInFlight >= c.cfg.MaxForwardedRequests {
		done(unavailable())
		return
	}
	c.forwardedRequestsInFlight++
	req := peer.Request{From: c.cfg.Label, JobRequest: &ask}
	c.sendCall(Call{To: ToPeer, Addr: p.label, Req: req, Timeout: timeout}, func(r Result) {
		c.forwardedRequestsInFlight--
		resp, ok := r.Body.(*peer.Response)
		if !ok || r.Status != http.StatusOK || resp.JobResponse == nil {
			done(unavailable())
			return
		}
		a := *resp.JobResponse
		if a.Status == http.StatusOK && a.State.Final() {
			c.finishJob(ask.ID, finalJob{state: a.State, tasks: a.Done})
		}
		done(a)
	})
}

// readJob reads a job's record on behalf of other work. For users there is readForUser.
func (c *Controller) readJob(class statestore.Class, id string, done func(statestore.Lookup)) {
	c.queueStateRequest(class, statestore.GetKey{Key: wire.JobKey(id)}, statestore.ReadTimeout, func(r statestore.Reply) { done(c.learnRead(r)) })
}

// learnRead takes what the read of a job's record brought.
func (c *Controller) learnRead(r statestore.Reply) statestore.Lookup {
	switch r.Status {
	case http.StatusOK:
		kv, ok := r.Body.(*wire.KeyValue)
		if !ok {
			return statestore.LookupFailed
		}
		c.ownership.lastStateReplyAt = c.now
		c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		if id := kv.Key[len(wire.PrefixJob):]; !c.jobs.knows(id) && !c.jobs.unusable[id] {
			return statestore.LookupFailed // it has ended since; see outdated
		}
		return statestore.LookupFound
	case http.StatusNotFound:
		c.ownership.lastStateReplyAt = c.now
		return statestore.LookupMissing
	}
	return statestore.LookupFailed
}

// readJobState finds the state of a job by a read of its record.
func (c *Controller) readJobState(id string, done func(peer.JobResponse)) {
	c.readJobForUser(id, func(found statestore.Lookup) {
		if f, ok := c.jobs.final(id); ok {
			done(f.answer())
			return
		}
		j := c.jobs.open[id]
		if found == statestore.LookupFound && j != nil && !c.mayWait(j) {
			found = statestore.LookupFailed
		}
		done(answerOfLookup(found))
	})
}
