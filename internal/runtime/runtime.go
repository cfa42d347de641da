// Package runtime carries out what the controller decides: it feeds requests, results
// and time into the controller, sends its calls, writes its answers and logs.
package runtime

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"garnethitch/internal/client"
	"garnethitch/internal/config"
	"garnethitch/internal/controller"
	"garnethitch/internal/http1"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/server"
	"garnethitch/internal/tracing"
	"garnethitch/internal/wire"
)

const maxBody = 64 << 10

// Runtime is one running controller.
type Runtime struct {
	set   config.Settings
	log   *slog.Logger
	start time.Time

	mu         sync.Mutex
	controller *controller.Controller
	wakeAt     micros.Micros // what the timer is set to
	took       micros.Micros // by the step before
	meter      meter
	replies    map[controller.ReplyID]waitingRequest
	nextID     controller.ReplyID
	// calls are under way, by core.Target, and most bounds them: what one side
	// does not answer must not keep a lease from being renewed.
	calls, most [4]int
	timer       *time.Timer

	srv        *server.Server
	heartbeats *wire.HeartbeatReader // used on the serving goroutine only
	out        *client.Client        // state, cloud and peers
	workers    *client.Client
	peers      map[string]string
	ctx        context.Context
	tracer     *tracing.Tracer // nil: spans are not wanted
}

// waitingRequest is a request that waits for its answer; report: it is a worker's.
type waitingRequest struct {
	*server.Reply
	heartbeat bool
}

// WithTracer has spans exported.
func (rt *Runtime) WithTracer(t *tracing.Tracer) *Runtime {
	rt.tracer = t
	return rt
}

// New prepares a controller.
func New(set config.Settings, opt config.Options, log *slog.Logger, seed uint64) *Runtime {
	cfg := ControllerConfig(set, opt)
	cfg.LogHeartbeats = log != nil && log.Enabled(context.Background(), slog.LevelDebug)
	rt := &Runtime{
		set: set, log: log, start: time.Now(),
		controller: controller.New(cfg, seed),
		replies:    map[controller.ReplyID]waitingRequest{},
		peers:      map[string]string{},
	}
	for _, s := range set.Seeds {
		rt.peers[s.Label] = s.Address
	}
	sz := SizesOf(set)
	rt.heartbeats = wire.NewHeartbeatReader(sz.Lists)
	outbound := client.Config{
		MaxIdle: 8, MaxConns: sz.Services, MaxBodyBytes: sz.StateBody,
		IdleTimeout: 20 * time.Second, DialTimeout: 700 * time.Millisecond,
	}
	rt.out = client.New(outbound)
	outbound.MaxIdle, outbound.MaxBodyBytes, outbound.MaxConns = 1, maxBody, sz.Workers
	outbound.IdleTimeout = time.Minute // about as long as a task runs
	rt.workers = client.New(outbound)
	rt.most = [...]int{controller.ToState: sz.StateCalls, controller.ToCloud: sz.Services / 8, controller.ToWorker: 2 * sz.Asks, controller.ToPeer: sz.PeerCalls}
	rt.srv = server.New(server.Config{
		Addrs:            []string{set.ServeOn, set.InternalAddr},
		MaxConns:         sz.Serve,
		MaxBodyBytes:     []int{maxBody, peer.MaxMessage},
		MaxBufferedBytes: sz.Held,
		RequestTimeout:   10 * time.Second,
		IdleTimeout:      sz.Idle,
		Log:              log,
		Now:              time.Now,
		Handler:          rt.handle,
	})
	return rt
}

