package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"garnethitch/internal/admin"
	"garnethitch/internal/config"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

type quotaCommand struct {
	Show quotaShow `cmd:"" help:"Show all groups: limits, allowances, use, and what holds a limit up."`
	Set  quotaSet  `cmd:"" help:"Set a group's limit by hand, until it is cleared."`
}

// controllerFlags select the controller that receives a request.
type controllerFlags struct {
	Config  string `placeholder:"PATH" help:"Settings file of the controller to ask (TOML)."`
	Address string `placeholder:"HOST:PORT" help:"Internal address of the controller to ask, in place of --config."`
}

var errNoController = errors.New("address: want --config or --address")

// resolve returns the internal address of the controller. It also returns the controller's
// settings if --config is given, otherwise zero settings. --address overrides the address in
// the settings.
func (f controllerFlags) resolve() (addr string, settings config.Settings, err error) {
	if f.Config == "" && f.Address == "" {
		return "", config.Settings{}, errNoController
	}
	if f.Config == "" {
		return f.Address, config.Settings{}, nil
	}
	settings, err = config.LoadSettings(f.Config)
	if err != nil {
		return "", settings, err
	}
	if f.Address != "" {
		return f.Address, settings, nil
	}
	return settings.InternalAddr, settings, nil
}

type quotaShow struct {
	controllerFlags
	JSON bool `name:"json" help:"Write JSON."`
}

// Run prints the state of all groups as reported by the selected controller.
func (q *quotaShow) Run() error {
	addr, _, err := q.resolve()
	if err != nil {
		return exitError{exitBadInput, err}
	}
	resp, err := admin.RequestQuota(context.Background(), addr, peer.QuotaRequest{})
	if err != nil {
		return err
	}
	if q.JSON {
		return admin.WriteJSON(os.Stdout, resp)
	}
	return admin.WriteTable(os.Stdout, resp)
}

type quotaSet struct {
	controllerFlags
	Group   string   `arg:"" help:"The group."`
	CPUs    *float64 `name:"cpus" help:"The new limit in CPUs."`
	GPUs    *float64 `name:"gpus" help:"The new limit in GPUs."`
	Clear   bool     `help:"What the options say counts again."`
	Options string   `placeholder:"PATH" env:"GARNETHITCH_OPTIONS" help:"The controllers' options (YAML), to check the group by."`
}

// Run asks the selected controller to announce the new limit, or to clear the one that was
// set by an operator.
func (q *quotaSet) Run() error {
	addr, settings, err := q.resolve()
	if err != nil {
		return exitError{exitBadInput, err}
	}
	set := peer.SetLimit{Group: q.Group, Limit: quota.Limit{CPUs: q.CPUs, GPUs: q.GPUs}, Clear: q.Clear}
	if err := admin.CheckSetLimit(set, q.Options, settings); err != nil {
		return exitError{exitBadInput, err}
	}
	resp, err := admin.RequestQuota(context.Background(), addr, peer.QuotaRequest{Set: &set})
	if err != nil {
		return err
	}
	fmt.Printf("announced as epoch %d; \"garnethitch quota show\" shows when it is in force\n", resp.Epoch)
	return nil
}
