package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxTasks is the largest number of tasks in a job (protocol: "POST /submissions").
const MaxTasks = 100_000

// Limits on the fields of a submission. The protocol does not limit them.
const (
	maxTextBytes     = 200
	maxTypes         = 64
	maxTypeNameBytes = 100
)

// Form of a job's id: a prefix followed by digits (protocol: "POST /submissions").
const (
	idPrefix    = "job-"
	minIDDigits = 6
	maxIDDigits = 18 // every number of 18 digits fits into an int64
)

// kindArray is the only kind of job: independent tasks, each of which runs to completion.
const kindArray = "sweep"

// ErrTaskName is returned, wrapped, for a string that is not the name of a task.
var ErrTaskName = errors.New("wire: invalid task name")

// Submission is a user's validated description of a job (protocol: "POST /submissions"). Field
// names that end in S are durations in seconds, those that end in GB are sizes in gigabytes.
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
	Types       []string `cbor:"breeds"`            // allowed machine types; nil: any
	Zone        string   `cbor:"paddock,omitempty"` // empty: any
	SameZone    bool     `cbor:"oneZone"`
	Spread      bool     `cbor:"apart"`
	Spot        bool     `cbor:"strays"`
	EstimateS   float64  `cbor:"haulS"`
	CheckpointS float64  `cbor:"restS"`
	SaveS       float64  `cbor:"stowS"`
	DeadlineS   *float64 `cbor:"dueS"`
	// DependsOn lists the ids of the jobs that must be done before any task of this job
	// starts, without duplicates.
	DependsOn []string `cbor:"follows,omitempty"`
}

// rawSubmission is a Submission before validation. Its pointers distinguish a missing or null
// field from a zero value.
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

// SubmissionError is the reason why a submission is invalid.
type SubmissionError struct {
	ID     string // the job's id; empty unless the body contains a valid one
	Reason string
}

// Error returns the reason with a prefix.
func (e *SubmissionError) Error() string { return "submission: " + e.Reason }

// ValidID reports whether a job's id has the protocol's form: "job-" and at least six digits.
// Ids with more than maxIDDigits digits are rejected.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || len(digits) < minIDDigits || len(digits) > maxIDDigits {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// ParseSubmission decodes and validates the body of a submission (protocol: "POST
// /submissions"). It does not check whether the cluster can ever run the job.
func ParseSubmission(body []byte) (Submission, *SubmissionError) {
	var raw rawSubmission
	if err := Decode(body, &raw); err != nil {
		return Submission{}, &SubmissionError{ID: idOfMalformed(body), Reason: err.Error()}
	}
	var check fieldCheck
	submission := check.required(&raw)
	check.enums(submission)
	check.optional(&raw, &submission)
	if check.reason == "" {
		return submission, nil
	}
	if !ValidID(submission.ID) {
		return submission, &SubmissionError{Reason: check.reason}
	}
	return submission, &SubmissionError{ID: submission.ID, Reason: check.reason}
}

// idOfMalformed returns the id of a body whose other fields cannot be decoded, or "" if the
// body contains no valid id.
func idOfMalformed(body []byte) string {
	var only struct {
		ID any `cbor:"nameId"`
	}
	if err := Decode(body, &only); err != nil && only.ID == nil {
		return ""
	}
	if id, ok := only.ID.(string); ok && ValidID(id) {
		return id
	}
	return ""
}

// fieldCheck validates the fields of a submission one after the other. reason describes the
// error of the first invalid field; it is empty as long as all are valid.
type fieldCheck struct{ reason string }

// fail records a reason unless an earlier field was already invalid.
func (c *fieldCheck) fail(reason string) {
	if c.reason == "" {
		c.reason = reason
	}
}

