package tracing

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"garnethitch/internal/controller"
)

// TestExport checks that a span is written with the name, the trace and span IDs and the parent ID
// that the controller chose.
func TestExport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	tracer, err := New(Options{Exporter: ExporterFile, File: path}, "n-0")
	if err != nil {
		t.Fatal(err)
	}
	tracer.Export(controller.Span{Name: "quota.growing", Trace: [16]byte{0xab}, ID: [8]byte{0xcd}, Parent: [8]byte{0xef}, Start: 5_000_000, End: 6_000_000, Group: "all"})
	if err := tracer.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	type spanContext struct{ TraceID, SpanID string }
	var got struct {
		Name                string
		SpanContext, Parent spanContext
		StartTime           string
	}
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatalf("error %v in the exported span %s", err, text)
	}
	if got.Name != "quota.growing" || got.SpanContext != (spanContext{"ab000000000000000000000000000000", "cd00000000000000"}) || got.Parent.SpanID != "ef00000000000000" {
		t.Errorf("unexpected span %+v", got)
	}
}

// TestOptions checks that unknown exporters, and files that contradict the exporter, are rejected.
func TestOptions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		options Options
		good    bool
	}{
		{"empty", Options{}, true},
		{"none", Options{Exporter: ExporterNone}, true},
		{"stderr", Options{Exporter: ExporterStderr}, true},
		{"file", Options{Exporter: ExporterFile, File: "x"}, true},
		{"file without a path", Options{Exporter: ExporterFile}, false},
		{"unknown exporter", Options{Exporter: "jaeger"}, false},
		{"none with a path", Options{Exporter: ExporterNone, File: "x"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := tc.options.Check(); (err == nil) != tc.good {
				t.Errorf("error %v, want valid: %v", err, tc.good)
			}
		})
	}
}

func TestNewWithoutExporter(t *testing.T) {
	if tracer, err := New(Options{}, "n-0"); tracer != nil || err != nil {
		t.Errorf("%v, %v, want no tracer and no error", tracer, err)
	}
}
