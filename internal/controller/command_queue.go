package controller

// commandQueue is a FIFO queue of the machines that wait for a direct command. It also bounds the
// number of requests to workers in flight, so that a failover of hundreds of machines or a burst
// of starts leaves sockets and time for heartbeats, replies and the renewal of the lease.
type commandQueue struct {
	waiting     []*machine
	inFlight    int // all requests to workers, probes and reconciliations included
	maxInFlight int
	probesLeft  int // probes and reconciliations that may still begin before the next maintenance
}

const (
	// probeDivisor bounds the probes and reconciliations that may begin between two runs of
	// maintenance: maxInFlight/probeDivisor.
	probeDivisor = 4
	// minProbes is the least value of that bound.
	minProbes = 4
)

// resetProbes restores the number of probes that may begin. Each run of maintenance calls it.
func (q *commandQueue) resetProbes() { q.probesLeft = max(q.maxInFlight/probeDivisor, minProbes) }

// takeProbe takes one of the allowed probes and reconciliations, and reports whether one was left
// and a further request may begin.
func (q *commandQueue) takeProbe() bool {
	if q.probesLeft <= 0 || q.full() {
		return false
	}
	q.probesLeft--
	return true
}

// full reports whether no further request may begin.
func (q *commandQueue) full() bool { return q.inFlight >= q.maxInFlight }

// push adds a machine to the queue, unless it waits already or this node has no view of it.
func (q *commandQueue) push(m *machine) {
	if m.view == nil || m.view.commandQueued {
		return
	}
	m.view.commandQueued = true
	q.waiting = append(q.waiting, m)
}

// next removes and returns the first machine that still waits. It returns nil if none waits or no
// further request may begin.
func (q *commandQueue) next() *machine {
	for i, m := range q.waiting {
		if m.view == nil || !m.view.commandQueued {
			continue // this node has lost the machine or its shard since push
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
