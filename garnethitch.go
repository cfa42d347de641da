// Package garnethitch is a cluster scheduler that survives the loss of its
// controllers, machines and services. A program embeds it with New and Run;
// cmd/garnethitch is such a program.
package garnethitch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"time"

	"garnethitch/internal/config"
	service "garnethitch/internal/runtime"
	"garnethitch/internal/tracing"
)

// Version is the version of the program.
const Version = "0.1.0"

const (
	// gcPercent makes collections rare: memory is plenty and a fraction of a core is not.
	// The memory limit makes them more frequent when memory runs short.
	gcPercent = 400
	// maxProcs is how many threads run at a time. On a fraction of a core a second
	// one would be woken by each event for nothing; docs/account.md has the counts.
	maxProcs = 1
	// traceCloseTimeout bounds the export of buffered spans at the end.
	traceCloseTimeout = time.Second

	bytesPerMiB = 1 << 20
)

// Config names the files and the log of a controller.
type Config struct {
	// SettingsPath names the platform's settings file (TOML).
	SettingsPath string
	// OptionsPath names the operators' file (YAML); empty for the defaults.
	OptionsPath string
	// Log receives the log; nil discards it.
	Log *slog.Logger
}

// Controller is one controller node, ready to run.
type Controller struct {
	rt       *service.Runtime
	settings config.Settings
	options  config.Options
	tracer   *tracing.Tracer // nil: no spans are exported
}

// New reads and checks the settings and options, and starts nothing yet.
func New(cfg Config) (*Controller, error) {
	settings, err := config.LoadSettings(cfg.SettingsPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	options, err := config.LoadOptions(cfg.OptionsPath)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	if err := options.BuildGroups(cfg.OptionsPath, settings); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	tracer, err := tracing.New(options.Trace, settings.Label)
	if err != nil {
		return nil, fmt.Errorf("options: %s: %w", cfg.OptionsPath, err)
	}
	log := cfg.Log
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	rt := service.New(settings, options, log, rand.Uint64()).WithTracer(tracer)
	return &Controller{rt: rt, settings: settings, options: options, tracer: tracer}, nil
}

// Run serves until ctx ends, when it returns nil, or until serving becomes impossible. It sets
// the memory limit, the rate of garbage collection and the number of running threads of the
// process.
func (c *Controller) Run(ctx context.Context) error {
	memoryLimit := c.settings.Cluster.Resources.RAMMB * c.options.MemoryShare * bytesPerMiB
	debug.SetMemoryLimit(int64(memoryLimit))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(maxProcs)
	err := c.rt.Run(ctx)
	closeCtx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
	defer cancel()
	return errors.Join(err, c.tracer.Close(closeCtx))
}
