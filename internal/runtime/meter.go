package runtime

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"garnethitch/internal/core"
	"garnethitch/internal/micros"
)

// meter tells, at debug, what the controller's time goes into: how often each
// kind of input came, and how long the steps took. On a fraction of a core that
// shows what to look at when answers come late.
type meter struct {
	since micros.Micros
	count map[string]int
	took  map[string]micros.Micros
}

const meterEvery = 10 * micros.Second

func (m *meter) add(in core.Input, at, took micros.Micros, open func() int, log *slog.Logger) {
	if m.count == nil {
		m.since, m.count, m.took = at, map[string]int{}, map[string]micros.Micros{}
	}
	kind := ""
	switch in.(type) {
	case core.Tick:
		kind = "tick"
	case core.Submit:
		kind = "submit"
	case core.Poll:
		kind = "poll"
	case core.Checkin:
		kind = "report"
	case core.PeerMessage:
		kind = "peer"
	case core.Result:
		kind = "result"
	default:
		kind = "other"
	}
	m.count[kind]++
	m.took[kind] += took
	if at-m.since < meterEvery {
		return
	}
	args := []any{"span_ms", (at - m.since).Millis(), "connections", open()}
	for _, k := range slices.Sorted(maps.Keys(m.count)) {
		args = append(args, k, fmt.Sprintf("%d in %d ms", m.count[k], m.took[k].Millis()))
	}
	log.Debug("steps", args...)
	m.since = at
	clear(m.count)
	clear(m.took)
}
