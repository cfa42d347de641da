package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	// maxAccepting bounds the records of new jobs that wait to be written. More would not be
	// written in time.
	maxAccepting = 40
	// maxCreationWaiters bounds the submissions that wait for the record of the same job.
	maxCreationWaiters = 16

	creationTimeout = 1200 * micros.Millisecond
	// hintTimeout is the timeout of the message that sends a new job's record to its owner.
	hintTimeout = micros.Second
)

// jobCreation is a new job whose record is being written.
type jobCreation struct {
	waiters []func(peer.JobResponse)
}

// handleSubmit handles a user's submission. If a job with the same id was accepted before, the
// answer is the state of that job, whatever the submission says now.
func (c *Controller) handleSubmit(in SubmitRequest) {
	if in.Err != nil {
		c.refuseMalformed(in.Reply, in.Err)
		return
	}
	id := in.Job.ID
	if c.jobs.contains(id) {
		c.findJobState(id, func(a peer.JobResponse) { c.answerJobStatus(in.Reply, id, a) })
		return
	}
	if !c.types.known() || !c.ownership.jobWatch.Ready() {
		c.answer(in.Reply, http.StatusServiceUnavailable, nil, retrySoon)
		return
	}
	if status, refused := c.refusalOf(&in.Job); refused {
		c.refuseSubmission(in.Reply, id, status)
		return
	}
	if c.jobTableFull() {
		c.answer(in.Reply, http.StatusTooManyRequests, nil, retryWhenFull)
		return
	}
	c.lookUpDependencies(in.Job, func(found statestore.Lookup) { c.acceptSubmission(in, found) })
}

// refuseMalformed answers a submission that could not be decoded. A job with its id may have been
// accepted before without this node knowing, so the record is looked up first.
func (c *Controller) refuseMalformed(r ReplyID, err *wire.SubmissionError) {
	if err.ID == "" {
		c.answer(r, http.StatusBadRequest, nil, 0)
		return
	}
	c.refuseSubmission(r, err.ID, http.StatusBadRequest)
}

// refusalOf reports whether a submission is refused permanently, and with which HTTP status. The size
// of the record is checked here, before the dependencies are looked up, since there may be thousands
// of them.
func (c *Controller) refusalOf(sub *wire.Submission) (status int, refused bool) {
	if !c.canRun(sub) {
		return http.StatusUnprocessableEntity, true
	}
	if !c.fitsRecord(sub) {
		return http.StatusBadRequest, true
	}
	return 0, false
}

// jobTableFull reports whether new jobs must be refused for now, because too many jobs are open or
// too many records wait to be written.
func (c *Controller) jobTableFull() bool {
	return len(c.jobs.open) >= c.cfg.MaxOpenJobs || c.stateQueue.Waiting(statestore.ClassAccept) > maxAccepting
}

// acceptSubmission creates the job of a submission, given the result of looking up its dependencies.
func (c *Controller) acceptSubmission(in SubmitRequest, dependencies statestore.Lookup) {
	id := in.Job.ID
	switch dependencies {
	case statestore.LookupFound:
		c.createJob(in.Job, func(a peer.JobResponse) { c.answerJob(in.Reply, id, a, retrySoon) })
	case statestore.LookupMissing:
		c.refuseSubmission(in.Reply, id, http.StatusUnprocessableEntity)
	default:
		c.answer(in.Reply, http.StatusServiceUnavailable, nil, retrySoon)
	}
}

// storable reports whether a value fits the size limit of the state service. The limit takes
// scheduled reductions into account.
func (sc *stepContext) storable(value wire.Raw) bool {
	return wire.StoredSize(value, sc.cfg.ValueBytes) <= sc.cfg.ValueBytes
}

// fitsRecord reports whether the record of a job, including its dependencies, fits the size limit of
// the state service.
func (sc *stepContext) fitsRecord(sub *wire.Submission) bool {
	value, err := wire.Encode(wire.NewJobRecord(sub, sc.wall.Millis()))
	if err == nil && sc.storable(value) {
		return true
	}
	sc.log(Info, "job record does not fit, refused", "job", sub.ID, "bytes", len(value), "dependencies", len(sub.DependsOn), "error", err)
	return false
}

// refuseSubmission refuses a submission with an HTTP status. If its job was accepted before, the
// answer is the state of that job instead.
func (c *Controller) refuseSubmission(r ReplyID, id string, status int) {
	c.findJobState(id, func(a peer.JobResponse) {
		if a.Status == http.StatusNotFound {
			c.answer(r, status, nil, 0)
			return
		}
		c.answerJobStatus(r, id, a)
	})
}

// canRun reports whether a job could ever run: its team is known, and a task fits into the team's
// limit and into an allowed machine type in an allowed zone.
func (c *Controller) canRun(sub *wire.Submission) bool {
	team, ok := c.jobSharding.teamOf[sub.Team]
	if !ok {
		return false
	}
	t := c.cfg.Teams[team]
	if t.CPUsMax > 0 && sub.CPUs > t.CPUsMax || t.GPUsMax > 0 && sub.GPUs > t.GPUsMax {
		return false
	}
	return slices.ContainsFunc(c.types.names, func(name string) bool {
		return typeAllowed(sub, name) && fitsType(sub, c.types.byName[name])
	})
}