// ControllerConfig gives the controller what it needs of the settings.
func ControllerConfig(set config.Settings, opt config.Options) controller.Config {
	cl, sz := set.Cluster, SizesOf(set)
	state := cl.State.Strictest()
	cfg := controller.Config{
		Label: set.Label, Shards: cl.Nodes,
		Lease:             micros.Micros(opt.LeaseMS) * micros.Millisecond,
		HeartbeatInterval: micros.FromSeconds(cl.Workers.ReportS),
		WorkerLease:       micros.FromSeconds(cl.Workers.LeaseS),
		Cancel:            micros.FromSeconds(cl.Workers.CancelS),
		StateRPS:          state.RPS, WriteRPS: state.WriteRPS,
		ValueBytes: int(state.ValueKB * 1024), TxnOps: state.TxnOps,
		MaxStateRequests: sz.StateCalls * 3 / 4, MaxPeerQuestions: sz.PeerCalls * 3 / 4,
		MaxWorkerRequests: sz.Asks, MaxOpenJobs: sz.OpenJobs, MaxFinalJobs: sz.FinalJobs, MaxRegistrations: sz.Serve,
		CloudRPS: cl.Cloud.RPS, ListLag: micros.FromSeconds(cl.Cloud.ListLagS),
		SilentReturn: silentReturn(opt),
		DrainHorizon: micros.FromSeconds(opt.DrainHorizonS),
		BeginWithin:  micros.FromSeconds(opt.BeginS),
		IdleReturn:   micros.FromSeconds(opt.IdleReturnS),
		CordonFor:    micros.FromSeconds(opt.QuarantineS),
		MaxMachines:  opt.MaxMachines,
		Quota:        opt.Groups,
		Trace:        opt.Trace.Enabled(),
		StartWithin:  map[string]micros.Micros{},
		FinishWithin: map[string]micros.Micros{},
	}
	for _, s := range set.Seeds {
		cfg.Peers = append(cfg.Peers, s.Label)
	}
	for _, t := range cl.Teams {
		cfg.Teams = append(cfg.Teams, controller.Team(t))
	}
	for _, o := range cl.Objectives {
		switch {
		case o.WithinS <= 0:
		case o.Kind == "guarantee":
			if w := micros.FromSeconds(o.WithinS); cfg.GuaranteeWithin == 0 || w < cfg.GuaranteeWithin {
				cfg.GuaranteeWithin = w
			}
		case o.Class == "":
		case o.Kind == "wait":
			strictest(cfg.StartWithin, o)
		case o.Kind == "finished":
			strictest(cfg.FinishWithin, o)
		}
	}
	return cfg
}

// strictest keeps the shortest time that any objective wants for a class.
func strictest(of map[string]micros.Micros, o config.Objective) {
	within := micros.FromSeconds(o.WithinS)
	if old, ok := of[o.Class]; !ok || within < old {
		of[o.Class] = within
	}
}

// silentReturnAfter gives the operators' choice, or says that the controller is to derive it.
func silentReturn(opt config.Options) micros.Micros {
	if opt.SilentReturnS == nil {
		return -1
	}
	return micros.FromSeconds(*opt.SilentReturnS)
}

// Run serves until ctx ends.
func (rt *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rt.ctx = ctx
	rt.mu.Lock()
	rt.timer = time.AfterFunc(time.Hour, func() { rt.step(controller.Tick{}) })
	rt.mu.Unlock()
	defer rt.timer.Stop()
	rt.step(controller.Tick{})
	go rt.sweep(ctx)
	return rt.srv.Run(ctx)
}

func (rt *Runtime) sweep(ctx context.Context) {
	t := time.NewTicker(10 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			rt.out.CloseExpired()
			rt.workers.CloseExpired()
		}
	}
}

// instant reads both clocks.
func (rt *Runtime) instant() controller.Instant {
	now := time.Now()
	return controller.Instant{
		Steady: micros.FromDuration(now.Sub(rt.start)) + micros.Second,
		Wall:   micros.Micros(now.UnixMicro()),
	}
}

// step feeds one input and carries out what follows. The clock is read under
// the lock: a process that was frozen must not act on an old reading.
func (rt *Runtime) step(in controller.Input) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.stepLocked(in)
}

func (rt *Runtime) stepLocked(in controller.Input) {
	at := rt.instant()
	at.Took = rt.took
	for _, e := range rt.controller.Step(at, in) {
		switch e := e.(type) {
		case controller.Answer:
			rt.answer(e)
		case controller.Call:
			rt.call(e)
		case controller.Log:
			rt.logLine(e)
		case controller.Span:
			if rt.tracer != nil {
				rt.tracer.Export(e)
			}
		}
	}
	end := rt.instant().Steady
	rt.took = end - at.Steady
	rt.meter.add(in, at.Steady, rt.took, rt.srv.OpenConns, rt.log)
	// Setting the timer wakes whoever waits for it, which costs system calls: it is
	// left alone while it is right. After a Tick it has fired and is to be set again.
	_, fired := in.(controller.Tick)
	if wake := rt.controller.Wake(); rt.timer != nil && (fired || wake != rt.wakeAt) {
		rt.wakeAt = wake
		rt.timer.Reset(max((wake - end).Duration(), time.Millisecond))
	}
}

