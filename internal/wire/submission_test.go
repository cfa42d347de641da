package wire

import (
	"errors"
	"math"
	"slices"
	"testing"
)

// submissionFields returns the fields of a valid submission by their names in the protocol.
func submissionFields() map[string]any {
	return map[string]any{
		"nameId": "job-000412", "herd": "train", "crew": "vision", "gait": "sweep", "rank": "high", "loads": 16,
		"cpus": 8.0, "gpus": 1.0, "memGb": 64.0, "tack": "img-07", "sizeGb": 6.2, "breeds": []string{"g8"}, "paddock": nil,
		"oneZone": true, "apart": false, "strays": true, "haulS": 240.0, "restS": 30.0, "stowS": 4.0, "dueS": 900.0,
	}
}

func TestParseSubmission(t *testing.T) {
	for _, tc := range []struct {
		name  string
		field string
		value any // a value equal to the field's name: the field is left out
		ok    bool
		id    string // the expected SubmissionError.ID
	}{
		{name: "valid", ok: true},
		{"unknown field", "colour", "red", true, ""},
		{"any type", "breeds", nil, true, ""},
		{"types left out", "breeds", "breeds", true, ""},
		{"empty list of types", "breeds", []string{}, true, ""},
		{"no deadline", "dueS", nil, true, ""},
		{"a zone", "paddock", "a", true, ""},
		{"zero CPUs", "cpus", 0.0, true, ""},
		{"whole number as an amount", "cpus", 8, true, ""},
		{"most tasks", "loads", 100_000, true, ""},
		{"too many tasks", "loads", 100_001, false, "job-000412"},
		{"no tasks", "loads", 0, false, "job-000412"},
		{"negative tasks", "loads", -1, false, "job-000412"},
		{"tasks as text", "loads", "16", false, "job-000412"},
		{"negative CPUs", "cpus", -1.0, false, "job-000412"},
		{"infinite memory", "memGb", math.Inf(1), false, "job-000412"},
		{"estimate that is not a number", "haulS", math.NaN(), false, "job-000412"},
		{"negative deadline", "dueS", -1.0, false, "job-000412"},
		{"unknown kind", "gait", "trot", false, "job-000412"},
		{"unknown priority", "rank", "king", false, "job-000412"},
		{"no team", "crew", "crew", false, "job-000412"},
		{"null team", "crew", nil, false, "job-000412"},
		{"empty image", "tack", "", false, "job-000412"},
		{"flag as a number", "strays", 1, false, "job-000412"},
		{"types as text", "breeds", "g8", false, "job-000412"},
		{"binary team", "crew", []byte("vision"), false, "job-000412"},
		{"no dependencies, null", "follows", nil, true, ""},
		{"no dependencies, empty", "follows", []string{}, true, ""},
		{"dependencies", "follows", []string{"job-000001", "job-000002"}, true, ""},
		{"dependencies as text", "follows", "job-000001", false, "job-000412"},
		{"dependencies as numbers", "follows", []int{1}, false, "job-000412"},
		{"a dependency that is not a job's id", "follows", []string{"job-000001", "task-7"}, false, "job-000412"},
		{"a dependency that is null", "follows", []any{nil}, false, "job-000412"},
		{"id without digits", "nameId", "job-", false, ""},
		{"short id", "nameId", "job-12", false, ""},
		{"another form of id", "nameId", "task-000412", false, ""},
		{"id with a path", "nameId", "job-000412/3", false, ""},
		{"id as a number", "nameId", 412, false, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fields := submissionFields()
			if tc.value == any(tc.field) && tc.field != "" {
				delete(fields, tc.field)
			} else if tc.field != "" {
				fields[tc.field] = tc.value
			}
			body, err := Encode(fields)
			if err != nil {
				t.Fatal(err)
			}
			s, serr := ParseSubmission(body)
			if (serr == nil) != tc.ok {
				t.Fatalf("unexpected result, error %v", serr)
			}
			if serr != nil && serr.ID != tc.id {
				t.Errorf("the error has the id %q, want %q", serr.ID, tc.id)
			}
			if serr == nil && (s.ID != "job-000412" || s.Tasks < 1 || s.Image != "img-07") {
				t.Errorf("parsed as %+v, want job-000412 with tasks and the image img-07", s)
			}
		})
	}
	for name, body := range map[string][]byte{
		"nothing": nil, "not CBOR": []byte("{\"a\":1}"), "a list": {0x80}, "null": {0xf6}, "half a map": {0xa2, 0x61, 'a'}, "a number": {0x01},
	} {
		if _, serr := ParseSubmission(body); serr == nil {
			t.Errorf("%s is accepted as a submission", name)
		}
	}
}

func TestParseTaskName(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   string
		index int
		ok    bool
	}{
		{"job-000412/3", "job-000412", 3, true},
		{"job-000412/99999", "job-000412", 99999, true},
		{"job-000412/100000", "", 0, false},
		{"job-000412/03", "", 0, false},
		{"job-000412/-1", "", 0, false},
		{"job-000412/", "", 0, false},
		{"job-000412", "", 0, false},
		{"job-1/2", "", 0, false},
	} {
		job, index, err := ParseTaskName(tc.name)
		if (err == nil) != tc.ok || job != tc.job || index != tc.index {
			t.Errorf("%q is parsed as job %q, index %d, error %v", tc.name, job, index, err)
		}
		if err != nil && !errors.Is(err, ErrTaskName) {
			t.Errorf("%q: error %v is not ErrTaskName", tc.name, err)
		}
	}
}

// TestDependencies checks that duplicate dependencies are removed, and that null and an empty list
// mean the same.
func TestDependencies(t *testing.T) {
	for _, tc := range []struct {
		name  string
		value any
		want  []string
	}{
		{"null", nil, nil},
		{"empty", []string{}, nil},
		{"one", []string{"job-000007"}, []string{"job-000007"}},
		{"named twice", []string{"job-000007", "job-000008", "job-000007"}, []string{"job-000007", "job-000008"}},
	} {
		fields := submissionFields()
		fields["follows"] = tc.value
		body, err := Encode(fields)
		if err != nil {
			t.Fatal(err)
		}
		s, serr := ParseSubmission(body)
		if serr != nil || !slices.Equal(s.DependsOn, tc.want) {
			t.Errorf("%s: %v, %v; want %v", tc.name, s.DependsOn, serr, tc.want)
		}
	}
}
