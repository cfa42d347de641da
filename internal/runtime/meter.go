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

// meterInterval is the time between two log lines of a meter.
const meterInterval = 10 * micros.Second

// meter logs, at the debug level, how the controller spends its time: the number of inputs of
// each kind, and the duration of the steps that handled them.
type meter struct {
	since  micros.Micros // start of the current interval
	byKind map[string]stepStats
}

// stepStats holds the number and the total duration of the steps for one kind of input.
type stepStats struct {
	count    int
	duration micros.Micros
}

// add counts a step that began at the time at, and logs the counts once per meterInterval.
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

// kindOf returns the log key for the kind of an input.
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
