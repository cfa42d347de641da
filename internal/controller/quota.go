package controller

import (
	"net/http"
	"slices"
	"time"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// The adapter of package quota: limits of groups above teams. Without the option, here and
// at every other controller, nothing is sent, written or computed.

// quotas is what the adapter keeps.
type quotas struct {
	tree   *quota.Tree   // this controller's options; nil: none
	ledger *quota.Ledger // nil: there are no groups
	watch  watch
	// paths are each team's groups, the innermost first, members each group's teams;
	// both by the records.
	paths   [][]string
	members map[string][]int
	useNext micros.Micros
	// announceNext is when this controller, if it leads, looks at the options again.
	announceNext micros.Micros
	reread       map[string]bool
	stale        map[int]bool // shards for which the records are to be read again
	sets         map[uint64]func(quota.SetDone)
	nextSet      uint64
	tracer       quotaTracer
}

const (
	// quotaUsageInterval is the pace at which the ledger hears what is used and wanted.
	quotaUsageInterval = 250 * micros.Millisecond
	// announceInterval is the pace at which the leader looks at options and schedules.
	announceInterval = micros.Second
	quotaTimeout     = 1500 * micros.Millisecond
)

// enableQuota starts keeping groups: by this controller's options, or since another one
// shows that it does.
func (c *Controller) enableQuota() {
	q := &c.quota
	if q.ledger != nil {
		return
	}
	q.ledger = quota.NewLedger(quota.Config{Shards: c.cfg.Shards, Timing: quota.DefaultTiming()})
	q.watch = newWatch(wire.PrefixQuota, c.watchInterval(controlWatchInterval, quotaWatchFraction))
	q.paths = make([][]string, len(c.cfg.Teams))
	q.members = map[string][]int{}
	q.tracer = quotaTracer{own: map[traceKey]openTrace{}, remote: map[traceKey]openTrace{}}
	q.reread = map[string]bool{}
	q.stale = map[int]bool{}
	q.sets = map[uint64]func(quota.SetDone){}
	for _, s := range c.ownership.shards {
		if s.owned() {
			c.holdQuota(s)
		}
	}
}

// followQuota keeps the records of groups watched.
func (c *Controller) followQuota() {
	if c.quota.ledger != nil {
		c.follow(&c.quota.watch)
	}
}

// stepQuota feeds the ledger, and carries out what follows.
func (c *Controller) stepQuota(in quota.Input) {
	q := &c.quota
	if q.ledger == nil {
		return
	}
	for _, e := range q.ledger.Step(quota.Instant{Steady: c.now, WallMS: c.wall.Millis()}, in) {
		switch e := e.(type) {
		case quota.Write:
			c.writeQuota(e)
		case quota.Read:
			q.reread[e.Group] = true
		case quota.Reclaim:
			c.reclaimQuota(c.ownership.shards[e.Shard], e)
		case quota.Changed:
			c.noteQuotaChange(e)
		case quota.SetDone:
			if done := q.sets[e.Token]; done != nil {
				delete(q.sets, e.Token)
				done(e)
			}
		}
	}
}

// learnQuota takes a group's record from a watch, a listing or a read.
func (c *Controller) learnQuota(group string, rec quota.Record, modRevision uint64) {
	q := &c.quota
	if q.ledger == nil {
		return
	}
	c.stepQuota(quota.Learned{Group: group, Record: rec, ModRevision: modRevision})
	c.indexQuota()
}

// indexQuota notes which groups each team is in, after a record has come.
func (c *Controller) indexQuota() {
	q := &c.quota
	clear(q.members)
	for i, t := range c.cfg.Teams {
		q.paths[i] = q.ledger.Path(t.Name)
		for _, g := range q.paths[i] {
			q.members[g] = append(q.members[g], i)
		}
	}
	c.schedulingDue = true
}

// holdQuota has the ledger hold a shard that this controller has come to own: nothing is
// granted there from any group before all records were read anew, for the former owner
// may have given up more than is known here.
func (c *Controller) holdQuota(s *shard) {
	if c.quota.ledger == nil {
		return
	}
	c.stepQuota(quota.Held{Shard: s.id})
	c.refreshQuota(s, s.ownerEpoch, "")
}

// refreshQuota reads all records, page by page.
func (c *Controller) refreshQuota(s *shard, ownerEpoch uint64, after string) {
	const page = 200
	c.askState(statestore.ClassLease, ListKeys{Prefix: wire.PrefixQuota, After: after, Limit: page}, c.cfg.Lease, func(r statestore.Reply) {
		if !s.owned() || s.ownerEpoch != ownerEpoch {
			return
		}
		body, ok := r.Body.(*wire.KeyList)
		if !ok || r.Status != http.StatusOK {
			c.quota.stale[s.id] = true
			return
		}
		for _, kv := range body.Items {
			c.applyPut(kv.Key, kv.Value, kv.ModRevision)
			after = kv.Key
		}
		if body.More && len(body.Items) > 0 {
			c.refreshQuota(s, ownerEpoch, after)
			return
		}
		c.stepQuota(quota.Refreshed{Shard: s.id})
		c.quota.useNext = 0
		c.schedulingDue = true
	})
}

// dropQuota has the ledger let a shard go.
func (c *Controller) dropQuota(s *shard) { c.stepQuota(quota.Dropped{Shard: s.id}) }

// maintainQuota does what time brings.
func (c *Controller) maintainQuota() {
	q := &c.quota
	if q.ledger == nil || c.now < q.useNext || !c.leaseValid() {
		return
	}
	q.useNext = c.now + quotaUsageInterval
	for _, group := range sortedKeys(q.reread) {
		delete(q.reread, group)
		c.readQuota(group)
	}
	for _, s := range c.ownership.shards {
		if q.stale[s.id] && s.owned() {
			delete(q.stale, s.id)
			c.refreshQuota(s, s.ownerEpoch, "")
		}
		if c.activeShard(s.id) != nil {
			c.notifyQuotaUse(s)
		}
	}
	if q.tree != nil && c.leading() && c.now >= q.announceNext {
		q.announceNext = c.now + announceInterval
		c.stepQuota(quota.Announce{Definitions: q.tree.Definitions(time.UnixMicro(int64(c.wall)))})
	}
	c.stepQuota(quota.Tick{})
}

// readQuota reads a group's record anew; until that has come about, again and again.
func (c *Controller) readQuota(group string) {
	c.askState(statestore.ClassFleet, GetKey{Key: wire.QuotaKey(group)}, quotaTimeout, func(r statestore.Reply) {
		switch kv, ok := r.Body.(*wire.KeyValue); {
		case r.Status == http.StatusNotFound:
		case ok && r.Status == http.StatusOK:
			c.applyPut(kv.Key, kv.Value, kv.ModRevision)
		default:
			c.quota.reread[group] = true
		}
	})
}

// writeQuota sends a record, under the keys by which this controller may write it.
func (c *Controller) writeQuota(w quota.Write) {
	done := func(o quota.Outcome, modRevision uint64) {
		c.stepQuota(quota.Wrote{ID: w.ID, Outcome: o, ModRevision: modRevision})
	}
	value, err := wire.Encode(w.Record)
	if err != nil || !c.storable(value) {
		c.log(Error, "record of a group not stored", "group", w.Group, "bytes", len(value), "error", err)
		c.later(func() { done(quota.NotSent, 0) })
		return
	}
	txn := wire.Txn{If: []wire.Condition{{Key: wire.QuotaKey(w.Group), ModRevision: w.ModRevision}}}
	if w.Leader {
		txn.If = append(txn.If, wire.Condition{Key: wire.KeyLeader, ModRevision: c.ownership.leader.ownerEpoch})
	}
	for _, id := range w.Shards {
		txn.If = append(txn.If, wire.Condition{Key: ownerKey(id), ModRevision: c.ownership.shards[id].ownerEpoch})
	}
	txn.Then = []wire.Change{{Put: wire.QuotaKey(w.Group), Value: value}}
	c.askState(statestore.ClassFleet, txn, quotaTimeout, func(r statestore.Reply) {
		if revision, ok := r.Revision(); ok {
			done(quota.Applied, revision)
			c.indexQuota()
			return
		}
		switch r.Outcome() {
		case statestore.ConditionFailed:
			done(quota.Refused, 0)
		case statestore.NotExecuted, statestore.Rejected:
			done(quota.NotSent, 0)
		default:
			done(quota.Unknown, 0)
		}
	})
}

// overLimit: one more of a job's tasks would pass its team's limit, or the allowance of a
// group that the team is in.
func (c *Controller) overLimit(s *shard, j *job) bool {
	return s.usage[j.team].exceeds(c.cfg.Teams[j.team], j.sub) || c.overQuota(s, j) != ""
}

// overQuota names the group whose allowance one more task would pass; empty: none.
func (c *Controller) overQuota(s *shard, j *job) string {
	if c.quota.ledger == nil {
		return ""
	}
	task := sizeOf(j.sub)
	for _, g := range c.quota.paths[j.team] {
		if !c.groupUse(s, g).Plus(task).Within(c.quota.ledger.Allowed(s.id, g)) {
			return g
		}
	}
	return ""
}

// sizeOf is what one task takes of a group.
func sizeOf(sub *wire.Submission) quota.Amount { return quota.Amount{CPUs: sub.CPUs, GPUs: sub.GPUs} }

func (u usage) amount() quota.Amount { return quota.Amount{CPUs: u.cpus, GPUs: u.gpus} }

// groupUse is what a group's tasks could be using of a shard at most. A machine in doubt
// counts in full for each of its teams, as it does for the teams' own limits.
func (c *Controller) groupUse(s *shard, group string) (sum quota.Amount) {
	for _, i := range c.quota.members[group] {
		sum = sum.Plus(s.usage[i].amount())
	}
	return sum
}

// noteQuotaGrant tells the ledger of a start at once: a record that comes before the next
// look at what is used must not lead to giving up what has just been granted (a task ran
// beside a lowered limit for an instant, 1 of 100,000 grants on loopback).
func (c *Controller) noteQuotaGrant(s *shard, j *job) {
	if c.quota.ledger == nil {
		return
	}
	for _, g := range c.quota.paths[j.team] {
		c.quota.ledger.Granted(s.id, g, sizeOf(j.sub))
	}
}

// quotaHeadroom is how much more of a job's groups a shard may use, or should come to have.
type quotaHeadroom map[string]quota.Amount

// take gives how many of a job's tasks find quota, of that many, and takes it.
func (r quotaHeadroom) take(c *Controller, s *shard, j *job, count int) int {
	if c.quota.ledger == nil {
		return count
	}
	size := sizeOf(j.sub)
	for _, g := range c.quota.paths[j.team] {
		if _, ok := r[g]; !ok {
			r[g] = c.quota.ledger.Part(s.id, g).Minus(c.groupUse(s, g))
		}
		count = min(count, size.Fits(r[g]))
	}
	for _, g := range c.quota.paths[j.team] {
		r[g] = r[g].Minus(size.Times(count))
	}
	return count
}

// notifyQuotaUse tells the ledger what a shard uses, and what waits in it.
func (c *Controller) notifyQuotaUse(s *shard) {
	reconciled, known := c.useSettled(s)
	if !known {
		return
	}
	c.refresh(s)
	teams := make([]quota.TeamDemand, len(c.cfg.Teams))
	for i, t := range c.cfg.Teams {
		teams[i] = quota.TeamDemand{Groups: c.quota.paths[i], Used: s.usage[i].amount(), Guarantee: quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs}}
	}
	for _, j := range c.queue(s) {
		if len(c.quota.paths[j.team]) == 0 || !c.runnable(s, j) {
			continue
		}
		if w := c.waitingTasks(s, j); w.Count > 0 {
			teams[j.team].Waiting = append(teams[j.team].Waiting, w)
		}
		c.noteQuotaWait(s, j)
	}
	c.stepQuota(quota.Used{Shard: s.id, Groups: c.quota.ledger.Claims(s.id, reconciled, teams)})
}

