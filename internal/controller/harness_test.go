package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	ms  = micros.Millisecond
	sec = micros.Second
)

// harness drives one Controller step by step, with a state service that answers at once, a cloud
// with one machine type, and peers that say they are quiesced. Workers are the test's own: calls
// to them stay open until the test answers.
type harness struct {
	t       *testing.T
	c       *Controller
	now     micros.Micros
	rev     uint64
	keys    map[string]wire.KeyValue
	log     []wire.Event
	watches []Call
	open    []Call // to workers
	answers map[ReplyID]Answer
	reply   ReplyID
	// stateDown and peersDown leave calls without an answer.
	stateDown, peersDown bool
	// refused is set if calls get a 503 at once while stateDown is set.
	refused bool
	// lose swallows the answers of transactions that touch a key.
	lose string
	lost []Call
	// tooLarge is a prefix of keys whose changes the store refuses with 400.
	tooLarge string
	// late keeps transactions that touch a key back: see carryOut.
	late    string
	lateOut []Call
	held    []Call
	// asked are the job requests that were sent to the other controllers.
	asked []peer.JobRequest
	// statusesSent are the Status messages that reached the other controllers.
	statusesSent []peer.Status
	done         []wire.Txn // carried out
	// reads counts reads of single keys.
	reads int
	// refusals counts transactions refused as too large.
	refusals int
	// listed is what the cloud lists.
	listed []wire.ListedMachine
	// logs are the lines logged so far.
	logs []Log
	// unlistablePrefix is a prefix whose listings are refused, unread one whose keys can't be read.
	unlistablePrefix, unreadablePrefix string
	// watchBlocked is a prefix whose watches bring nothing.
	watchBlocked string
}

func newHarness(t *testing.T, change func(*Config)) *harness {
	cfg := Config{
		Label: "n-0", Shards: 1, Teams: []Team{{Name: "t"}},
		Lease: 4 * sec, HeartbeatInterval: 2 * sec, WorkerLease: 10 * sec, Cancel: 20 * sec,
		StateRPS: 1000, WriteRPS: 1000, ValueBytes: 8 << 10, TxnOps: 8, MaxWorkerRequests: 8, CloudRPS: 100, ListLag: sec,
		DrainHorizon: 30 * sec, IdleReturn: micros.Minute, CordonFor: 30 * sec, MaxMachines: 10,
		StartWithin: map[string]micros.Micros{},
	}
	if change != nil {
		change(&cfg)
	}
	h := &harness{t: t, c: New(cfg, 1), now: sec, keys: map[string]wire.KeyValue{}, answers: map[ReplyID]Answer{}}
	h.run(sec)
	return h
}

// run lets time pass.
func (h *harness) run(d micros.Micros) {
	for end := h.now + d; h.now < end; {
		h.now += 20 * ms
		h.step(Tick{})
	}
}

func (h *harness) step(in Input) {
	for _, e := range h.c.Step(Instant{Steady: h.now, Wall: h.now}, in) {
		switch e := e.(type) {
		case Answer:
			h.answers[e.Reply] = e
		case Call:
			h.call(e)
		case Log:
			h.logs = append(h.logs, e)
			if e.Text == InvariantBroken {
				h.t.Errorf("%s: %v", e.Text, e.Args)
			}
		}
	}
	for i := 0; i < len(h.watches); i++ {
		w := h.watches[i]
		req := w.Req.(statestore.WatchKeys)
		if req.Prefix == h.watchBlocked {
			continue
		}
		var events []wire.Event
		for _, ev := range h.log {
			if ev.ModRevision > req.Since && (strings.HasPrefix(ev.Put, req.Prefix) || ev.Delete != "" && strings.HasPrefix(ev.Delete, req.Prefix)) {
				events = append(events, ev)
			}
		}
		if (len(events) > 0 || req.WaitMS == 0) && !h.stateDown {
			h.watches = slices.Delete(h.watches, i, i+1)
			h.step(Result{ID: w.ID, Status: 200, Body: &wire.Events{Revision: h.rev, Events: events}})
			return
		}
	}
}

