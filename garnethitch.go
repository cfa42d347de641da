// Package garnethitch is a cluster scheduler that survives the loss of its
// controllers, machines and services. Programs embed a controller with New and
// Run; cmd/garnethitch is an example.
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
	// gcPercent is the garbage collector's GOGC value. A high value makes collections rare,
	// which saves processor time: the controller has ample memory but only a fraction of a
	// core. The memory limit makes collections more frequent when memory runs short.
	gcPercent = 400
	// maxProcs is the value of GOMAXPROCS. On a fraction of a core a second thread would be
	// woken by each event without any benefit; docs/account.md has the counts.
	maxProcs = 1
	// traceCloseTimeout limits the export of buffered spans at shutdown.
	traceCloseTimeout = time.Second

	bytesPerMiB = 1 << 20
)

// Config holds the file paths and the logger of a controller.
type Config struct {
	// SettingsPath is the path of the platform's settings file (TOML).
	SettingsPath string
	// OptionsPath is the path of the operators' options file (YAML). Empty: the defaults apply.
	OptionsPath string
	// Log is the logger. nil discards all log lines.
	Log *slog.Logger
}

// Controller is one controller node. Create it with New.
type Controller struct {
	rt       *service.Runtime
	settings config.Settings
	options  config.Options
	tracer   *tracing.Tracer // nil: no spans are exported
}

// New reads and validates the settings and options and returns a controller that is not yet
// running. Errors name the file.
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

// Run runs the controller until ctx ends, and then returns nil, or until the controller cannot
// continue, and then returns the error. It sets the process-wide memory limit, GOGC value and
// GOMAXPROCS.
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
