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

// meter tells, at debug, what the controller's time goes into: how often each
// kind of input came, and how long the steps took. On a fraction of a core that
// shows what to look at when answers come late.
type meter struct {
	since micros.Micros
	kinds map[string]tally
}

// tally is how many inputs of a kind came, and how long they took.
type tally struct {
	count int
	took  micros.Micros
}

const meterEvery = 10 * micros.Second

func (m *meter) add(in controller.Input, at, took micros.Micros, open func() int, log *slog.Logger) {
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	if m.kinds == nil {
		m.since, m.kinds = at, map[string]tally{}
	}
	kind := ""
	switch in.(type) {
	case controller.Tick:
		kind = "tick"
	case controller.SubmitRequest:
		kind = "submit"
	case controller.JobStatusRequest:
		kind = "poll"
	case controller.Heartbeat:
		kind = "report"
	case controller.PeerRequest:
		kind = "peer"
	case controller.Result:
		kind = "result"
	default:
		kind = "other"
	}
	t := m.kinds[kind]
	m.kinds[kind] = tally{t.count + 1, t.took + took}
	if at-m.since < meterEvery {
		return
	}
	args := []any{"span_ms", (at - m.since).Millis(), "connections", open()}
	for _, k := range slices.Sorted(maps.Keys(m.kinds)) {
		args = append(args, k, fmt.Sprintf("%d in %d ms", m.kinds[k].count, m.kinds[k].took.Millis()))
	}
	log.Debug("steps", args...)
	m.since = at
	clear(m.kinds)
}
