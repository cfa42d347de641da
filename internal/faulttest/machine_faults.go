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
	// copiedFraction of heartbeats arrive again while there are copies, within two leases.
	copiedFraction   = 0.2
	copyWithinLeases = 2
)

// machineFault is a fault of one machine.
type machineFault int

const (
	faultHangs           machineFault = iota // it executes nothing
	faultReceivesNothing                     // neither commands nor replies reach it
	faultSendsNothing                        // it reaches no controller
	faultCopies                              // copies of its heartbeats arrive late
	faultRarelyReached                       // no command reaches it, and a reply about once in a lease
	machineFaultCount
)

// machineFaults say until when a machine has which fault.
type machineFaults struct {
	mu    sync.Mutex
	until [machineFaultCount]time.Time
}

// left returns how much longer a fault lasts.
func (f *machineFaults) left(fault machineFault) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.until[fault])
}

// has reports whether the machine has a fault now.
func (f *machineFaults) has(fault machineFault) bool { return f.left(fault) > 0 }

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

// awaitRunning waits until the machine does not hang.
func (m *machine) awaitRunning() {
	for {
		left := m.faults.left(faultHangs)
		if left <= 0 || !m.cluster.pause(left) {
			return
		}
	}
}

// awaitReachable waits while the machine hangs, as a request in its sockets does, and reports
// whether the request arrives.
func (m *machine) awaitReachable() bool {
	m.awaitRunning()
	return !m.faults.has(faultReceivesNothing) && !m.faults.has(faultRarelyReached)
}

// maybeCopyLater may have a copy of a heartbeat arrive again, at any controller. The reply to
// it is lost.
func (m *machine) maybeCopyLater(body []byte) {
	c := m.cluster
	if !m.faults.has(faultCopies) || !c.chance(copiedFraction) {
		return
	}
	to := c.drawNode().settings.ServeOn
	latest := copyWithinLeases * c.plan.Times.WorkerLease
	delay := time.Duration(c.draw(int(latest.Milliseconds()))) * time.Millisecond
	time.AfterFunc(delay, func() {
		_, _ = fakes.RequestOnce(to, replyTimeout, "POST", wire.PathHeartbeat, body)
	})
}
