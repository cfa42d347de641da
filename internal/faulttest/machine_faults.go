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
	// rareReplyInterval is less than a worker's lease in a soak.
	rareReplyInterval = 3500 * time.Millisecond
	// duplicatedFraction of heartbeats arrive again while there are copies, within two leases.
	duplicatedFraction   = 0.2
	maxDuplicateDelayLeases = 2
)

// machineFault is a fault of one machine.
type machineFault int

const (
	faultHangs           machineFault = iota // it executes nothing
	faultReceivesNothing                     // neither commands nor replies reach it
	faultSendsNothing                        // it reaches no controller
	faultDuplicates                              // copies of its heartbeats arrive late
	faultRarelyReached                       // no command reaches it, and a reply about once in a lease
	machineFaultCount
)

// machineFaults say until when a machine has which fault.
type machineFaults struct {
	mu    sync.Mutex
	until [machineFaultCount]time.Time
}

// remaining returns how much longer a fault lasts.
func (f *machineFaults) remaining(fault machineFault) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.until[fault])
}

// active reports whether the machine active a fault now.
func (f *machineFaults) active(fault machineFault) bool { return f.remaining(fault) > 0 }

// begin has a fault go on for a while from now on.
func (f *machineFaults) begin(fault machineFault, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[fault] = time.Now().Add(d)
}

// replyReceived notes that a heartbeat was answered. A machine that is rarely reached then
// neither sends nor receives anything for a while.
func (f *machineFaults) replyReceived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.until[faultRarelyReached]) {
		f.until[faultSendsNothing] = now.Add(rareReplyInterval)
		f.until[faultReceivesNothing] = now.Add(rareReplyInterval)
	}
}

// waitWhileHung waits until the machine does not hang.
func (m *machine) waitWhileHung() {
	for {
		left := m.faults.remaining(faultHangs)
		if left <= 0 || !m.cluster.pause(left) {
			return
		}
	}
}

// awaitReachable waits while the machine hangs, as a request in its sockets does, and reports
// whether the request arrives.
func (m *machine) awaitReachable() bool {
	m.waitWhileHung()
	return !m.faults.active(faultReceivesNothing) && !m.faults.active(faultRarelyReached)
}

// maybeDuplicateLater may have a copy of a heartbeat arrive again, at any controller. The reply to
// it is lost.
func (m *machine) maybeDuplicateLater(body []byte) {
	c := m.cluster
	if !m.faults.active(faultDuplicates) || !c.chance(duplicatedFraction) {
		return
	}
	to := c.drawNode().settings.ServeOn
	latest := maxDuplicateDelayLeases * c.plan.Times.WorkerLease
	delay := time.Duration(c.draw(int(latest.Milliseconds()))) * time.Millisecond
	time.AfterFunc(delay, func() {
		_, _ = fakes.RequestOnce(to, replyTimeout, "POST", wire.PathHeartbeat, body)
	})
}