// required returns a submission with the mandatory fields set.
func (c *fieldCheck) required(raw *rawSubmission) Submission {
	return Submission{
		ID:          c.id(raw.ID),
		Class:       c.text("class", raw.Class),
		Team:        c.text("team", raw.Team),
		Kind:        c.text("kind", raw.Kind),
		Priority:    c.text("priority", raw.Priority),
		Image:       c.text("image", raw.Image),
		CPUs:        c.amount("cpus", raw.CPUs),
		GPUs:        c.amount("gpus", raw.GPUs),
		MemGB:       c.amount("memory", raw.MemGB),
		ImageGB:     c.amount("image size", raw.ImageGB),
		EstimateS:   c.amount("estimate", raw.EstimateS),
		CheckpointS: c.amount("checkpoint interval", raw.CheckpointS),
		SaveS:       c.amount("save time", raw.SaveS),
		SameZone:    c.flag("one zone", raw.SameZone),
		Spread:      c.flag("apart", raw.Spread),
		Spot:        c.flag("spot", raw.Spot),
		Tasks:       c.tasks(raw.Tasks),
	}
}

// enums checks the fields whose value must be one of the words that the protocol enumerates.
func (c *fieldCheck) enums(submission Submission) {
	if submission.Kind != kindArray {
		c.fail("unknown kind of job")
	}
	if _, known := PriorityOf(submission.Priority); !known {
		c.fail("unknown priority")
	}
}

// optional sets the optional fields of the submission.
func (c *fieldCheck) optional(raw *rawSubmission, submission *Submission) {
	if raw.DeadlineS != nil {
		deadline := c.amount("deadline", raw.DeadlineS)
		submission.DeadlineS = &deadline
	}
	if raw.Zone != nil {
		submission.Zone = c.text("zone", raw.Zone)
	}
	if raw.Types != nil {
		submission.Types = c.types(*raw.Types)
	}
	if raw.DependsOn != nil {
		submission.DependsOn = c.dependencies(*raw.DependsOn)
	}
}

func (c *fieldCheck) id(value *string) string {
	id := c.text("id", value)
	if !ValidID(id) {
		c.fail("id is of another form")
	}
	return id
}

func (c *fieldCheck) text(name string, value *string) string {
	if value == nil {
		c.fail(name + " missing")
		return ""
	}
	if *value == "" || len(*value) > maxTextBytes {
		c.fail(name + " empty or too long")
	}
	return *value
}

func (c *fieldCheck) amount(name string, value *float64) float64 {
	if value == nil {
		c.fail(name + " missing")
		return 0
	}
	if !finite(*value) || *value < 0 {
		c.fail(name + " negative or not finite")
	}
	return *value
}

func (c *fieldCheck) flag(name string, value *bool) bool {
	if value == nil {
		c.fail(name + " missing")
		return false
	}
	return *value
}

func (c *fieldCheck) tasks(value *int64) int {
	if value == nil {
		c.fail("tasks missing")
		return 0
	}
	if *value < 1 || *value > MaxTasks {
		c.fail("number of tasks out of range")
		return 0
	}
	return int(*value)
}

// types checks a list of allowed machine types. An empty list allows no type: the submission is
// valid, although the job can never run.
func (c *fieldCheck) types(names []string) []string {
	if len(names) > maxTypes {
		c.fail("too many machine types")
	}
	for _, name := range names {
		if name == "" || len(name) > maxTypeNameBytes {
			c.fail("a machine type has no usable name")
		}
	}
	return append([]string{}, names...)
}

// dependencies checks a list of job ids and returns it without duplicates.
func (c *fieldCheck) dependencies(ids []string) (unique []string) {
	seen := make(map[string]bool, len(ids))
	for _, id := range ids {
		switch {
		case !ValidID(id):
			c.fail("a dependency is no job's id")
		case !seen[id]:
			seen[id] = true
			unique = append(unique, id)
		}
	}
	return unique
}

// TaskName returns the name of the task with an index in a job (protocol: "POST /submissions").
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName returns the job and the index that a task's name consists of. The error wraps
// ErrTaskName.
func ParseTaskName(name string) (job string, index int, err error) {
	job, digits, ok := strings.Cut(name, "/")
	if !ok || !ValidID(job) {
		return "", 0, fmt.Errorf("%w %q", ErrTaskName, name)
	}
	index, err = strconv.Atoi(digits)
	if err != nil || index < 0 || index >= MaxTasks || strconv.Itoa(index) != digits {
		return "", 0, fmt.Errorf("%w %q", ErrTaskName, name)
	}
	return job, index, nil
}
