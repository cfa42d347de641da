// Package joblog puts the course of one job together from the logs of several
// controllers: what was decided about the job, the machines that held its tasks, and who
// was entitled to command these.
package joblog

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Log is the log of one controller. Open is called twice.
type Log struct {
	Controller string
	Open       func() (io.ReadCloser, error)
}

// field is one key with its value.
type field struct{ key, value string }

// line is a line of a log.
type line struct {
	at         time.Time
	controller string
	message    string
	fields     []field
}

func (l line) value(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// String gives the line as it is printed.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.at.UTC().Format("15:04:05.000"), l.controller, l.message)
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

// subjects are the machines and the shards that a job has to do with.
type subjects struct {
	job      string
	machine  string // only this one; empty: all
	machines map[string]bool
	shards   map[string]bool
}

// names: the line is about the job itself.
func (s *subjects) names(l line) bool {
	task := l.value("task")
	return l.value("job") == s.job || strings.HasPrefix(task, s.job+"/")
}

// note takes the machine and the shard of a line about the job.
func (s *subjects) note(l line) {
	if !s.names(l) {
		return
	}
	if m := l.value("machine"); m != "" {
		s.machines[m] = true
	}
	if shard := l.value("shard"); shard != "" {
		s.shards[shard] = true
	}
}

// concerns: the line belongs to the job's course.
func (s *subjects) concerns(l line) bool {
	switch l.message {
	case messageEntitlement:
		return s.shards[l.value("shard")]
	case messageLeaseGrant, messageLeaseLoss:
		return true
	}
	if m := l.value("machine"); s.machine != "" && m != "" && m != s.machine {
		return false
	}
	if s.names(l) {
		return true
	}
	// Another job's task on the same machine is not of interest.
	return s.machines[l.value("machine")] && l.value("task") == "" && l.value("job") == ""
}

// Write writes the course of a job in order of time; where a machine is named, only what
// concerns that one of the job's machines.
func Write(out io.Writer, job, machine string, logs []Log) error {
	s := &subjects{job: job, machine: machine, machines: map[string]bool{}, shards: map[string]bool{}}
	for _, log := range logs {
		if err := read(log, s.note); err != nil {
			return err
		}
	}
	var course []line
	for _, log := range logs {
		err := read(log, func(l line) {
			if s.concerns(l) {
				course = append(course, l)
			}
		})
		if err != nil {
			return err
		}
	}
	slices.SortStableFunc(course, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.controller, b.controller))
	})
	for _, l := range course {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return fmt.Errorf("course of %s: %w", job, err)
		}
	}
	return nil
}

// read gives the lines of a log; what is not a line of a controller is passed over.
func read(log Log, each func(line)) error {
	in, err := log.Open()
	if err != nil {
		return fmt.Errorf("log of %s: %w", log.Controller, err)
	}
	defer in.Close()
	dec := logfmt.NewDecoder(in)
	for dec.ScanRecord() {
		l := line{controller: log.Controller}
		for dec.ScanKeyval() {
			key, value := string(dec.Key()), string(dec.Value())
			switch key {
			case "time":
				l.at, _ = time.Parse(time.RFC3339Nano, value)
			case "msg":
				l.message = value
			case "level":
			default:
				l.fields = append(l.fields, field{key, value})
			}
		}
		if !l.at.IsZero() {
			each(l)
		}
	}
	if err := dec.Err(); err != nil {
		return fmt.Errorf("log of %s: %w", log.Controller, err)
	}
	return nil
}
