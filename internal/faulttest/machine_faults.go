package faulttest

import (
	"sync"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

const (
	// replyTimeout is how long a worker waits for the reply to a heartbeat.
	replyTimeout = time.Second
	// rareReplyInterval is how long a rarely reached machine is cut off after each reply. It is
	// less than a worker's lease in a soak.
	rareReplyInterval = 3500 * time.Millisecond
	// duplicateFraction of the heartbeats of a machine with faultDuplicates arrive a second
	// time, at most maxDuplicateDelayLeases worker leases later.
	duplicateFraction       = 0.2
	maxDuplicateDelayLeases = 2
)

// machineFault is a fault of one machine.
type machineFault int

const (
	faultHangs           machineFault = iota // the machine executes nothing
	faultReceivesNothing                     // neither commands nor replies reach the machine
	faultSendsNothing                        // the machine cannot reach any controller
	faultDuplicates                          // some heartbeats arrive a second time, late
	faultRarelyReached                       // no commands and about one reply per lease arrive
	machineFaultCount
)

// machineFaults holds the end of each fault of a machine.
type machineFaults struct {
	mu    sync.Mutex
	until [machineFaultCount]time.Time
}

// remaining returns how much longer a fault lasts; zero or less if it is over.
func (f *machineFaults) remaining(fault machineFault) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.until[fault])
}

// active reports whether a fault is active now.
func (f *machineFaults) active(fault machineFault) bool { return f.remaining(fault) > 0 }

// begin starts a fault that lasts for d.
func (f *machineFaults) begin(fault machineFault, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[fault] = time.Now().Add(d)
}

// replyReceived is called when a reply to a heartbeat was received. A rarely reached machine then
// neither sends nor receives anything for rareReplyInterval.
func (f *machineFaults) replyReceived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.until[faultRarelyReached]) {
		f.until[faultSendsNothing] = now.Add(rareReplyInterval)
		f.until[faultReceivesNothing] = now.Add(rareReplyInterval)
	}
}

// waitWhileHung waits until the machine no longer hangs, or the cluster stops.
func (m *machine) waitWhileHung() {
	for {
		left := m.faults.remaining(faultHangs)
		if left <= 0 || !m.cluster.pause(left) {
			return
		}
	}
}

// awaitReachable waits while the machine hangs, as a request in the machine's sockets would, and
// reports whether the request arrives.
func (m *machine) awaitReachable() bool {
	m.waitWhileHung()
	return !m.faults.active(faultReceivesNothing) && !m.faults.active(faultRarelyReached)
}

// maybeDuplicateLater sends some heartbeats a second time, later and to a random controller. The
// replies to these duplicates are lost.
func (m *machine) maybeDuplicateLater(body []byte) {
	c := m.cluster
	if !m.faults.active(faultDuplicates) || !c.chance(duplicateFraction) {
		return
	}
	to := c.drawNode().settings.ServeOn
	latest := maxDuplicateDelayLeases * c.plan.Times.WorkerLease
	delay := time.Duration(c.draw(int(latest.Milliseconds()))) * time.Millisecond
	time.AfterFunc(delay, func() {
		_, _ = fakes.RequestOnce(to, replyTimeout, "POST", wire.PathHeartbeat, body)
	})
}
