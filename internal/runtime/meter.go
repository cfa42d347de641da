package runtime

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

// meterInterval is the time between two lines of a meter.
const meterInterval = 10 * micros.Second

// meter logs at debug what the controller's time goes into: how many inputs of each kind
// came, and how long their steps took.
type meter struct {
	since  micros.Micros
	byKind map[string]stepStats
}

// stepStats are the number and the duration of the steps of one kind of input.
type stepStats struct {
	count    int
	duration micros.Micros
}

// add counts a step that began at an instant, and logs the counts once in an interval.
func (m *meter) add(in controller.Input, at, duration micros.Micros, openConns func() int, log *slog.Logger) {
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	if m.byKind == nil {
		m.since = at
		m.byKind = map[string]stepStats{}
	}
	kind := kindOf(in)
	stats := m.byKind[kind]
	stats.count++
	stats.duration += duration
	m.byKind[kind] = stats
	if at-m.since < meterInterval {
		return
	}
	log.Debug("steps", m.logArgs(at, openConns())...)
	m.since = at
	clear(m.byKind)
}

func (m *meter) logArgs(at micros.Micros, openConns int) []any {
	args := []any{"span_ms", (at - m.since).Millis(), "connections", openConns}
	for _, kind := range slices.Sorted(maps.Keys(m.byKind)) {
		stats := m.byKind[kind]
		args = append(args, kind, fmt.Sprintf("%d in %d ms", stats.count, stats.duration.Millis()))
	}
	return args
}

// kindOf returns the log key of an input's kind.
func kindOf(in controller.Input) string {
	switch in.(type) {
	case controller.Tick:
		return "tick"
	case controller.SubmitRequest:
		return "submit"
	case controller.JobStatusRequest:
		return "poll"
	case controller.Heartbeat:
		return "report"
	case controller.PeerRequest:
		return "peer"
	case controller.Result:
		return "result"
	}
	return "other"
}