// fitsType reports whether a task of a job fits on an empty machine of a type that is offered in a
// zone that the job allows.
func fitsType(sub *wire.Submission, mt wire.MachineType) bool {
	if sub.CPUs > mt.CPUs || sub.GPUs > mt.GPUs || sub.MemGB > mt.MemGB {
		return false
	}
	return sub.Zone == "" || slices.Contains(mt.Zones, sub.Zone)
}

// typeAllowed reports whether a job allows machines of a type.
func typeAllowed(sub *wire.Submission, name string) bool {
	return sub.Types == nil || slices.Contains(sub.Types, name)
}

// createJob writes the record of a new job and calls done with 201 once it is written, or with the
// answer for the existing record, or with 503.
func (c *Controller) createJob(sub wire.Submission, done func(peer.JobResponse)) {
	id := sub.ID
	if pending := c.jobs.pendingCreations[id]; pending != nil {
		if len(pending.waiters) >= maxCreationWaiters {
			done(unavailable())
			return
		}
		pending.waiters = append(pending.waiters, done)
		return
	}
	rec := c.newJobRecord(&sub)
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "job record not encoded", "job", id, "error", err)
		done(unavailable())
		return
	}
	c.jobs.pendingCreations[id] = &jobCreation{waiters: []func(peer.JobResponse){done}}
	c.queueStateRequest(statestore.ClassAccept, creationTxn(id, value), creationTimeout, func(r statestore.Reply) {
		c.handleCreation(id, rec, value, r)
	})
}

// newJobRecord returns the record of a job that is accepted now. If a dependency is cancelled, the
// job is accepted and cancelled in a single write, so that no user is answered "pending" although
// the dependency may have been cancelled long ago.
func (c *Controller) newJobRecord(sub *wire.Submission) wire.JobRecord {
	rec := wire.NewJobRecord(sub, c.wall.Millis())
	if !c.jobs.dependsOnCancelled(sub) {
		return rec
	}
	return wire.JobRecord{
		AcceptedMS: rec.AcceptedMS,
		State:      wire.StateCancelled,
		Tasks:      sub.Tasks,
		EndMS:      rec.AcceptedMS,
	}
}

// creationTxn returns the transaction that writes the record of a new job. It is conditional on the
// absence of a record.
func creationTxn(id string, value wire.Raw) wire.Txn {
	return wire.Txn{
		Conditions: []wire.Condition{{Key: wire.JobKey(id), ModRevision: 0}},
		Changes:    []wire.Change{{Put: wire.JobKey(id), Value: value}},
	}
}

// handleCreation handles the result of the transaction that writes the record of a new job.
func (c *Controller) handleCreation(id string, rec wire.JobRecord, value wire.Raw, r statestore.Reply) {
	if revision, ok := r.Revision(); ok {
		c.ownership.lastStateReplyAt = c.now
		c.applyJobRecord(id, rec, revision)
		c.sendJobRecordHint(id, revision, value)
		c.jobs.finishCreation(id, peer.JobResponse{Status: http.StatusCreated, State: rec.State})
		return
	}
	if r.Outcome() == statestore.NotExecuted {
		c.jobs.finishCreation(id, unavailable())
		return
	}
	// A record exists already or the outcome is unknown. A read resolves it. If the read finds no
	// record, a late copy of the transaction may still create it, and the user's retry finds it.
	c.readJobState(id, func(a peer.JobResponse) {
		if a.Status == http.StatusNotFound {
			a.Status = http.StatusServiceUnavailable
		}
		c.jobs.finishCreation(id, peer.JobResponse{Status: a.Status, State: a.State})
	})
}

// finishCreation answers all submissions that wait for the record of a new job.
func (t *jobTable) finishCreation(id string, answer peer.JobResponse) {
	waiters := t.pendingCreations[id].waiters
	delete(t.pendingCreations, id)
	for _, done := range waiters {
		done(answer)
	}
}

// sendJobRecordHint sends the record of a new job to its owner, so that the owner need not wait for
// the watch to deliver it.
func (c *Controller) sendJobRecordHint(id string, modRevision uint64, record []byte) {
	j := c.jobs.open[id]
	if j == nil || j.run != nil {
		return
	}
	p := c.peers[c.ownership.shards[j.shard].owner.Label]
	if p == nil || !c.alive(p) {
		return
	}
	hint := &peer.JobRecordHint{ID: id, ModRevision: modRevision, Record: record}
	req := peer.Request{From: c.cfg.Label, JobRecordHint: hint}
	c.sendCall(Call{To: ToPeer, Addr: p.label, Req: req, Timeout: hintTimeout}, func(Result) {})
}