// useSettled tells whether what a shard uses is exact, and else whether the most that it
// could be using is known: a process that has just begun does not know how large the
// machines are, and took them for empty (a successor gave up an allowance that was in
// use, found by the simulation).
func (c *Controller) useSettled(s *shard) (reconciled, known bool) {
	if len(c.types) == 0 {
		return false, false
	}
	reconciled = s.reconciled
	for _, m := range s.machines {
		if m.view == nil || !m.view.unreconciledFromPredecessor && !m.view.usage.unknown {
			continue
		}
		reconciled = false
		if _, ok := c.types[m.rec.Type]; !ok {
			return false, false
		}
	}
	return reconciled, true
}

// waitingTasks are a job's tasks that wait, as far as its team's limit allows.
func (c *Controller) waitingTasks(s *shard, j *job) quota.WaitingTasks {
	r, t := j.run, c.cfg.Teams[j.team]
	count := j.pending()
	if r.nextRetryAt != 0 {
		count = min(count, 1)
	}
	if t.CPUsMax > 0 && j.sub.CPUs > 0 {
		count = min(count, int((t.CPUsMax-s.usage[j.team].cpus)/j.sub.CPUs+eps))
	}
	if t.GPUsMax > 0 && j.sub.GPUs > 0 {
		count = min(count, int((t.GPUsMax-s.usage[j.team].gpus)/j.sub.GPUs+eps))
	}
	return quota.WaitingTasks{Size: sizeOf(j.sub), Count: count, SinceMS: max(j.since(), r.startedMS, 1)}
}

