package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Seconds after which a user should retry a submission or cancellation that can't be handled now.
const (
	// retrySoon is short because a user gives up after a minute and each try counts.
	retrySoon = 1
	// retryWhenFull is used when the job table is full.
	retryWhenFull = 2
)

// answerJobStatus answers a status request. The retry time of a refused user gives the controller
// time to work off its backlog of reads.
func (c *Controller) answerJobStatus(r ReplyID, id string, a peer.JobResponse) {
	c.answerJob(r, id, a, c.retryAfter())
}

// answerJob answers a user's request about a job. A user who gets 503 should retry after retryAfter
// seconds.
func (c *Controller) answerJob(r ReplyID, id string, a peer.JobResponse, retryAfter int) {
	switch a.Status {
	case http.StatusOK, http.StatusCreated:
		if a.State == wire.StateCancelled {
			c.broadcastCancellation(id)
		}
		body := wire.JobAnswer{ID: id, State: a.State, Done: &a.Done, Running: &a.Running}
		c.answer(r, a.Status, body, 0)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		c.answer(r, a.Status, nil, 0)
	default:
		c.answer(r, http.StatusServiceUnavailable, nil, retryAfter)
	}
}

// handleCancel handles a user's request to cancel a job.
func (c *Controller) handleCancel(in CancelRequest) {
	if !wire.ValidID(in.ID) {
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	done := func(a peer.JobResponse) { c.answerJob(in.Reply, in.ID, a, retrySoon) }
	if c.jobs.contains(in.ID) {
		c.cancelKnownJob(in.ID, done)
		return
	}
	c.readJobForUser(in.ID, func(found statestore.Lookup) {
		if found == statestore.LookupFound {
			c.cancelKnownJob(in.ID, done)
			return
		}
		if found == statestore.LookupMissing {
			done(peer.JobResponse{Status: http.StatusNotFound})
			return
		}
		done(unavailable())
	})
}

// cancelKnownJob cancels a job here or at its owner, unless it has ended. A job whose record this
// node can't use is not in the job table and can't be cancelled.
func (c *Controller) cancelKnownJob(id string, done func(peer.JobResponse)) {
	if f, ok := c.jobs.final(id); ok {
		done(f.answer())
		return
	}
	j := c.jobs.open[id]
	if j == nil {
		done(unavailable())
		return
	}
	if c.ownership.mayAnswerFromMemory(j) {
		c.cancelJob(j, done)
		return
	}
	c.stopCancelledTasks(j)
	c.cancelAtOwner(j, done)
}

// cancelAtOwner asks the owner of a job to cancel it.
func (c *Controller) cancelAtOwner(j *job, done func(peer.JobResponse)) {
	s := c.ownership.shards[j.shard]
	p := c.peers[s.owner.Label]
	if s.ownerEpoch == 0 || p == nil {
		done(unavailable())
		return
	}
	c.askPeer(p, peer.JobRequest{ID: j.id, Cancel: true}, peerCancelTimeout, func(a peer.JobResponse) {
		if a.Status == http.StatusOK && !a.State.Final() {
			a = unavailable()
		}
		done(a)
	})
}

// stopCancelledTasks stops the tasks of a job that its user cancels, if this node owns the job and
// may still send commands, although it may no longer record the end or answer from memory.
func (c *Controller) stopCancelledTasks(j *job) {
	if j.run != nil && c.ownership.activeShard(j.shard) != nil {
		c.requestCancellation(j)
	}
}
