// Package joblog merges the log lines of several controllers that concern one job: decisions
// about the job, events of the machines that ran its tasks, and changes in which controller was
// entitled to issue commands to these machines.
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
	Controller string                        // name of the controller
	Open       func() (io.ReadCloser, error) // called twice, since the log is read twice
}

// timeFormat is the layout in which the time of a line is printed.
const timeFormat = "15:04:05.000"

// field is a key-value pair of a line.
type field struct {
	key   string
	value string
}

// line is a parsed log line.
type line struct {
	at         time.Time
	controller string
	message    string
	fields     []field
}

// value returns the value of a key, or "" if the line does not contain the key.
func (l line) value(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// String returns the line in the output format.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.at.UTC().Format(timeFormat), l.controller, l.message)
	for _, f := range l.fields {
		fmt.Fprintf(&b, " %s=%s", f.key, f.value)
	}
	return b.String()
}

// Messages that concern a whole shard or a whole controller.
const (
	messageEntitlement = "shard entitlement"
	messageLeaseGrant  = "lease granted"
	messageLeaseLoss   = "lease lost, giving up all locks"
)

// Keys by which lines are selected.
const (
	keyJob     = "job"
	keyTask    = "task"
	keyMachine = "machine"
	keyShard   = "shard"
)

// filter selects the lines that are relevant to a job.
type filter struct {
	job         string
	onlyMachine string          // empty: all machines of the job
	machines    map[string]bool // machines named in lines about the job
	shards      map[string]bool // shards named in lines about the job
}

// aboutJob reports whether the line is about the job itself or one of its tasks.
func (f *filter) aboutJob(l line) bool {
	return l.value(keyJob) == f.job || strings.HasPrefix(l.value(keyTask), f.job+"/")
}

// collectRelated adds the machine and the shard named in a line about the job to the filter.
// It ignores lines that are not about the job.
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

// matches reports whether the line is relevant to the job. collectRelated must have been called
// with all lines of all logs before.
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

// Write writes the lines that are relevant to a job, ordered by time. If machine is not empty,
// lines about the job's other machines are omitted.
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
			return fmt.Errorf("timeline of %s: %w", job, err)
		}
	}
	return nil
}

// selectLines returns the lines that are relevant to a job. It reads the logs twice, because
// lines about a machine may precede the first line that links the machine to the job.
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

// forEachLine calls visit for each line of a log that has a time. Lines without a time were not
// written by a controller.
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

// setField stores the value of a key: the time, the message or a further field. The level is
// ignored. A time that cannot be parsed leaves the line's time zero.
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