func (rt *Runtime) logLine(e controller.Log) {
	switch e.Level {
	case controller.Debug:
		rt.log.Debug(e.Text, e.Args...)
	case controller.Info:
		rt.log.Info(e.Text, e.Args...)
	default:
		rt.log.Error(e.Text, e.Args...)
	}
}

// ask feeds a request that waits for an answer.
func (rt *Runtime) ask(r *server.Reply, make func(controller.ReplyID) controller.Input) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.nextID++
	in := make(rt.nextID)
	_, heartbeat := in.(controller.Heartbeat)
	rt.replies[rt.nextID] = waitingRequest{r, heartbeat}
	rt.stepLocked(in)
}

func (rt *Runtime) answer(a controller.Answer) {
	w, ok := rt.replies[a.Reply]
	if !ok {
		return
	}
	delete(rt.replies, a.Reply)
	out := server.Response{Status: a.Status, RetryAfterSeconds: a.RetryAfterS, CloseIfCrowded: w.heartbeat}
	var err error
	out.ContentType, out.Body, err = EncodeAnswer(a.Body)
	if err != nil {
		rt.log.Error("answer not encoded", "error", err)
		out = server.Response{Status: 503, RetryAfterSeconds: 1}
	}
	w.Send(out)
}

// handle routes a request.
func (rt *Runtime) handle(req server.Request) {
	r, msg := req.Reply(), &req.Message
	if req.Listener == 1 {
		req.ExemptFromEviction()
		rt.handlePeer(r, msg)
		return
	}
	only := func(method string) bool {
		if msg.Method != method {
			r.Send(server.Response{Status: 405})
			return false
		}
		return true
	}
	switch path := msg.Path; {
	case path == "/checkin":
		if !only("POST") {
			return
		}
		// Users find another node at once; a worker that is turned away from one after
		// the other loses its lease.
		req.ExemptFromEviction()
		heartbeat, err := rt.heartbeats.Parse(msg.Body)
		if err != nil {
			rt.log.Debug("heartbeat not readable", "error", err)
			r.Send(server.Response{Status: 400})
			return
		}
		rt.ask(r, func(id controller.ReplyID) controller.Input {
			return controller.Heartbeat{Reply: id, Heartbeat: heartbeat}
		})
	case path == "/ready":
		if only("GET") {
			rt.ask(r, func(id controller.ReplyID) controller.Input { return controller.ReadinessRequest{Reply: id} })
		}
	case path == "/submissions":
		if !only("POST") {
			return
		}
		sub, serr := wire.ParseSubmission(msg.Body)
		rt.ask(r, func(id controller.ReplyID) controller.Input {
			return controller.SubmitRequest{Reply: id, Job: sub, Err: serr}
		})
	case strings.HasPrefix(path, "/submissions/"):
		rest := path[len("/submissions/"):]
		if id, ok := strings.CutSuffix(rest, "/withdraw"); ok && !strings.Contains(id, "/") {
			if only("POST") {
				rt.ask(r, func(rid controller.ReplyID) controller.Input { return controller.CancelRequest{Reply: rid, ID: id} })
			}
			return
		}
		if strings.Contains(rest, "/") || rest == "" {
			r.Send(server.Response{Status: 404})
			return
		}
		if only("GET") {
			rt.ask(r, func(rid controller.ReplyID) controller.Input {
				return controller.JobStatusRequest{Reply: rid, ID: rest}
			})
		}
	default:
		r.Send(server.Response{Status: 404})
	}
}

func (rt *Runtime) handlePeer(r *server.Reply, msg *http1.Message) {
	if msg.Path != "/peer" {
		r.Send(server.Response{Status: 404})
		return
	}
	if msg.Method != "POST" {
		r.Send(server.Response{Status: 405})
		return
	}
	var req peer.Request
	if err := peer.Decode(msg.Body, &req); err != nil {
		rt.log.Debug("peer message not readable", "error", err)
		r.Send(server.Response{Status: 400})
		return
	}
	rt.ask(r, func(id controller.ReplyID) controller.Input { return controller.PeerRequest{Reply: id, Req: req} })
}