// noteQuotaWait tells of a job whose tasks have waited for quota for a while.
func (c *Controller) noteQuotaWait(s *shard, j *job) {
	const long = 2 * micros.Second
	group := c.overQuota(s, j)
	switch {
	case group == "":
		j.run.quotaWaitSince = 0
	case j.run.quotaWaitSince == 0:
		j.run.quotaWaitSince = c.now
	case !j.run.quotaWaitLogged && c.now-j.run.quotaWaitSince > long:
		j.run.quotaWaitLogged = true
		c.log(Info, "job waits for quota", "job", j.id, "group", group, "tasks", j.pending())
	}
}

// reclaimQuota stops tasks of a group that are beyond their teams' guarantees, beside a
// guarantee that waits: those of least priority first, of these the latest ones.
func (c *Controller) reclaimQuota(s *shard, e quota.Reclaim) {
	if c.activeShard(s.id) == nil {
		return
	}
	var list []*attempt
	for _, m := range s.machines {
		if m.view == nil {
			continue
		}
		for _, att := range m.view.list {
			if att.tracked && att.job != nil && att.job.run != nil && !att.job.withinGuarantee && att.stopMode == stopNone && att.state != attemptExited &&
				slices.Contains(c.quota.members[e.Group], att.job.team) {
				list = append(list, att)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *attempt) int {
		if a.job.priority != b.job.priority {
			return a.job.priority - b.job.priority
		}
		return int(b.since - a.since)
	})
	over, stopped := e.Over, 0
	for _, att := range list {
		if over.IsZero() {
			break
		}
		att.job.run.stopsByTask[att.index]++
		how := stopImmediate
		if att.job.sub.CheckpointS > 0 {
			how = stopGraceful
		}
		c.stop(att, how)
		over = over.Minus(sizeOf(att.job.sub))
		stopped++
	}
	c.log(Info, "tasks stopped for a guarantee that was lent", "group", e.Group, "shard", s.id, "tasks", stopped, "cpus", e.Over.CPUs)
}

// noteQuotaChange logs what has changed in a group.
func (c *Controller) noteQuotaChange(e quota.Changed) {
	switch e.Kind {
	case quota.Announced:
		c.log(Info, "limit of a group announced", "group", e.Group, "limit", e.Limit.String(), "source", string(e.Source), "epoch", e.Epoch)
	case quota.InForce:
		c.log(Info, "limit of a group in force", "group", e.Group, "limit", e.Limit.String(), "epoch", e.Epoch)
	default:
		c.log(Debug, "allowance of a shard", "change", string(e.Kind), "group", e.Group, "shard", e.Shard, "from", e.From.CPUs, "to", e.To.CPUs)
	}
	c.traceQuota(e)
}

// quotaRequest answers the command line.
func (c *Controller) quotaRequest(reply ReplyID, req peer.QuotaRequest) {
	resp := &peer.Response{From: c.cfg.Label, Quota: &peer.QuotaResponse{}}
	answer := func(problem string) {
		resp.Quota.Problem = problem
		c.answer(reply, http.StatusOK, resp, 0)
	}
	switch {
	case c.quota.ledger == nil:
		answer("no groups: the controllers have no quota option")
	case req.Set == nil:
		resp.Quota.Groups = c.quotaStatus()
		for _, label := range c.cfg.Peers {
			if !c.peers[label].quota {
				resp.Quota.Without = append(resp.Quota.Without, label)
			}
		}
		answer("")
	default:
		if err := quota.CheckLimit("limit", req.Set.Limit); err != nil {
			answer(err.Error())
			return
		}
		in := quota.Set{Token: c.quota.nextSet, Group: req.Set.Group}
		if !req.Set.Clear {
			in.Limit = &req.Set.Limit
		}
		c.quota.nextSet++
		c.quota.sets[in.Token] = func(done quota.SetDone) {
			resp.Quota.Epoch = done.Epoch
			answer(setProblems[done.Status])
		}
		c.stepQuota(in)
	}
}

// setProblems are what an operator is told of a limit that was not set.
var setProblems = map[quota.SetStatus]string{
	quota.SetNoGroup:  "no such group",
	quota.SetConflict: "not set: the limit was changed meanwhile; look at it and try again",
	quota.SetBusy:     "not set: the state service can't be reached, or others change the group all the time; try again",
}

// quotaStatus tells how all groups stand, with the shards' owners.
func (c *Controller) quotaStatus() []quota.GroupStatus {
	groups := c.quota.ledger.Status()
	owner := func(shard int) string {
		if shard < len(c.ownership.shards) {
			return c.ownership.shards[shard].owner.Label
		}
		return ""
	}
	for i := range groups {
		for k := range groups[i].Shards {
			groups[i].Shards[k].Owner = owner(groups[i].Shards[k].Shard)
		}
		for k := range groups[i].HeldUp {
			groups[i].HeldUp[k].Owner = owner(groups[i].HeldUp[k].Shard)
		}
	}
	return groups
}
