// Command garnethitch runs one controller of the cluster scheduler, and asks running ones.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"garnethitch"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Quota    quotaCommand     `cmd:"" help:"Show and set limits of groups."`
	Options  optionsCommand   `cmd:"" help:"Tell about the operators' options."`
	Timeline timelineCommand  `cmd:"" help:"Put the course of a job together from the logs of several controllers."`
	Version  kong.VersionFlag `help:"Print the version and stop."`
}

type runCommand struct {
	Config  string `required:"" placeholder:"PATH" help:"Settings file of the platform (TOML)."`
	Options string `placeholder:"PATH" env:"GARNETHITCH_OPTIONS" help:"Operators' own settings (YAML)."`
	Check   bool   `help:"Check the settings and stop, without starting."`
}

// exitError ends the program with a status of its own. Without an err it has been told of
// already.
type exitError struct {
	status int
	err    error
}

func (e exitError) Error() string { return fmt.Sprint(e.err) }

// Statuses of the program.
const (
	failed   = 1
	badInput = 2 // settings, options or arguments can't be used
)

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	ctx := kong.Parse(&args,
		kong.Name("garnethitch"),
		kong.Description("A cluster scheduler that survives the loss of its controllers, machines and services."),
		kong.Vars{"version": garnethitch.Version})
	err := ctx.Run()
	if err == nil {
		return 0
	}
	exit := exitError{failed, err}
	errors.As(err, &exit)
	if exit.err != nil {
		fmt.Fprintln(os.Stderr, "garnethitch:", err)
	}
	return exit.status
}

// Run runs a controller.
func (r *runCommand) Run() error {
	log := logger()
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: r.Config, OptionsPath: r.Options, Log: log})
	if err != nil {
		return exitError{badInput, err}
	}
	if r.Check {
		fmt.Println("settings are good")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := controller.Run(ctx); err != nil {
		log.Error("ended", "error", err)
		return exitError{status: failed}
	}
	return nil
}

// logger writes to standard error, as much as LOG_LEVEL asks for.
func logger() *slog.Logger {
	level, unknown := slog.LevelInfo, ""
	switch word := os.Getenv("LOG_LEVEL"); word {
	case "error":
		level = slog.LevelError
	case "info", "":
	case "debug":
		level = slog.LevelDebug
	default:
		unknown = word
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if unknown != "" {
		log.Warn("LOG_LEVEL unknown, using info", "value", unknown)
	}
	return log
}