// call sends one request in the background and feeds its result back.
func (rt *Runtime) call(call controller.Call) {
	if rt.calls[call.To] >= rt.most[call.To] {
		go rt.step(controller.Result{ID: call.ID, NotSent: true})
		return
	}
	rt.calls[call.To]++
	go func() {
		res := rt.do(call)
		res.ID = call.ID
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.calls[call.To]--
		rt.stepLocked(res)
	}()
}

// do makes a call. Anything that is not a well-formed answer counts as none.
func (rt *Runtime) do(call controller.Call) controller.Result {
	out, err := rt.request(call)
	if err != nil {
		rt.log.Error("request not encoded", "error", err)
		return controller.Result{NotSent: true}
	}
	out.Timeout = call.Timeout.Duration()
	if len(out.Body) > 0 {
		out.ContentType = cborType
	}
	cl := rt.out
	if call.To == controller.ToWorker {
		cl = rt.workers
	}
	msg, err := cl.Do(rt.ctx, out)
	if err != nil {
		rt.log.Debug("no answer", "method", out.Method, "target", out.Target, "addr", out.Addr, "error", err)
		if errors.Is(err, http1.ErrBodyTooLarge) {
			return controller.Result{Status: controller.TooLarge}
		}
		if !errors.Is(err, client.ErrBusy) {
			cl.CloseIdle(out.Addr)
		}
		return controller.Result{NotSent: errors.Is(err, client.ErrNotSent)}
	}
	res, err := decode(call, msg)
	if err != nil {
		rt.log.Error("answer not readable", "method", out.Method, "target", out.Target, "status", msg.Status, "error", err)
		return controller.Result{}
	}
	return res
}

// request gives the HTTP form of a call.
func (rt *Runtime) request(call controller.Call) (client.Call, error) {
	encoded, err := EncodeCall(call)
	if err != nil {
		return client.Call{}, err
	}
	return client.Call{Addr: rt.address(call), Method: encoded.Method, Target: encoded.Target, Body: encoded.Body}, nil
}

// address is where a call is sent to.
func (rt *Runtime) address(call controller.Call) string {
	switch call.To {
	case controller.ToState:
		return rt.set.Endpoints.State
	case controller.ToCloud:
		return rt.set.Endpoints.Cloud
	case controller.ToPeer:
		return rt.peers[call.Addr]
	default:
		return call.Addr
	}
}

// decode reads an answer into the type that the controller expects for the request.
func decode(call controller.Call, msg http1.Message) (controller.Result, error) {
	res := controller.Result{Status: msg.Status}
	into := func(v any) (controller.Result, error) {
		if err := wire.Decode(msg.Body, v); err != nil {
			return controller.Result{}, err
		}
		res.Body = v
		return res, nil
	}
	if call.To == controller.ToPeer {
		if msg.Status != 200 {
			return res, nil
		}
		var resp peer.Response
		if err := peer.Decode(msg.Body, &resp); err != nil {
			return controller.Result{}, err
		}
		res.Body = &resp
		return res, nil
	}
	switch call.Req.(type) {
	case wire.Rental:
		if msg.Status == 503 {
			var e struct {
				Error string `cbor:"error"`
			}
			if wire.Decode(msg.Body, &e) == nil && e.Error == string(controller.RefusedRental) {
				res.Body = controller.RefusedRental
			}
			return res, nil
		}
	case wire.DirectCommand:
		if msg.Status == 409 {
			return into(&wire.Heartbeat{})
		}
	case wire.Txn:
		if msg.Status == 409 {
			return into(&wire.Revision{})
		}
	}
	if msg.Status != 200 {
		return res, nil
	}
	switch call.Req.(type) {
	case wire.Txn:
		return into(&wire.Revision{})
	case wire.NewLease:
		return into(&wire.Lease{})
	case controller.GetKey:
		return into(&wire.KeyValue{})
	case controller.ListKeys:
		return into(&wire.KeyList{})
	case controller.Watch:
		return into(&wire.Events{})
	case controller.GetTypes:
		return into(&wire.MachineTypes{})
	case controller.ListMachines:
		return into(&wire.MachineList{})
	case wire.Rental:
		return into(&wire.MachineNames{})
	case wire.DirectCommand, controller.GetHeartbeat:
		heartbeat, err := wire.ParseHeartbeat(msg.Body)
		if err != nil {
			return controller.Result{}, err
		}
		res.Body = &heartbeat
		return res, nil
	}
	return res, nil
}
