package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// jobCreation is a submission whose record is being written.
type jobCreation struct {
	waiters []func(status int, state string)
}

func (c *Controller) handleReadiness(in ReadinessRequest) {
	status := http.StatusServiceUnavailable
	switch {
	case c.ownership.jobWatch.ready && c.ownership.controlWatch.ready && len(c.types) > 0:
		if c.servesUsers() {
			status = http.StatusOK
		}
	case c.now-c.startedAt > 2*micros.Second && !c.stateFresh() && !c.peerHasState():
		// Started in an outage of the state service that all shard. Users are
		// better off with a 503 and a time to come back than with no node at all,
		// which the balancer would also remember for a while afterwards.
		status = http.StatusOK
	}
	c.answer(in.Reply, status, nil, 0)
}

// peerHasState: another controller is up and has the state service.
func (c *Controller) peerHasState() bool {
	for _, p := range c.peers {
		if c.alive(p) && p.stateOK {
			return true
		}
	}
	return false
}

// servesUsers: users are better off elsewhere if this node has lost the state
// service while another has not. If all have lost it, they are not.
func (c *Controller) servesUsers() bool {
	if c.now-c.ownership.lastStateReplyAt < 3*micros.Second {
		return true
	}
	if c.peerHasState() {
		return false
	}
	// Nobody can be asked: alone without the state service is no place for users
	// once the lease has run out, unless there is nobody else.
	return len(c.cfg.Peers) == 0 || c.anyPeerAlive() || c.leaseValid()
}

func (c *Controller) anyPeerAlive() bool {
	for _, p := range c.peers {
		if c.alive(p) {
			return true
		}
	}
	return false
}

// answerQuestion answers a user who asks about a job; who is refused waits for the backlog of
// reads.
func (c *Controller) answerQuestion(r ReplyID, id string, a peer.Answer) {
	c.answerJob(r, id, a, c.retryAfter())
}

// soon is the time after which a user comes back whose submission or withdrawal can't be
// taken: each try counts, since all are made within a minute.
const soon = 1

// answerJob answers a user about a job; one who is refused is to come back after so many
// seconds.
func (c *Controller) answerJob(r ReplyID, id string, a peer.Answer, retryAfter int) {
	switch a.Status {
	case http.StatusOK, http.StatusCreated:
		if a.State == wire.StateCancelled {
			c.broadcastCancellation(id)
		}
		body := wire.JobAnswer{ID: id, State: a.State}
		done, running := a.Done, a.Running
		body.Done, body.Running = &done, &running
		c.answer(r, a.Status, body, 0)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		c.answer(r, a.Status, nil, 0)
	default:
		c.answer(r, http.StatusServiceUnavailable, nil, retryAfter)
	}
}

