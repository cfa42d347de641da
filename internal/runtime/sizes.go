package runtime

import (
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/micros"
	"garnethitch/internal/server"
)

// Sizes are the parts of a process's sockets and memory that its uses may take. All sockets that
// are not needed for outbound calls are used for serving, because any controller may become the
// only one left and must then serve all workers and users.
type Sizes struct {
	// ServiceConns bounds the connections to the state service, the cloud and the other
	// controllers. StateCalls and PeerCalls bound the calls in flight over them.
	ServiceConns int
	StateCalls   int
	PeerCalls    int
	// WorkerConns bounds the connections to workers, including idle ones. WorkerCalls bounds
	// the requests to workers in flight that the controller counts.
	WorkerConns int
	WorkerCalls int
	ServedConns int // maximum number of inbound connections
	// StateBodyBytes bounds a response of the state service. The protocol does not limit the
	// response to a watch. After a response that exceeds the bound, the keys are listed again.
	StateBodyBytes int
	BufferedBytes  int64 // maximum input that is not parsed yet, over all connections
	OpenJobs       int   // maximum number of unfinished jobs
	FinalJobs      int   // maximum number of final jobs kept in memory
	TaskListBytes  int   // maximum size of the cached task lists of workers
	// IdleTimeout is the maximum time for which an inbound connection may be without a request.
	// Workers and users send requests more often than that. Connections left over from a network
	// partition or a restart must not take the places of clients that reconnect.
	IdleTimeout time.Duration
}

const (
	// reservedSockets is the number of file descriptors that are not used for connections:
	// listeners, poll sets, standard streams, and those that a restart of the server's event
	// loop may hold for a short time.
	reservedSockets = 24
	// statePageBytes is the maximum size of a page of a listing by the state service.
	statePageBytes = 512 << 10
	bytesPerMiB    = 1 << 20
)

// Memory in bytes that an unfinished, waiting job and the final state of a job take.
const (
	openJobBytes  = 4 << 10
	finalJobBytes = 160
)

// SizesOf derives the sizes from the settings. It is the only place where resources are allocated
// to uses.
func SizesOf(settings config.Settings) Sizes {
	var sizes Sizes
	sizes.allocateSockets(settings.Cluster.Resources.Sockets)
	sizes.allocateMemory(int(settings.Cluster.Resources.RAMMB * bytesPerMiB))
	sizes.IdleTimeout = idleTimeout(settings.Cluster.Workers.ReportS)
	return sizes
}

// allocateSockets sets the bounds on connections and calls. Calls to the state service are also
// bounded by its rate limit: each takes milliseconds, or at most a few seconds in an outage.
func (s *Sizes) allocateSockets(sockets int) {
	s.ServiceConns = clamp(sockets/16, 16, 256)
	s.StateCalls = s.ServiceConns / 2
	s.PeerCalls = s.ServiceConns * 3 / 8
	s.WorkerCalls = clamp(sockets/30, 8, 96)
	// There are enough connections for most commands to find an idle one: opening a new
	// connection wakes this process two more times.
	s.WorkerConns = clamp(sockets/6, 2*s.WorkerCalls, 1024)
	notServing := s.ServiceConns + s.WorkerConns + reservedSockets + server.MaxSockets(0)
	s.ServedConns = max(sockets-notServing, 1)
}

// allocateMemory sets the bounds on what is kept in memory. memory is in bytes.
func (s *Sizes) allocateMemory(memory int) {
	s.StateBodyBytes = clamp(memory/16, 2*statePageBytes, 24*bytesPerMiB)
	s.BufferedBytes = int64(max(memory/16, 2*statePageBytes))
	s.TaskListBytes = memory / 32
	s.OpenJobs = clamp(memory/8/openJobBytes, 500, 20_000)
	s.FinalJobs = clamp(memory/32/finalJobBytes, 2000, 20_000)
}

// idleTimeout returns three times the heartbeat interval, which is given in seconds, within
// bounds.
func idleTimeout(heartbeatIntervalS float64) time.Duration {
	const (
		shortest = 20 * time.Second
		longest  = 75 * time.Second
	)
	return clamp(micros.FromSeconds(3*heartbeatIntervalS).Duration(), shortest, longest)
}

// clamp returns value limited to the range from lower to upper. If lower is greater than upper, it
// returns upper.
func clamp[T int | time.Duration](value, lower, upper T) T {
	return min(max(value, lower), upper)
}
