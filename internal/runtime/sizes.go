package runtime

import (
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/micros"
	"garnethitch/internal/server"
)

// Sizes divide the sockets and the memory that the settings give a process among its uses.
// Sockets that calls don't need serve: any controller may be left alone with every worker
// and user.
type Sizes struct {
	// ServiceConns bounds the connections to the state service, the cloud and the other
	// controllers. StateCalls and PeerCalls bound the calls under way over them.
	ServiceConns int
	StateCalls   int
	PeerCalls    int
	// WorkerConns bounds the connections to workers, idle ones included, and WorkerCalls
	// the requests to workers under way.
	WorkerConns int
	WorkerCalls int
	ServedConns int // connections served
	// StateBodyBytes bounds an answer of the state service: a watch has no limit of its
	// own. After a larger one the keys are listed anew.
	StateBodyBytes int
	BufferedBytes  int64 // input that is not parsed yet, over all connections
	OpenJobs       int   // unfinished jobs
	FinalJobs      int   // final states that are kept
	TaskListBytes  int   // workers' task lists that are remembered
	// IdleTimeout is how long a served connection may be without a request. Workers send
	// heartbeats and users ask more often than that; connections left over from a network
	// partition or a restart must not take the places of those that come back.
	IdleTimeout time.Duration
}

const (
	// reservedSockets are beside connections: listeners, poll sets, standard streams, and
	// those that a restart of serving may hold for a moment.
	reservedSockets = 24
	// statePageBytes is the most that the state service puts into one page of a listing.
	statePageBytes = 512 << 10
	bytesPerMiB    = 1 << 20
)

// Memory that a job takes: an unfinished one that waits, and a final state.
const (
	openJobBytes  = 4 << 10
	finalJobBytes = 160
)

// SizesOf derives the sizes from the settings. No other function divides resources.
func SizesOf(settings config.Settings) Sizes {
	var sizes Sizes
	sizes.allocateSockets(settings.Cluster.Resources.Sockets)
	sizes.allocateMemory(int(settings.Cluster.Resources.RAMMB * bytesPerMiB))
	sizes.IdleTimeout = idleTimeout(settings.Cluster.Workers.ReportS)
	return sizes
}

// allocateSockets sets the bounds of connections and calls. Calls to the state service are
// bounded by its rate as well: each takes milliseconds, or at most some seconds in an outage.
func (s *Sizes) allocateSockets(sockets int) {
	s.ServiceConns = clamp(sockets/16, 16, 256)
	s.StateCalls = s.ServiceConns / 2
	s.PeerCalls = s.ServiceConns * 3 / 8
	s.WorkerCalls = clamp(sockets/30, 8, 96)
	// Most commands find an idle connection: a new one wakes this process twice more.
	s.WorkerConns = clamp(sockets/6, 2*s.WorkerCalls, 1024)
	notServing := s.ServiceConns + s.WorkerConns + reservedSockets + server.MaxSockets(0)
	s.ServedConns = max(sockets-notServing, 1)
}

// allocateMemory sets the bounds of what is kept in memory, given in bytes.
func (s *Sizes) allocateMemory(memory int) {
	s.StateBodyBytes = clamp(memory/16, 2*statePageBytes, 24*bytesPerMiB)
	s.BufferedBytes = int64(max(memory/16, 2*statePageBytes))
	s.TaskListBytes = memory / 32
	s.OpenJobs = clamp(memory/8/openJobBytes, 500, 20_000)
	s.FinalJobs = clamp(memory/32/finalJobBytes, 2000, 20_000)
}

// idleTimeout is three intervals of heartbeats, which are given in seconds, within bounds.
func idleTimeout(heartbeatIntervalS float64) time.Duration {
	const (
		shortest = 20 * time.Second
		longest  = 75 * time.Second
	)
	return clamp(micros.FromSeconds(3*heartbeatIntervalS).Duration(), shortest, longest)
}

// clamp returns value, or the bound that it is past; the upper one wins.
func clamp[T int | time.Duration](value, lower, upper T) T {
	return min(max(value, lower), upper)
}
