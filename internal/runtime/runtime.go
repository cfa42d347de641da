// Package runtime carries out what the controller decides: it feeds requests, results
// and time into the controller, sends its calls, writes its answers and logs.
package runtime

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"garnethitch/internal/client"
	"garnethitch/internal/config"
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/server"
	"garnethitch/internal/tracing"
	"garnethitch/internal/wire"
)

// Limits of the services that do not depend on the settings.
const (
	maxBodyBytes        = 64 << 10 // protocol: the limit for request bodies and workers' answers
	serviceIdleConns    = 8        // kept per address of a service or controller
	serviceIdleTimeout  = 20 * time.Second
	workerIdleConns     = 1           // kept per worker
	workerIdleTimeout   = time.Minute // about as long as a task runs
	dialTimeout         = 700 * time.Millisecond
	requestTimeout      = 10 * time.Second // within which a request must arrive whole
	connSweepInterval   = 10 * time.Second
	firstTimerInterval  = time.Hour // replaced in the first step
	minTimerInterval    = time.Millisecond
	steadyClockStart    = micros.Second // of the steady clock: 0 stands for "never"
	encodingErrorRetryS = 1             // seconds in Retry-After
)

// Listeners, in the order of their addresses in the server's Config.
const (
	publicListener   server.Listener = iota // users and workers
	internalListener                        // other controllers and the command line
)

// Runtime is one running controller.
type Runtime struct {
	settings config.Settings
	log      *slog.Logger
	start    time.Time // zero of the steady clock, but for steadyClockStart

	mu               sync.Mutex // guards what follows, down to timer
	controller       *controller.Controller
	wakeAt           micros.Micros // what the timer is set to
	lastStepDuration micros.Micros
	meter            meter
	replies          map[controller.ReplyID]waitingRequest
	nextID           controller.ReplyID
	limits           callLimits
	timer            *time.Timer

	srv        *server.Server
	heartbeats *wire.HeartbeatReader // used on the serving goroutine only
	services   *client.Client        // calls to the state service, the cloud and controllers
	workers    *client.Client
	peers      map[string]string // addresses by label
	ctx        context.Context
	tracer     *tracing.Tracer // nil: spans are not wanted
}

// New prepares a controller that draws its random numbers from seed.
func New(settings config.Settings, opt config.Options, log *slog.Logger, seed uint64) *Runtime {
	cfg := ControllerConfig(settings, opt)
	cfg.LogHeartbeats = log != nil && log.Enabled(context.Background(), slog.LevelDebug)
	sizes := SizesOf(settings)
	rt := &Runtime{
		settings:   settings,
		log:        log,
		start:      time.Now(),
		controller: controller.New(cfg, seed),
		replies:    map[controller.ReplyID]waitingRequest{},
		limits:     newCallLimits(sizes),
		heartbeats: wire.NewHeartbeatReader(sizes.TaskListBytes),
		services:   newServiceClient(sizes),
		workers:    newWorkerClient(sizes),
		peers:      peerAddresses(settings.Seeds),
	}
	rt.srv = server.New(rt.serverConfig(sizes))
	return rt
}

func newServiceClient(sizes Sizes) *client.Client {
	return client.New(client.Config{
		MaxIdle:      serviceIdleConns,
		MaxConns:     sizes.ServiceConns,
		MaxBodyBytes: sizes.StateBodyBytes,
		IdleTimeout:  serviceIdleTimeout,
		DialTimeout:  dialTimeout,
	})
}

func newWorkerClient(sizes Sizes) *client.Client {
	return client.New(client.Config{
		MaxIdle:      workerIdleConns,
		MaxConns:     sizes.WorkerConns,
		MaxBodyBytes: maxBodyBytes,
		IdleTimeout:  workerIdleTimeout,
		DialTimeout:  dialTimeout,
	})
}

func peerAddresses(seeds []config.Seed) map[string]string {
	addresses := make(map[string]string, len(seeds))
	for _, seed := range seeds {
		addresses[seed.Label] = seed.Address
	}
	return addresses
}

func (rt *Runtime) serverConfig(sizes Sizes) server.Config {
	return server.Config{
		Addrs:            []string{publicListener: rt.settings.ServeOn, internalListener: rt.settings.InternalAddr},
		MaxBodyBytes:     []int{publicListener: maxBodyBytes, internalListener: peer.MaxMessage},
		MaxConns:         sizes.ServedConns,
		MaxBufferedBytes: sizes.BufferedBytes,
		RequestTimeout:   requestTimeout,
		IdleTimeout:      sizes.IdleTimeout,
		Log:              rt.log,
		Now:              time.Now,
		Handler:          rt.handle,
	}
}

// WithTracer has spans exported, and returns rt.
func (rt *Runtime) WithTracer(t *tracing.Tracer) *Runtime {
	rt.tracer = t
	return rt
}

// Run serves until ctx ends.
func (rt *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rt.ctx = ctx
	rt.mu.Lock()
	rt.timer = time.AfterFunc(firstTimerInterval, func() { rt.step(controller.Tick{}) })
	rt.mu.Unlock()
	defer rt.timer.Stop()
	rt.step(controller.Tick{})
	go rt.closeExpiredConns(ctx)
	return rt.srv.Run(ctx)
}

// closeExpiredConns closes outbound connections that were idle for too long, until ctx ends.
func (rt *Runtime) closeExpiredConns(ctx context.Context) {
	ticker := time.NewTicker(connSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			rt.services.CloseExpired()
			rt.workers.CloseExpired()
		}
	}
}

// instant reads the steady clock and the time of day.
func (rt *Runtime) instant() controller.Instant {
	now := time.Now()
	return controller.Instant{
		Steady: micros.FromDuration(now.Sub(rt.start)) + steadyClockStart,
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
	at.Took = rt.lastStepDuration
	for _, effect := range rt.controller.Step(at, in) {
		rt.execute(effect)
	}
	end := rt.instant().Steady
	rt.lastStepDuration = end - at.Steady
	rt.meter.add(in, at.Steady, rt.lastStepDuration, rt.srv.OpenConns, rt.log)
	_, timerFired := in.(controller.Tick)
	rt.setTimer(end, timerFired)
}

// execute does what the controller has decided.
func (rt *Runtime) execute(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.Answer:
		rt.answer(effect)
	case controller.Call:
		rt.startCall(effect)
	case controller.Log:
		rt.logLine(effect)
	case controller.Span:
		if rt.tracer != nil {
			rt.tracer.Export(effect)
		}
	}
}

// setTimer sets the timer to when the controller wants its next Tick. Setting it wakes
// whoever waits for it, which costs system calls: a timer that has not fired and is right
// is left alone.
func (rt *Runtime) setTimer(now micros.Micros, fired bool) {
	wake := rt.controller.Wake()
	if rt.timer == nil || !fired && wake == rt.wakeAt {
		return
	}
	rt.wakeAt = wake
	rt.timer.Reset(max((wake - now).Duration(), minTimerInterval))
}

func (rt *Runtime) logLine(line controller.Log) {
	switch line.Level {
	case controller.Debug:
		rt.log.Debug(line.Text, line.Args...)
	case controller.Info:
		rt.log.Info(line.Text, line.Args...)
	default:
		rt.log.Error(line.Text, line.Args...)
	}
}
