package runtime

import (
	"time"

	"garnethitch/internal/config"
	"garnethitch/internal/micros"
	"garnethitch/internal/server"
)

// Sizes divide what the settings give a process among its uses. They are worked
// out here and nowhere else. What is not needed for calls serves: any controller
// may be left alone with every worker and user.
type Sizes struct {
	Services int // connections to the state service, the cloud and the other controllers
	// MaxStateRequests and PeerCalls bound the calls to the state service and to the other
	// controllers that are under way, out of Services.
	StateCalls, PeerCalls int
	Workers               int // connections to workers, kept ones included
	Asks                  int // requests to workers under way
	Serve                 int // connections served
	// StateBody bounds one answer of the state service: a watch has no limit of
	// its own. A larger one leads to a fresh listing. Held bounds unparsed input.
	StateBody int
	Held      int64
	// MaxOpenJobs bounds the unfinished jobs, MaxFinalJobs the final states that are kept.
	OpenJobs, FinalJobs int
	// Lists bounds the workers' task lists that are remembered, in bytes.
	Lists int
	// Idle is how long a connection may be without a request. Workers report and
	// users ask more often than that; what is left of those that a cut or a restart
	// has parted from us must not take the places of those that come back.
	Idle time.Duration
}

// reserved are sockets beside connections: listeners, poll sets, standard streams,
// and those that a restart of serving may hold for a moment.
const reserved = 24

// page is the most that the state service puts into one page of a listing.
const page = 512 << 10

// What a job takes: BenchmarkMemory gives 2.1 KB for one of 500 tasks that waits,
// and 140 bytes for a final state.
const (
	openJobBytes  = 4 << 10
	finalJobBytes = 160
)

// SizesOf works the sizes out.
func SizesOf(set config.Settings) Sizes {
	res := set.Cluster.Resources
	sz := Sizes{
		// Requests to the state service are bounded by its rate; each takes
		// milliseconds, or at most some seconds in an outage.
		Services: min(max(res.Sockets/16, 16), 256),
		Asks:     min(max(res.Sockets/30, 8), 96),
	}
	sz.StateCalls, sz.PeerCalls = sz.Services/2, sz.Services*3/8
	// Most orders find a kept connection: a new one wakes this node twice more.
	sz.Workers = min(max(res.Sockets/6, 2*sz.Asks), 1024)
	sz.Serve = max(res.Sockets-sz.Services-sz.Workers-reserved-server.MaxSockets(0), 1)
	ram := int(res.RAMMB * (1 << 20))
	sz.StateBody = min(max(ram/16, 2*page), 24<<20)
	sz.Held = int64(max(ram/16, 2*page))
	sz.Lists = ram / 32
	sz.OpenJobs = min(max(ram/8/openJobBytes, 500), 20_000)
	sz.FinalJobs = min(max(ram/32/finalJobBytes, 2000), 20_000)
	sz.Idle = min(max(micros.FromSeconds(3*set.Cluster.Workers.ReportS).Duration(), 20*time.Second), 75*time.Second)
	return sz
}
