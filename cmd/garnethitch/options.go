package main

import (
	"os"

	"garnethitch/internal/config"
)

type optionsCommand struct {
	Schema optionsSchema `cmd:"" help:"Print the JSON Schema of the options file."`
}

type optionsSchema struct{}

// Run prints the JSON Schema of the options file.
func (optionsSchema) Run() error {
	_, err := os.Stdout.Write(config.OptionsSchema)
	return err
}
