package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"garnethitch/internal/joblog"
)

type timelineCommand struct {
	Job     string   `arg:"" help:"The job, such as job-000412."`
	Machine string   `placeholder:"NAME" help:"Only what concerns this one of the job's machines."`
	Logs    []string `arg:"" type:"existingfile" help:"Log files, one for each controller; a file's name is taken for the controller's."`
}

// Run prints the log lines about a job, merged from the logs of several controllers.
func (t *timelineCommand) Run() error {
	var logs []joblog.Log
	for _, path := range t.Logs {
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		open := func() (io.ReadCloser, error) { return os.Open(path) }
		logs = append(logs, joblog.Log{Controller: name, Open: open})
	}
	return joblog.Write(os.Stdout, t.Job, t.Machine, logs)
}