func (h *harness) call(c Call) {
	switch c.To {
	case ToWorker:
		h.open = append(h.open, c)
	case ToPeer:
		h.callPeer(c)
	case ToCloud:
		h.callCloud(c)
	default:
		h.callState(c)
	}
}

// result ends a call.
func (h *harness) result(c Call, status int, body any) {
	h.step(Result{ID: c.ID, Status: status, Body: body})
}

func (h *harness) callPeer(c Call) {
	if req := c.Req.(peer.Request); req.JobRequest != nil {
		h.asked = append(h.asked, *req.JobRequest)
	}
	if h.peersDown {
		return
	}
	resp := &peer.Response{From: c.Addr}
	if req := c.Req.(peer.Request); req.Status != nil {
		h.statusesSent = append(h.statusesSent, *req.Status)
		resp.Status = &peer.StatusAck{ControllerState: peer.ControllerState{StateServiceOK: true}}
		for _, o := range req.Status.Claims {
			resp.Status.QuiescedShards = append(resp.Status.QuiescedShards, o.Shard)
		}
	}
	h.result(c, 200, resp)
}

func (h *harness) callCloud(c Call) {
	switch c.Req.(type) {
	case GetTypes:
		h.result(c, 200, &wire.MachineTypes{Types: []wire.MachineType{{Name: "m", CPUs: 4, MemGB: 8, FetchGBPerS: 1, Price: 1, SpotPrice: 0.5, BootS: 5, Zones: []string{"a", "b"}}}})
	case ReturnMachines:
		h.result(c, 200, nil)
	case ListMachines:
		h.result(c, 200, &wire.MachineList{Machines: slices.Clone(h.listed)})
	default:
		h.result(c, 503, NoCapacity("no capacity"))
	}
}

func (h *harness) callState(c Call) {
	if _, isWatch := c.Req.(statestore.WatchKeys); isWatch {
		h.watches = append(h.watches, c)
		return
	}
	if h.stateDown {
		if h.refused {
			h.result(c, 503, nil)
			return
		}
		h.held = append(h.held, c)
		return
	}
	switch r := c.Req.(type) {
	case wire.NewLease:
		h.rev++
		h.result(c, 200, &wire.Lease{ID: h.rev})
	case statestore.RenewLease:
		h.result(c, 200, nil)
	case statestore.GetKey:
		h.reads++
		if h.unreadablePrefix != "" && strings.HasPrefix(r.Key, h.unreadablePrefix) {
			h.result(c, 429, nil)
			return
		}
		if kv, ok := h.keys[r.Key]; ok {
			h.result(c, 200, &kv)
		} else {
			h.result(c, 404, nil)
		}
	case statestore.ListKeys:
		if h.unlistablePrefix != "" && strings.HasPrefix(r.Prefix, h.unlistablePrefix) {
			h.result(c, 429, nil)
			return
		}
		list := &wire.KeyList{Revision: h.rev}
		for _, k := range sortedKeys(h.keys) {
			if strings.HasPrefix(k, r.Prefix) && k > r.After {
				list.Items = append(list.Items, h.keys[k])
			}
		}
		h.result(c, 200, list)
	case wire.Txn:
		if h.late != "" && slices.ContainsFunc(r.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put+c.Delete, h.late) }) {
			h.lateOut = append(h.lateOut, c)
			return
		}
		if h.tooLarge != "" && slices.ContainsFunc(r.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put, h.tooLarge) }) {
			h.refusals++
			h.result(c, 400, nil)
			return
		}
		status, body := h.txn(r)
		if status == 200 {
			h.done = append(h.done, r)
		}
		if h.lose != "" && slices.ContainsFunc(r.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put+c.Delete, h.lose) }) {
			h.lost = append(h.lost, c) // applied, but the answer is lost
			return
		}
		h.result(c, status, body)
	}
}

