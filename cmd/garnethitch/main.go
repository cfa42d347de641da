// Command garnethitch runs one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"garnethitch"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Config  string           `required:"" placeholder:"PATH" help:"Settings file of the platform (TOML)."`
	Options string           `placeholder:"PATH" env:"GARNETHITCH_OPTIONS" help:"Operators' own settings (YAML)."`
	Check   bool             `help:"Check the settings and stop, without starting."`
	Version kong.VersionFlag `help:"Print the version and stop."`
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	kong.Parse(&args,
		kong.Name("garnethitch"),
		kong.Description("A cluster scheduler that survives the loss of its controllers, machines and services."),
		kong.Vars{"version": garnethitch.Version})
	log := logger()
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: args.Config, OptionsPath: args.Options, Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, "garnethitch:", err)
		return 2
	}
	if args.Check {
		fmt.Println("settings are good")
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := controller.Run(ctx); err != nil {
		log.Error("ended", "error", err)
		return 1
	}
	return 0
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
