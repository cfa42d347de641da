// Command garnethitch runs a controller of the cluster scheduler. Its other subcommands show
// and set limits of groups, print the schema of the options file and merge controller logs.
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

// Exit statuses. kong exits with other statuses for arguments that it cannot parse.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2 // settings, options or arguments are invalid
)

// exitError is an error that determines the exit status of the program. A nil err means that
// the failure has already been logged.
type exitError struct {
	status int
	err    error
}

// Error returns the message of the underlying error.
func (e exitError) Error() string { return fmt.Sprint(e.err) }

func main() { os.Exit(run()) }

// run executes the command line and returns the exit status.
func run() int {
	var args arguments
	ctx := kong.Parse(&args,
		kong.Name("garnethitch"),
		kong.Description("A cluster scheduler that survives the loss of its controllers, machines and services."),
		kong.Vars{"version": garnethitch.Version})
	err := ctx.Run()
	if err == nil {
		return exitOK
	}
	exit := exitError{exitFailure, err}
	errors.As(err, &exit)
	if exit.err != nil {
		fmt.Fprintln(os.Stderr, "garnethitch:", err)
	}
	return exit.status
}

// Run runs a controller until the process receives SIGINT or SIGTERM. With --check it only
// validates the settings and options.
func (r *runCommand) Run() error {
	log := newLogger()
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: r.Config, OptionsPath: r.Options, Log: log})
	if err != nil {
		return exitError{exitBadInput, err}
	}
	if r.Check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := controller.Run(ctx); err != nil {
		log.Error("ended", "error", err)
		return exitError{status: exitFailure}
	}
	return nil
}

// newLogger returns a logger that writes to standard error at the level given by the environment
// variable LOG_LEVEL. An unknown level is logged and replaced by info.
func newLogger() *slog.Logger {
	name := os.Getenv("LOG_LEVEL")
	level, known := logLevel(name)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if !known {
		log.Warn("LOG_LEVEL unknown, using info", "value", name)
	}
	return log
}

// logLevel returns the level with the given name, and slog.LevelInfo for an unknown name.
func logLevel(name string) (level slog.Level, known bool) {
	switch name {
	case "error":
		return slog.LevelError, true
	case "info", "":
		return slog.LevelInfo, true
	case "debug":
		return slog.LevelDebug, true
	}
	return slog.LevelInfo, false
}
