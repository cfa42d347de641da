package tracing

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"garnethitch/internal/controller"
)

// TestExport: a span is written with the core's own names and times, under its parent.
func TestExport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	tr, err := New(Options{Exporter: File, File: path}, "n-0")
	if err != nil {
		t.Fatal(err)
	}
	tr.Export(controller.Span{Name: "quota.growing", Trace: [16]byte{0xab}, ID: [8]byte{0xcd}, Parent: [8]byte{0xef}, Start: 5_000_000, End: 6_000_000, Group: "all"})
	if err := tr.Close(context.Background()); err != nil {
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
		t.Fatalf("%v in %s", err, text)
	}
	if got.Name != "quota.growing" || got.SpanContext != (spanContext{"ab000000000000000000000000000000", "cd00000000000000"}) || got.Parent.SpanID != "ef00000000000000" {
		t.Errorf("written as %+v", got)
	}
}

// TestOptions: what contradicts itself is refused; without an exporter there is no tracer.
func TestOptions(t *testing.T) {
	for _, tc := range []struct {
		options Options
		good    bool
	}{{Options{}, true}, {Options{Exporter: None}, true}, {Options{Exporter: Stderr}, true}, {Options{Exporter: File, File: "x"}, true},
		{Options{Exporter: File}, false}, {Options{Exporter: "jaeger"}, false}, {Options{Exporter: None, File: "x"}, false}} {
		if err := tc.options.Check(); (err == nil) != tc.good {
			t.Errorf("%+v: %v", tc.options, err)
		}
	}
	if tr, err := New(Options{}, "n-0"); tr != nil || err != nil {
		t.Errorf("%v, %v", tr, err)
	}
}
