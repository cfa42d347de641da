package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// Submission is a job as its user describes it, checked.
type Submission struct {
	ID          string   `cbor:"nameId"`
	Class       string   `cbor:"herd"`
	Team        string   `cbor:"crew"`
	Kind        string   `cbor:"gait"`
	Priority    string   `cbor:"rank"`
	Tasks       int      `cbor:"loads"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	MemGB       float64  `cbor:"memGb"`
	Image       string   `cbor:"tack"`
	ImageGB     float64  `cbor:"sizeGb"`
	Types       []string `cbor:"breeds"` // nil: any
	Zone        string   `cbor:"paddock,omitempty"`
	SameZone    bool     `cbor:"oneZone"`
	Spread      bool     `cbor:"apart"`
	Spot        bool     `cbor:"strays"`
	EstimateS   float64  `cbor:"haulS"`
	CheckpointS float64  `cbor:"restS"`
	SaveS       float64  `cbor:"stowS"`
	DeadlineS   *float64 `cbor:"dueS"`
	// DependsOn are the jobs that have to be done before a task of this one starts,
	// each named once.
	DependsOn []string `cbor:"follows,omitempty"`
}

// rawSubmission tells a missing or null field from a zero one.
type rawSubmission struct {
	ID          *string   `cbor:"nameId"`
	Class       *string   `cbor:"herd"`
	Team        *string   `cbor:"crew"`
	Kind        *string   `cbor:"gait"`
	Priority    *string   `cbor:"rank"`
	Tasks       *int64    `cbor:"loads"`
	CPUs        *float64  `cbor:"cpus"`
	GPUs        *float64  `cbor:"gpus"`
	MemGB       *float64  `cbor:"memGb"`
	Image       *string   `cbor:"tack"`
	ImageGB     *float64  `cbor:"sizeGb"`
	Types       *[]string `cbor:"breeds"`
	Zone        *string   `cbor:"paddock"`
	SameZone    *bool     `cbor:"oneZone"`
	Spread      *bool     `cbor:"apart"`
	Spot        *bool     `cbor:"strays"`
	EstimateS   *float64  `cbor:"haulS"`
	CheckpointS *float64  `cbor:"restS"`
	SaveS       *float64  `cbor:"stowS"`
	DeadlineS   *float64  `cbor:"dueS"`
	DependsOn   *[]string `cbor:"follows"`
}

// SubmissionError says what is wrong with a submission. ID is set when the
// body still named a job properly.
type SubmissionError struct {
	ID, Reason string
}

func (e *SubmissionError) Error() string { return "submission: " + e.Reason }

// ValidID tells whether an id has the protocol's form: "job-" and digits, at
// least six of them.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// ParseSubmission decodes and checks the body of a submission.
func ParseSubmission(body []byte) (Submission, *SubmissionError) {
	var s Submission
	var raw rawSubmission
	if err := Decode(body, &raw); err != nil {
		return s, &SubmissionError{ID: idOfMalformed(body), Reason: err.Error()}
	}
	p := &parse{}
	s.ID = text(p, "id", raw.ID)
	if p.reason == "" && !ValidID(s.ID) {
		return s, &SubmissionError{Reason: "id is of another form"}
	}
	s.Class = text(p, "class", raw.Class)
	s.Team = text(p, "team", raw.Team)
	s.Kind = text(p, "kind", raw.Kind)
	s.Priority = text(p, "priority", raw.Priority)
	s.Image = text(p, "image", raw.Image)
	s.CPUs = amount(p, "cpus", raw.CPUs)
	s.GPUs = amount(p, "gpus", raw.GPUs)
	s.MemGB = amount(p, "memory", raw.MemGB)
	s.ImageGB = amount(p, "image size", raw.ImageGB)
	s.EstimateS = amount(p, "estimate", raw.EstimateS)
	s.CheckpointS = amount(p, "checkpoint interval", raw.CheckpointS)
	s.SaveS = amount(p, "save time", raw.SaveS)
	s.SameZone = flag(p, "one zone", raw.SameZone)
	s.Spread = flag(p, "apart", raw.Spread)
	s.Spot = flag(p, "spot", raw.Spot)
	if raw.Tasks == nil {
		p.fail("tasks missing")
	} else if *raw.Tasks < 1 || *raw.Tasks > MaxTasks {
		p.fail("number of tasks out of range")
	} else {
		s.Tasks = int(*raw.Tasks)
	}
	if s.Kind != "sweep" {
		p.fail("unknown kind of job")
	}
	if _, ok := PriorityOf(s.Priority); !ok {
		p.fail("unknown priority")
	}
	if raw.DeadlineS != nil {
		d := amount(p, "deadline", raw.DeadlineS)
		s.DeadlineS = &d
	}
	if raw.Zone != nil {
		s.Zone = text(p, "zone", raw.Zone)
	}
	if raw.Types != nil {
		s.Types = parseTypes(p, *raw.Types)
	}
	if raw.DependsOn != nil {
		s.DependsOn = parseDependencies(p, *raw.DependsOn)
	}
	if p.reason != "" {
		id := s.ID
		if !ValidID(id) {
			id = ""
		}
		return s, &SubmissionError{ID: id, Reason: p.reason}
	}
	return s, nil
}

// idOfMalformed gives the id of a job that a body names properly, whatever else is
// wrong with it; empty if it names none.
func idOfMalformed(body []byte) string {
	var only struct {
		ID any `cbor:"nameId"`
	}
	if Decode(body, &only) != nil {
		return ""
	}
	if id, ok := only.ID.(string); ok && ValidID(id) {
		return id
	}
	return ""
}

const (
	maxTypes    = 64
	maxTypeName = 100
)

// parseTypes checks a list of machine types. An empty one allows nothing; that is for
// the meaning (422) to say.
func parseTypes(p *parse, names []string) []string {
	if len(names) > maxTypes {
		p.fail("too many machine types")
	}
	for _, name := range names {
		if name == "" || len(name) > maxTypeName {
			p.fail("a machine type has no usable name")
		}
	}
	return append([]string{}, names...)
}

// parseDependencies checks a list of jobs' ids and names each once.
func parseDependencies(p *parse, ids []string) (out []string) {
	named := make(map[string]bool, len(ids))
	for _, id := range ids {
		if !ValidID(id) {
			p.fail("a dependency is no job's id")
		} else if !named[id] {
			named[id] = true
			out = append(out, id)
		}
	}
	return out
}

type parse struct{ reason string }

func (p *parse) fail(reason string) {
	if p.reason == "" {
		p.reason = reason
	}
}

func text(p *parse, name string, v *string) string {
	switch {
	case v == nil:
		p.fail(name + " missing")
		return ""
	case *v == "" || len(*v) > 200:
		p.fail(name + " empty or too long")
	}
	return *v
}

func amount(p *parse, name string, v *float64) float64 {
	switch {
	case v == nil:
		p.fail(name + " missing")
		return 0
	case math.IsNaN(*v) || math.IsInf(*v, 0) || *v < 0:
		p.fail(name + " negative or not finite")
	}
	return *v
}

func flag(p *parse, name string, v *bool) bool {
	if v == nil {
		p.fail(name + " missing")
		return false
	}
	return *v
}

// TaskName is the name of a job's task on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTask reads a task's name.
func ParseTask(name string) (job string, index int, err error) {
	job, digits, ok := strings.Cut(name, "/")
	if !ok || !ValidID(job) {
		return "", 0, fmt.Errorf("wire: task name %q", name)
	}
	index, err = strconv.Atoi(digits)
	if err != nil || index < 0 || index >= MaxTasks || strconv.Itoa(index) != digits {
		return "", 0, fmt.Errorf("wire: task name %q", name)
	}
	return job, index, nil
}
