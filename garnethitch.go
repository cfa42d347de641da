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

// Config says what to run.
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
	rt  *service.Runtime
	set config.Settings
	opt config.Options

	tracer *tracing.Tracer
}

// New reads and checks the settings.
func New(cfg Config) (*Controller, error) {
	set, err := config.LoadSettings(cfg.SettingsPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	opt, err := config.LoadOptions(cfg.OptionsPath)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	if err := opt.BuildGroups(cfg.OptionsPath, set); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	tracer, err := tracing.New(opt.Trace, set.Label)
	if err != nil {
		return nil, fmt.Errorf("options: %s: %w", cfg.OptionsPath, err)
	}
	log := cfg.Log
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return &Controller{rt: service.New(set, opt, log, rand.Uint64()).WithTracer(tracer), set: set, opt: opt, tracer: tracer}, nil
}

// Run serves until ctx ends or serving becomes impossible. It sets the
// process's memory limit and its number of running threads from the settings.
func (c *Controller) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(c.set.Cluster.Resources.RAMMB * c.opt.MemoryShare * (1 << 20)))
	// Memory is plenty and a fraction of a core is not: collect seldom. The limit
	// above makes it collect more often when memory runs short.
	debug.SetGCPercent(400)
	// Only one thread runs at a time, on a fraction of a core: with two, each event
	// wakes the other for nothing. docs/account.md has the counts.
	runtime.GOMAXPROCS(1)
	err := c.rt.Run(ctx)
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return errors.Join(err, c.tracer.Close(closing))
}