func (h *harness) txn(t wire.Txn) (int, any) {
	for _, c := range t.Conditions {
		if h.keys[c.Key].ModRevision != c.ModRevision {
			return 409, &wire.Revision{Revision: h.rev, Failed: []string{c.Key}}
		}
	}
	h.rev++
	for _, c := range t.Changes {
		if c.Put != "" {
			h.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: h.rev}
			h.log = append(h.log, wire.Event{Put: c.Put, Value: c.Value, ModRevision: h.rev})
		} else {
			delete(h.keys, c.Delete)
			h.log = append(h.log, wire.Event{Delete: c.Delete, ModRevision: h.rev})
		}
	}
	return 200, &wire.Revision{Revision: h.rev}
}

// carryOut executes, late, what was kept back, without an answer to the sender. It returns how
// many transactions had their conditions met.
func (h *harness) carryOut() (applied int) {
	late := h.lateOut
	h.lateOut = nil
	for _, c := range late {
		if status, _ := h.txn(c.Req.(wire.Txn)); status == 200 {
			applied++
		}
	}
	return applied
}

// put stores a record as another node would.
func (h *harness) put(key string, rec any) uint64 {
	value, err := wire.Encode(rec)
	if err != nil {
		h.t.Fatal(err)
	}
	h.txn(wire.Txn{Changes: []wire.Change{{Put: key, Value: value}}})
	h.run(200 * ms)
	return h.rev
}

// ask sends a request and returns its answer; the status is 0 if there is none yet.
func (h *harness) ask(make func(ReplyID) Input) Answer {
	h.reply++
	h.step(make(h.reply))
	return h.answers[h.reply]
}

func (h *harness) submit(s wire.Submission) Answer {
	a := h.ask(func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: s} })
	if a.Status == 201 {
		h.run(60 * ms) // longer than schedulingInterval
	}
	return a
}

func (h *harness) jobStatus(id string) Answer {
	return h.ask(func(r ReplyID) Input { return JobStatusRequest{Reply: r, ID: id} })
}

// jobOf returns a plain submission.
func jobOf(id string, tasks int) wire.Submission {
	return wire.Submission{ID: id, Class: "c", Team: "t", Kind: "sweep", Priority: "standard", Tasks: tasks, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: 10}
}

// heartbeatFrom returns a worker's heartbeat.
func heartbeatFrom(id string, agentEpoch, seq, fencingToken uint64, tasks ...wire.TaskStatus) wire.Heartbeat {
	return wire.Heartbeat{Machine: id, Addr: id, Type: "m", Zone: "a", AgentEpoch: agentEpoch, Sequence: seq, FencingToken: fencingToken, Tasks: tasks}
}

// heartbeat sends a heartbeat; the commands are nil unless the status is 200.
func (h *harness) heartbeat(r wire.Heartbeat) (int, wire.HeartbeatReply) {
	a := h.ask(func(id ReplyID) Input { return Heartbeat{Reply: id, Heartbeat: r} })
	body, _ := a.Body.(wire.HeartbeatReply)
	return a.Status, body
}

// list has the cloud list a machine, and the leader read the list.
func (h *harness) list(id string) {
	h.listed = append(h.listed, wire.ListedMachine{ID: id, Addr: id, Type: "m", Zone: "a", State: wire.MachineRunning, AgeS: 1})
	h.c.fleet.listNext, h.c.fleet.planNext = h.now, h.now+400*ms
	h.run(sec)
}

// putMachines records machines as another node would.
func (h *harness) putMachines(name string, ids ...string) {
	rec := wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}}
	for _, id := range ids {
		rec.Machines = append(rec.Machines, wire.MachineRecord{ID: id, Addr: id})
	}
	h.put(wire.MachineRecordSetKey(0, name), rec)
}

