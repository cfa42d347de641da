// Package tracing exports the spans of a controller through the OpenTelemetry SDK.
package tracing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Exporter is the destination of spans.
type Exporter string

// Exporters. An empty Exporter means ExporterNone.
const (
	ExporterNone   Exporter = "none"   // no spans
	ExporterStderr Exporter = "stderr" // standard error
	ExporterFile   Exporter = "file"   // the file named in Options.File
)

// newFileMode is the permission mode of a newly created span file.
const newFileMode = 0o644

// Options selects the exporter.
type Options struct {
	Exporter Exporter `yaml:"exporter"`
	// File is the path of the file to which ExporterFile appends one line of JSON per span. It
	// must be empty for the other exporters.
	File string `yaml:"file"`
}

// ErrOptions is returned if the exporter is unknown, or if a file is missing for ExporterFile or
// given for another exporter.
var ErrOptions = errors.New("trace.exporter: want none, stderr, or file with trace.file")

// Check returns ErrOptions if the options are invalid.
func (o Options) Check() error {
	valid := false
	switch o.Exporter {
	case "", ExporterNone, ExporterStderr:
		valid = o.File == ""
	case ExporterFile:
		valid = o.File != ""
	}
	if !valid {
		return ErrOptions
	}
	return nil
}

// Enabled reports whether spans are exported.
func (o Options) Enabled() bool { return o.Exporter == ExporterStderr || o.Exporter == ExporterFile }

// Tracer exports spans. Create it with New.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     io.Closer // nil unless the exporter is ExporterFile
}

// New returns a tracer for the controller with the given label, or nil if the options disable
// the export of spans.
func New(o Options, label string) (*Tracer, error) {
	if !o.Enabled() {
		return nil, nil
	}
	t := &Tracer{}
	var out io.Writer = os.Stderr
	if o.Exporter == ExporterFile {
		f, err := os.OpenFile(o.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, newFileMode)
		if err != nil {
			return nil, fmt.Errorf("trace.file: %w", err)
		}
		out, t.file = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithIDGenerator(contextIDGenerator{}),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "garnethitch"),
			attribute.String("service.instance.id", label))))
	t.tracer = t.provider.Tracer("garnethitch/quota")
	return t, nil
}

// Close exports the buffered spans, stops the exporter and closes the file. It does nothing for
// a nil Tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	return err
}

// Export queues a span for export. It does not wait for the export.
func (t *Tracer) Export(s controller.Span) {
	ctx := context.WithValue(context.Background(), spanIDsKey{}, spanIDs{s.Trace, s.ID})
	if s.Parent != [8]byte{} {
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
			TraceID:    s.Trace,
			SpanID:     s.Parent,
			TraceFlags: trace.FlagsSampled,
			Remote:     true,
		}))
	}
	_, span := t.tracer.Start(ctx, s.Name, trace.WithTimestamp(wallTime(s.Start)), trace.WithAttributes(
		attribute.String("group", s.Group),
		attribute.Int("share", s.Shard),
		attribute.Int64("epoch", int64(s.Epoch)),
		attribute.String("job", s.Job),
		attribute.Float64("from.cpus", s.From.CPUs),
		attribute.Float64("to.cpus", s.To.CPUs),
		attribute.Float64("from.gpus", s.From.GPUs),
		attribute.Float64("to.gpus", s.To.GPUs)))
	span.End(trace.WithTimestamp(wallTime(s.End)))
}

func wallTime(t micros.Micros) time.Time { return time.UnixMicro(int64(t)) }

// contextIDGenerator is an ID generator that takes the IDs from the context. The controller
// generates the IDs itself so that runs with equal seeds produce equal traces.
type contextIDGenerator struct{}

// spanIDsKey is the context key of the spanIDs.
type spanIDsKey struct{}

type spanIDs struct {
	trace trace.TraceID
	span  trace.SpanID
}

// NewIDs returns the trace ID and the span ID of a span without a parent.
func (contextIDGenerator) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	ids, _ := ctx.Value(spanIDsKey{}).(spanIDs)
	return ids.trace, ids.span
}

// NewSpanID returns the span ID of a span with a parent, whose trace ID it shares.
func (contextIDGenerator) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	ids, _ := ctx.Value(spanIDsKey{}).(spanIDs)
	return ids.span
}