func (c *Controller) handleJobStatus(in JobStatusRequest) {
	if !wire.ValidID(in.ID) {
		// Only ids of the protocol's form exist.
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	c.jobState(in.ID, func(a peer.Answer) { c.answerQuestion(in.Reply, in.ID, a) })
}

// jobState finds out how a job stands: a final state from anywhere, all else
// from its owner, or from a fresh read.
func (c *Controller) jobState(id string, done func(peer.Answer)) {
	if f, ok := c.jobs.final(id); ok {
		done(finalAnswer(f))
		return
	}
	fresh := func() { c.freshState(id, done) }
	j := c.jobs.open[id]
	if j == nil {
		fresh()
		return
	}
	if j.dependencyCancelled && !c.hasSpareRequests() {
		// It is to be recorded as cancelled, and the watch tells when that stands. Reads
		// for the users of a thousand such jobs would leave no requests for the records.
		done(peer.Answer{Status: http.StatusServiceUnavailable})
		return
	}
	s := c.ownership.shards[j.shard]
	if c.mayAnswerFromMemory(j) {
		if j.run.end.unresolved() || !c.mayWait(j) {
			fresh()
			return
		}
		done(c.memoryAnswer(j))
		return
	}
	p := c.peers[s.owner.Label]
	if s.ownerEpoch == 0 || p == nil || !c.alive(p) {
		fresh()
		return
	}
	c.askPeer(p, peer.Ask{ID: id}, 400*micros.Millisecond, func(a peer.Answer) {
		if a.Status == http.StatusOK {
			done(a)
			return
		}
		fresh()
	})
}

// askPeer asks the owner of a job for a user.
func (c *Controller) askPeer(p *peerView, ask peer.Ask, timeout micros.Micros, done func(peer.Answer)) {
	if c.cfg.MaxPeerQuestions > 0 && c.peerQuestionsInFlight >= c.cfg.MaxPeerQuestions {
		done(peer.Answer{Status: http.StatusServiceUnavailable})
		return
	}
	c.peerQuestionsInFlight++
	c.call(Call{To: ToPeer, Addr: p.label, Req: peer.Request{From: c.cfg.Label, Ask: &ask}, Timeout: timeout}, func(r Result) {
		c.peerQuestionsInFlight--
		resp, ok := r.Body.(*peer.Response)
		if !ok || r.Status != http.StatusOK || resp.Answer == nil {
			done(peer.Answer{Status: http.StatusServiceUnavailable})
			return
		}
		a := *resp.Answer
		if a.Status == http.StatusOK && (a.State == wire.StateDone || a.State == wire.StateCancelled) {
			c.finishJob(ask.ID, finalJob{state: a.State, tasks: a.Done})
		}
		done(a)
	})
}

// readJob reads a job's record on behalf of other work; status is 200 (and the job is known
// from then on), 404, or 0 when there was no answer. For users there is readForUser.
func (c *Controller) readJob(class requestClass, id string, done func(status int)) {
	c.askState(class, GetKey{Key: wire.JobKey(id)}, readTimeout, func(r Result) { done(c.learnRead(r)) })
}

// learnRead takes what the read of a job's record brought: 200, 404, or 0 for no answer.
func (c *Controller) learnRead(r Result) (status int) {
	switch r.Status {
	case http.StatusOK:
		kv, ok := r.Body.(*wire.KeyValue)
		if !ok {
			return 0
		}
		c.ownership.lastStateReplyAt = c.now
		c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		if id := kv.Key[len(wire.PrefixJob):]; !c.knows(id) && !c.jobs.unusable[id] {
			return 0 // it has ended since; see outdated
		}
		return http.StatusOK
	case http.StatusNotFound:
		c.ownership.lastStateReplyAt = c.now
		return http.StatusNotFound
	}
	return 0
}

func (c *Controller) freshState(id string, done func(peer.Answer)) {
	c.readForUser(id, func(status int) {
		if f, ok := c.jobs.final(id); ok {
			done(finalAnswer(f))
			return
		}
		if j := c.jobs.open[id]; status == http.StatusOK && j != nil && !c.mayWait(j) {
			status = 0
		}
		switch status {
		case http.StatusOK:
			done(peer.Answer{Status: http.StatusOK, State: wire.StatePending})
		case http.StatusNotFound:
			done(peer.Answer{Status: http.StatusNotFound})
		default:
			done(peer.Answer{Status: http.StatusServiceUnavailable})
		}
	})
}

func (c *Controller) handleCancel(in CancelRequest) {
	if !wire.ValidID(in.ID) {
		c.answer(in.Reply, http.StatusNotFound, nil, 0)
		return
	}
	c.cancelForUser(in.ID, true, func(a peer.Answer) { c.answerJob(in.Reply, in.ID, a, soon) })
}

func (c *Controller) cancelForUser(id string, look bool, done func(peer.Answer)) {
	if f, ok := c.jobs.final(id); ok {
		done(finalAnswer(f))
		return
	}
	j := c.jobs.open[id]
	if j == nil {
		if !look {
			done(peer.Answer{Status: http.StatusServiceUnavailable})
			return
		}
		c.readForUser(id, func(status int) {
			if status == http.StatusOK {
				c.cancelForUser(id, false, done)
				return
			}
			if status == http.StatusNotFound {
				done(peer.Answer{Status: http.StatusNotFound})
				return
			}
			done(peer.Answer{Status: http.StatusServiceUnavailable})
		})
		return
	}
	s := c.ownership.shards[j.shard]
	if c.mayAnswerFromMemory(j) {
		c.cancelJob(j, done)
		return
	}
	c.stopCancelledTasks(j)
	p := c.peers[s.owner.Label]
	if s.ownerEpoch == 0 || p == nil {
		done(peer.Answer{Status: http.StatusServiceUnavailable})
		return
	}
	c.askPeer(p, peer.Ask{ID: id, Cancel: true}, 3*micros.Second, func(a peer.Answer) {
		if a.Status == http.StatusOK && a.State != wire.StateDone && a.State != wire.StateCancelled {
			a = peer.Answer{Status: http.StatusServiceUnavailable}
		}
		done(a)
	})
}

// stopCancelledTasks stops the tasks of a job that its user wants cancelled, at an owner that may
// still command but can't record or speak.
func (c *Controller) stopCancelledTasks(j *job) {
	if j.run != nil && c.activeShard(j.shard) != nil {
		c.requestCancellation(j)
	}
}

// maxAccepting is how many records of new jobs may wait for their turn: more would not be
// written in time.
const maxAccepting = 40

// handleSubmit takes a user's job.
func (c *Controller) handleSubmit(in SubmitRequest) {
	if in.Err != nil {
		// An accepted job never gets 400, whatever its repeat says now, and this node
		// may not have heard of it yet: only a read can tell.
		if in.Err.ID == "" {
			c.answer(in.Reply, http.StatusBadRequest, nil, 0)
			return
		}
		c.refuseSubmission(in.Reply, in.Err.ID, http.StatusBadRequest)
		return
	}
	id := in.Job.ID
	if c.knows(id) {
		c.jobState(id, func(a peer.Answer) { c.answerQuestion(in.Reply, id, a) })
		return
	}
	if len(c.types) == 0 || !c.ownership.jobWatch.ready {
		c.answer(in.Reply, http.StatusServiceUnavailable, nil, 1)
		return
	}
	if !c.canRun(&in.Job) {
		c.refuseSubmission(in.Reply, id, http.StatusUnprocessableEntity)
		return
	}
	if !c.fitsRecord(&in.Job) {
		// Said before its dependencies are looked up: a list may name thousands.
		c.refuseSubmission(in.Reply, id, http.StatusBadRequest)
		return
	}
	if len(c.jobs.open) >= c.cfg.MaxOpenJobs || c.stateQueue.waiting(classAccept) > maxAccepting {
		c.answer(in.Reply, http.StatusTooManyRequests, nil, 2)
		return
	}
	c.lookUpDependencies(in.Job, func(status int) {
		switch status {
		case http.StatusOK:
			c.create(in.Job, func(status int, state string) {
				c.answerJob(in.Reply, id, peer.Answer{Status: status, State: state}, soon)
			})
		case http.StatusNotFound:
			c.refuseSubmission(in.Reply, id, http.StatusUnprocessableEntity)
		default:
			c.answer(in.Reply, http.StatusServiceUnavailable, nil, 1)
		}
	})
}

// fitsRecord: the record of a job, dependencies and all, is no larger than the state
// service takes.
func (c *Controller) fitsRecord(sub *wire.Submission) bool {
	value, err := wire.Encode(wire.NewJobRecord(sub, c.wall.Millis()))
	if err == nil && c.storable(value) {
		return true
	}
	c.log(Info, "job record does not fit, refused", "job", sub.ID, "bytes", len(value), "dependencies", len(sub.DependsOn), "error", err)
	return false
}

// refuseSubmission answers a submission that can't be taken, unless its job was accepted
// before: then it says how that stands.
func (c *Controller) refuseSubmission(r ReplyID, id string, status int) {
	c.jobState(id, func(a peer.Answer) {
		if a.Status == http.StatusNotFound {
			c.answer(r, status, nil, 0)
			return
		}
		c.answerQuestion(r, id, a)
	})
}

func (c *Controller) knows(id string) bool {
	_, over := c.jobs.final(id)
	return over || c.jobs.open[id] != nil
}

// canRun tells whether a job could ever run: its team is known, and a task fits
// an allowed machine type in an allowed zone and its team's limit.
func (c *Controller) canRun(sub *wire.Submission) bool {
	team, ok := c.teamOf[sub.Team]
	if !ok {
		return false
	}
	t := c.cfg.Teams[team]
	if t.CPUsMax > 0 && sub.CPUs > t.CPUsMax || t.GPUsMax > 0 && sub.GPUs > t.GPUsMax {
		return false
	}
	for _, name := range c.typeIndex.names {
		mt := c.types[name]
		if typeAllowed(sub, name) && sub.CPUs <= mt.CPUs && sub.GPUs <= mt.GPUs && sub.MemGB <= mt.MemGB {
			if sub.Zone == "" {
				return true
			}
			for _, z := range mt.Zones {
				if z == sub.Zone {
					return true
				}
			}
		}
	}
	return false
}

func typeAllowed(sub *wire.Submission, name string) bool {
	if sub.Types == nil {
		return true
	}
	for _, t := range sub.Types {
		if t == name {
			return true
		}
	}
	return false
}

// create writes the record of a new job. 201 is told only once that stands.
func (c *Controller) create(sub wire.Submission, done func(status int, state string)) {
	id := sub.ID
	if cr := c.jobs.pendingCreations[id]; cr != nil {
		if len(cr.waiters) >= 16 {
			done(http.StatusServiceUnavailable, "")
			return
		}
		cr.waiters = append(cr.waiters, done)
		return
	}
	rec := wire.NewJobRecord(&sub, c.wall.Millis())
	if c.namesCancelled(&sub) {
		// Accepted and over in one write, so that nobody is told "pending" of it when
		// the job before it may have been cancelled long ago.
		rec = wire.JobRecord{AcceptedMS: rec.AcceptedMS, State: wire.StateCancelled, Tasks: sub.Tasks, EndMS: rec.AcceptedMS}
	}
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "job record not encoded", "job", id, "error", err)
		done(http.StatusServiceUnavailable, "")
		return
	}
	cr := &jobCreation{waiters: []func(int, string){done}}
	c.jobs.pendingCreations[id] = cr
	finish := func(status int, state string) {
		delete(c.jobs.pendingCreations, id)
		for _, w := range cr.waiters {
			w(status, state)
		}
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.JobKey(id), ModRevision: 0}},
		Then: []wire.Change{{Put: wire.JobKey(id), Value: value}},
	}
	c.askState(classAccept, txn, 1200*micros.Millisecond, func(r Result) {
		if revision, ok := txnRevision(r); ok {
			c.ownership.lastStateReplyAt = c.now
			c.learnJob(id, rec, revision)
			c.sendJobRecordHint(id, revision, value)
			finish(http.StatusCreated, rec.State)
			return
		}
		if txnOutcomeOf(r) == txnNotExecuted {
			finish(http.StatusServiceUnavailable, "")
			return
		}
		// It stands already, or nothing is known: a read settles it. If nothing
		// stands, a late copy may still create it; the user's retry finds it then.
		c.freshState(id, func(a peer.Answer) {
			if a.Status == http.StatusNotFound {
				a.Status = http.StatusServiceUnavailable
			}
			finish(a.Status, a.State)
		})
	})
}

// sendJobRecordHint tells the owner of a new job at once; the watch would in a moment.
func (c *Controller) sendJobRecordHint(id string, modRevision uint64, record []byte) {
	j := c.jobs.open[id]
	if j == nil || j.run != nil {
		return
	}
	p := c.peers[c.ownership.shards[j.shard].owner.Label]
	if p == nil || !c.alive(p) {
		return
	}
	req := peer.Request{From: c.cfg.Label, JobRecordHint: &peer.JobRecordHint{ID: id, ModRevision: modRevision, Record: record}}
	c.call(Call{To: ToPeer, Addr: p.label, Req: req, Timeout: micros.Second}, func(Result) {})
}