// reconcile brings a machine into the fleet: the answer to its first heartbeat shows
// the fencing token, its second heartbeat carries it.
func (h *harness) reconcile(id string) uint64 {
	h.list(id)
	status, body := h.heartbeat(heartbeatFrom(id, 1, 2, 0))
	if status != 200 || body.FencingToken == 0 {
		h.t.Fatalf("heartbeat of %s answered %d with token %d", id, status, body.FencingToken)
	}
	h.dropCalls()
	if status, _ = h.heartbeat(heartbeatFrom(id, 1, 3, body.FencingToken)); status != 200 {
		h.t.Fatalf("second heartbeat of %s answered %d", id, status)
	}
	return body.FencingToken
}

// dropCalls ends all open calls to workers unanswered and unsent.
func (h *harness) dropCalls() {
	open := h.open
	h.open = nil
	for _, c := range open {
		h.step(Result{ID: c.ID, NotSent: true})
	}
}

// directCommands returns the open direct commands that hold starts.
func (h *harness) directCommands() []Call {
	var out []Call
	for _, c := range h.open {
		if o, ok := c.Req.(wire.DirectCommand); ok && len(o.Commands) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// giveUp ends the calls whose answers were lost.
func (h *harness) giveUp() {
	lost := h.lost
	h.lost = nil
	for _, c := range lost {
		h.step(Result{ID: c.ID})
	}
}

func (h *harness) state(id string) wire.JobState {
	a := h.jobStatus(id)
	if b, ok := a.Body.(wire.JobAnswer); ok {
		return b.State
	}
	return ""
}

func starts(cmds []wire.Command) (out []wire.Command) {
	for _, c := range cmds {
		if c.Op == wire.OpStart {
			out = append(out, c)
		}
	}
	return out
}

// logged returns the values of a key in the lines of a text, in order.
func (h *harness) logged(text, key string) (values []string) {
	for _, l := range h.logs {
		if l.Text != text {
			continue
		}
		for i := 0; i+1 < len(l.Args); i += 2 {
			if l.Args[i] == key {
				values = append(values, fmt.Sprint(l.Args[i+1]))
			}
		}
	}
	return values
}

// cancel asks to cancel a job.
func (h *harness) cancel(id string) Answer {
	return h.ask(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: id} })
}

// stops counts the stops without a grace period.
func stops(cmds []wire.Command) (n int) {
	for _, c := range cmds {
		if c.Op == wire.OpStop && c.GraceS != nil && *c.GraceS == 0 {
			n++
		}
	}
	return n
}

// startOne submits job-000001 with one task and has it started on vm-1 by the
// answer to a heartbeat; it returns the attempt.
func (h *harness) startOne(fencingToken uint64) uint64 {
	h.t.Helper()
	h.submit(jobOf("job-000001", 1))
	h.dropCalls() // the direct command never left: the start waits again
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := starts(body.Commands)
	if len(cmds) != 1 {
		h.t.Fatalf("commands %v, want a start", body.Commands)
	}
	return cmds[0].Attempt
}

// runOne has job-000001 of one task running on vm-1, at a node with a peer; it returns
// the fencing token and the attempt.
func (h *harness) runOne() (fencingToken, attempt uint64) {
	fencingToken = h.reconcile("vm-1")
	attempt = h.startOne(fencingToken)
	h.heartbeat(h.running(11, fencingToken, attempt))
	return fencingToken, attempt
}

func (h *harness) running(seq, fencingToken, attempt uint64) wire.Heartbeat {
	return heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskRunning})
}

func withPeer(c *Config) { c.Peers = []string{"n-1"} }

// newOwnerHarness returns a harness whose node has had the time to claim its locks beside others.
func newOwnerHarness(t *testing.T, change func(*Config)) *harness {
	h := newHarness(t, change)
	h.run(2 * sec)
	return h
}
