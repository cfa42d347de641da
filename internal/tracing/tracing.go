// Package tracing exports the core's spans by OpenTelemetry.
package tracing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Exporter is where spans go.
type Exporter string

// Exporters.
const (
	None   Exporter = "none"
	Stderr Exporter = "stderr"
	File   Exporter = "file"
)

// Options choose the exporter.
type Options struct {
	Exporter Exporter `yaml:"exporter"`
	// File is appended to, a line of JSON for each span.
	File string `yaml:"file"`
}

// ErrOptions says that the options contradict each other.
var ErrOptions = errors.New("trace.exporter: want none, stderr, or file with trace.file")

// Check tells whether the options can be used.
func (o Options) Check() error {
	switch {
	case (o.Exporter == "" || o.Exporter == None || o.Exporter == Stderr) && o.File == "":
		return nil
	case o.Exporter == File && o.File != "":
		return nil
	}
	return ErrOptions
}

// On tells whether spans are made at all.
func (o Options) On() bool { return o.Exporter == Stderr || o.Exporter == File }

// Tracer exports spans.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     io.Closer
}

// New makes the tracer of a controller; nil if the options want none.
func New(o Options, label string) (*Tracer, error) {
	if !o.On() {
		return nil, nil
	}
	t := &Tracer{}
	var out io.Writer = os.Stderr
	if o.Exporter == File {
		f, err := os.OpenFile(o.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("trace.file: %w", err)
		}
		out, t.file = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	t.provider = sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithIDGenerator(givenIDs{}),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "garnethitch"), attribute.String("service.instance.id", label))))
	t.tracer = t.provider.Tracer("garnethitch/quota")
	return t, nil
}

// Close exports what is left.
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

// Export hands a span over; it does not wait for the exporter.
func (t *Tracer) Export(s controller.Span) {
	ctx := context.WithValue(context.Background(), idsKey{}, ids{s.Trace, s.ID})
	if s.Parent != [8]byte{} {
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
			TraceID: s.Trace, SpanID: s.Parent, TraceFlags: trace.FlagsSampled, Remote: true}))
	}
	_, span := t.tracer.Start(ctx, s.Name, trace.WithTimestamp(wall(s.Start)), trace.WithAttributes(
		attribute.String("group", s.Group), attribute.Int("share", s.Shard), attribute.Int64("epoch", int64(s.Epoch)), attribute.String("job", s.Job),
		attribute.Float64("from.cpus", s.From.CPUs), attribute.Float64("to.cpus", s.To.CPUs),
		attribute.Float64("from.gpus", s.From.GPUs), attribute.Float64("to.gpus", s.To.GPUs)))
	span.End(trace.WithTimestamp(wall(s.End)))
}

func wall(t micros.Micros) time.Time { return time.UnixMicro(int64(t)) }

// givenIDs gives spans the names that the core has chosen, so that equal seeds give
// equal traces.
type givenIDs struct{}

type idsKey struct{}

type ids struct {
	trace [16]byte
	span  [8]byte
}

func (givenIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	v, _ := ctx.Value(idsKey{}).(ids)
	return v.trace, v.span
}

func (givenIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	v, _ := ctx.Value(idsKey{}).(ids)
	return v.span
}
