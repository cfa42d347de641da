package controller

// commandQueue holds machines to which something should be sent directly, first come first
// served. How many requests to workers are under way is bounded, so that a failover of
// hundreds of machines or a burst of starts leaves sockets and time for heartbeats,
// replies and the lease.
type commandQueue struct {
	waiting     []*machine
	inFlight    int
	maxInFlight int
	probesLeft  int // probes and reconciliations that may still begin before the next maintenance
}

const (
	// probeDivisor is such that one in so many of the requests under way may be probes and
	// reconciliations that begin between two maintenances.
	probeDivisor = 4
	// minProbes is how many they may begin at least.
	minProbes = 4
)

// resetProbes allows probes anew, at each maintenance.
func (q *commandQueue) resetProbes() { q.probesLeft = max(q.maxInFlight/probeDivisor, minProbes) }

// takeProbe takes one of the requests allowed for machines that are not needed for a start, and
// reports whether there was one.
func (q *commandQueue) takeProbe() bool {
	if q.probesLeft <= 0 || q.full() {
		return false
	}
	q.probesLeft--
	return true
}

// full reports whether no further request may begin.
func (q *commandQueue) full() bool { return q.inFlight >= q.maxInFlight }

// push adds a machine that does not wait yet.
func (q *commandQueue) push(m *machine) {
	if m.view == nil || m.view.commandQueued {
		return
	}
	m.view.commandQueued = true
	q.waiting = append(q.waiting, m)
}

// next removes and returns the first machine that still waits; nil if there is none, or no
// further request may begin.
func (q *commandQueue) next() *machine {
	for i, m := range q.waiting {
		if m.view == nil || !m.view.commandQueued {
			continue // this node's ownership of it has ended since
		}
		if q.full() {
			q.waiting = q.waiting[i:]
			return nil
		}
		q.waiting = q.waiting[i+1:]
		m.view.commandQueued = false
		return m
	}
	q.waiting = nil
	return nil
}
