// Package runtime connects the controller, which performs no I/O, to the network and the clock.
// It passes requests, the results of calls and the passing of time to the controller, and
// executes the effects that the controller returns: answers, calls, log lines and spans.
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

// Limits and times that do not depend on the settings.
const (
	maxBodyBytes        = 64 << 10 // the protocol's limit for request bodies and workers' responses
	serviceIdleConns    = 8        // idle connections kept per address of a service or controller
	serviceIdleTimeout  = 20 * time.Second
	workerIdleConns     = 1           // idle connections kept per worker
	workerIdleTimeout   = time.Minute // about as long as a task runs
	dialTimeout         = 700 * time.Millisecond
	requestTimeout      = 10 * time.Second // maximum time from the first byte of a request to its last
	connSweepInterval   = 10 * time.Second
	firstTimerInterval  = time.Hour // replaced in the first step
	minTimerInterval    = time.Millisecond
	monotonicClockStart = micros.Second // first reading of the monotonic clock; 0 means "never"
	encodingErrorRetryS = 1             // Retry-After, in seconds, if a response cannot be encoded
)

// Listeners of the server, as indexes into server.Config.Addrs.
const (
	publicListener   server.Listener = iota // users and workers
	internalListener                        // other controllers and the command line
)

// Runtime is one running controller.
type Runtime struct {
	settings  config.Settings
	log       *slog.Logger
	startedAt time.Time // when the monotonic clock read monotonicClockStart

	mu               sync.Mutex // guards the fields from controller to timer
	controller       *controller.Controller
	wakeAt           micros.Micros // the time for which timer is set
	lastStepDuration micros.Micros // duration of the latest step with its effects
	meter            meter
	waitingRequests  map[controller.ReplyID]waitingRequest
	nextID           controller.ReplyID
	limits           callLimits
	timer            *time.Timer

	srv        *server.Server
	heartbeats *wire.HeartbeatReader // used on the goroutine of the server's event loop only
	services   *client.Client        // calls to the state service, the cloud and other controllers
	workers    *client.Client        // calls to workers
	peers      map[string]string     // internal addresses of the other controllers, by label
	ctx        context.Context       // ends all calls; set by Run
	tracer     *tracing.Tracer       // nil: spans are not exported
}

// New returns a Runtime for a controller that takes its random numbers from seed. It does not
// start the controller; see Run.
func New(settings config.Settings, opt config.Options, log *slog.Logger, seed uint64) *Runtime {
	cfg := ControllerConfig(settings, opt)
	cfg.LogHeartbeats = log != nil && log.Enabled(context.Background(), slog.LevelDebug)
	sizes := SizesOf(settings)
	rt := &Runtime{
		settings:        settings,
		log:             log,
		startedAt:       time.Now(),
		controller:      controller.New(cfg, seed),
		waitingRequests: map[controller.ReplyID]waitingRequest{},
		limits:          newCallLimits(sizes),
		heartbeats:      wire.NewHeartbeatReader(sizes.TaskListBytes),
		services:        newServiceClient(sizes),
		workers:         newWorkerClient(sizes),
		peers:           peerAddresses(settings.Seeds),
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

// WithTracer makes rt export spans through t, and returns rt.
func (rt *Runtime) WithTracer(t *tracing.Tracer) *Runtime {
	rt.tracer = t
	return rt
}

// Run runs the controller until ctx is done. The errors are those of server.Server.Run.
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

// closeExpiredConns closes outbound connections that have been idle for too long, until ctx is
// done.
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

// instant returns the current readings of the monotonic clock and the time of day.
func (rt *Runtime) instant() controller.Instant {
	now := time.Now()
	return controller.Instant{
		Monotonic: micros.FromDuration(now.Sub(rt.startedAt)) + monotonicClockStart,
		Wall:      micros.Micros(now.UnixMicro()),
	}
}

// step passes one input to the controller and executes the effects. The clock is read while the
// lock is held, so that a process that was suspended while it waited for the lock does not act on
// an old reading.
func (rt *Runtime) step(in controller.Input) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.stepLocked(in)
}

// stepLocked is step for callers that hold rt.mu.
func (rt *Runtime) stepLocked(in controller.Input) {
	at := rt.instant()
	at.PreviousStepDuration = rt.lastStepDuration
	for _, effect := range rt.controller.Step(at, in) {
		rt.execute(effect)
	}
	end := rt.instant().Monotonic
	rt.lastStepDuration = end - at.Monotonic
	rt.meter.add(in, at.Monotonic, rt.lastStepDuration, rt.srv.OpenConns, rt.log)
	_, timerFired := in.(controller.Tick)
	rt.setTimer(end, timerFired)
}

// execute executes an effect that the controller has returned.
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

// setTimer sets the timer to the time at which the controller wants its next Tick. Resetting a
// timer wakes the thread that waits for it, which costs system calls. setTimer therefore does not
// reset a timer that has not fired and is set to the right time.
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
