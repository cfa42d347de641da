// Package joblog merges what the logs of several controllers hold about one job: the
// decisions about it, the machines that had its tasks, and which controller might issue
// commands to these.
package joblog

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Log is the log of one controller.
type Log struct {
	Controller string                        // its name
	Open       func() (io.ReadCloser, error) // called twice
}

// timeFormat is the form in which a line's time is printed.
const timeFormat = "15:04:05.000"

// field is a key of a line with its value.
type field struct {
	key   string
	value string
}

// line is a line of a log.
type line struct {
	at         time.Time
	controller string
	message    string
	fields     []field
}

// value returns the value of a key, or "" if the line does not have it.
func (l line) value(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// String returns the line as it is printed.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.at.UTC().Format(timeFormat), l.controller, l.message)
	for _, f := range l.fields {
		fmt.Fprintf(&b, " %s=%s", f.key, f.value)
	}
	return b.String()
}

// Messages that belong to a shard or to a whole controller.
const (
	messageEntitlement = "shard entitlement"
	messageLeaseGrant  = "lease granted"
	messageLeaseLoss   = "lease lost, giving up all locks"
)

// Keys of a line that select it.
const (
	keyJob     = "job"
	keyTask    = "task"
	keyMachine = "machine"
	keyShard   = "shard"
)

// filter selects the lines that matter to a job.
type filter struct {
	job         string
	onlyMachine string          // empty: all of the job's
	machines    map[string]bool // that the job's lines name
	shards      map[string]bool // that the job's lines name
}

// aboutJob reports whether the line is about the job itself or one of its tasks.
func (f *filter) aboutJob(l line) bool {
	return l.value(keyJob) == f.job || strings.HasPrefix(l.value(keyTask), f.job+"/")
}

// collectRelated adds the machine and the shard of a line about the job.
func (f *filter) collectRelated(l line) {
	if !f.aboutJob(l) {
		return
	}
	if machine := l.value(keyMachine); machine != "" {
		f.machines[machine] = true
	}
	if shard := l.value(keyShard); shard != "" {
		f.shards[shard] = true
	}
}

// matches reports whether the line matters to the job. Every line must have been learned
// before.
func (f *filter) matches(l line) bool {
	switch l.message {
	case messageEntitlement:
		return f.shards[l.value(keyShard)]
	case messageLeaseGrant, messageLeaseLoss:
		return true
	}
	machine := l.value(keyMachine)
	if f.onlyMachine != "" && machine != "" && machine != f.onlyMachine {
		return false
	}
	if f.aboutJob(l) {
		return true
	}
	aboutOtherJob := l.value(keyTask) != "" || l.value(keyJob) != ""
	return f.machines[machine] && !aboutOtherJob
}

// Write writes the lines that matter to a job in order of time. If a machine is named, lines
// about the job's other machines are left out.
func Write(out io.Writer, job, machine string, logs []Log) error {
	lines, err := selectLines(job, machine, logs)
	if err != nil {
		return err
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.controller, b.controller))
	})
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return fmt.Errorf("course of %s: %w", job, err)
		}
	}
	return nil
}

// selectLines reads the logs twice: a line may name a machine of the job only after others
// that are about the machine.
func selectLines(job, machine string, logs []Log) (selected []line, err error) {
	f := &filter{job: job, onlyMachine: machine, machines: map[string]bool{}, shards: map[string]bool{}}
	for _, log := range logs {
		if err := forEachLine(log, f.collectRelated); err != nil {
			return nil, err
		}
	}
	for _, log := range logs {
		err := forEachLine(log, func(l line) {
			if f.matches(l) {
				selected = append(selected, l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return selected, nil
}

// forEachLine calls each for the lines of a log that have a time. Others are not a controller's.
func forEachLine(log Log, visit func(line)) error {
	in, err := log.Open()
	if err != nil {
		return fmt.Errorf("log of %s: %w", log.Controller, err)
	}
	defer in.Close()
	dec := logfmt.NewDecoder(in)
	for dec.ScanRecord() {
		l := line{controller: log.Controller}
		for dec.ScanKeyval() {
			l.setField(string(dec.Key()), string(dec.Value()))
		}
		if !l.at.IsZero() {
			visit(l)
		}
	}
	if err := dec.Err(); err != nil {
		return fmt.Errorf("log of %s: %w", log.Controller, err)
	}
	return nil
}

// setField sets what a key of the log stands for. A time that cannot be read is left zero.
func (l *line) setField(key, value string) {
	switch key {
	case slog.TimeKey:
		l.at, _ = time.Parse(time.RFC3339Nano, value)
	case slog.MessageKey:
		l.message = value
	case slog.LevelKey:
	default:
		l.fields = append(l.fields, field{key: key, value: value})
	}
}
