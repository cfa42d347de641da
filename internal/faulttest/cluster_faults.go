package faulttest

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

// Faults of a cluster's parts, in real time.

// answerTimeout is how long a worker waits for the answer to a heartbeat.
const answerTimeout = time.Second

// machineFaults say until when a machine hangs, hears nothing, or reaches no controller.
type machineFaults struct {
	mu                               sync.Mutex
	hungUntil, deafUntil, mutedUntil time.Time
	copies                           time.Time // until then copies of its heartbeats come late
	// seldomUntil: until then no order reaches it, and after each answer to a heartbeat nothing
	// does for seldomEvery, so that it is heard about once in a lease.
	seldomUntil time.Time
}

// seldomEvery is less than a worker's lease in a soak.
const seldomEvery = 3500 * time.Millisecond

// heardNow notes that a heartbeat was answered.
func (f *machineFaults) heardNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Before(f.seldomUntil) {
		f.mutedUntil, f.deafUntil = now.Add(seldomEvery), now.Add(seldomEvery)
	}
}

func (f *machineFaults) until(t *time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(*t)
}

func (f *machineFaults) set(t *time.Time, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*t = time.Now().Add(d)
}

// awaitAwake waits until the machine does not hang.
func (m *clusterMachine) awaitAwake() {
	for {
		d := m.faults.until(&m.faults.hungUntil)
		if d <= 0 || !m.cluster.pause(d) {
			return
		}
	}
}

// awaitReachable waits out a hang, as a request in the machine's sockets does, and tells
// whether the request arrives.
func (m *clusterMachine) awaitReachable() bool {
	m.awaitAwake()
	return !m.deaf() && m.faults.until(&m.faults.seldomUntil) <= 0
}

func (m *clusterMachine) deaf() bool { return m.faults.until(&m.faults.deafUntil) > 0 }
func (m *clusterMachine) mute() bool { return m.faults.until(&m.faults.mutedUntil) > 0 }

// copyLater has a copy of a heartbeat arrive again, at any controller; nobody hears the answer.
func (m *clusterMachine) copyLater(body []byte) {
	c := m.cluster
	if m.faults.until(&m.faults.copies) <= 0 || !c.chance(0.2) {
		return
	}
	to := c.nodes[c.draw(len(c.nodes))].set.ServeOn
	d := time.Duration(c.draw(int(2*c.plan.Times.WorkerLease.Milliseconds()))) * time.Millisecond
	time.AfterFunc(d, func() {
		_, _ = fakes.RequestOnce(to, answerTimeout, "POST", "/checkin", body)
	})
}

// stateFaults are how the state service treats one controller; guarded by the cluster's lock.
type stateFaults struct {
	refuseUntil time.Time // 503 for all but watches, which wait
	jobsUntil   time.Time // 429 for what would tell it of jobs
	lateUntil   time.Time // a part of its transactions is carried out late, without an answer
}

// faultyState deals with a request as the faults say; false: there are none for it.
func (n *clusterNode) faultyState(rw http.ResponseWriter, r *http.Request) bool {
	c := n.cluster
	c.mu.Lock()
	f := n.faults
	c.mu.Unlock()
	now := time.Now()
	watch := strings.HasPrefix(r.URL.Path, "/watch")
	jobs := strings.HasPrefix(r.URL.Path, "/keys/"+wire.PrefixJob) || strings.HasPrefix(r.URL.Query().Get("starts"), wire.PrefixJob)
	switch {
	case now.Before(f.refuseUntil) && watch:
		c.pause(time.Until(f.refuseUntil))
		panic(http.ErrAbortHandler)
	case now.Before(f.refuseUntil):
		rw.WriteHeader(503)
	case now.Before(f.jobsUntil) && jobs:
		rw.WriteHeader(429)
	case now.Before(f.lateUntil) && strings.HasSuffix(r.URL.Path, "/multi") && c.chance(0.3):
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		again := r.Clone(c.ctx)
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		time.AfterFunc(time.Duration(200+c.draw(2000))*time.Millisecond, func() { c.server.ServeHTTP(discard{}, again) })
		c.pause(2 * time.Second)
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// cuttable is a link from one controller to another: a proxy that can hold back what is
// sent, or break connections.
type cuttable struct {
	from, to   int
	target     string
	mu         sync.Mutex
	heldUntil  time.Time
	resetUntil time.Time
}

// addressFor is where one controller reaches another: itself, or by a link of ours.
func (c *Cluster) addressFor(from, to *clusterNode) (string, error) {
	if c.plan.Binary == "" {
		return to.set.InternalAddr, nil
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l := &cuttable{from: from.id, to: to.id, target: to.set.InternalAddr}
	c.links = append(c.links, l)
	stopped := c.ctx.Done()
	go func() {
		<-stopped
		ln.Close()
	}()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return ln.Addr().String(), nil
}

// carry passes a connection on, both ways.
func (l *cuttable) carry(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 && !l.pass() {
				return
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(out, in)
	go pump(in, out)
	<-done
}

// pass waits while the link holds things back; false: it breaks connections.
func (l *cuttable) pass() bool {
	for {
		l.mu.Lock()
		held, reset := time.Until(l.heldUntil), time.Until(l.resetUntil)
		l.mu.Unlock()
		if reset > 0 {
			return false
		}
		if held <= 0 {
			return true
		}
		time.Sleep(min(held, 50*time.Millisecond))
	}
}

func (l *cuttable) cut(hold bool, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hold {
		l.heldUntil = time.Now().Add(d)
	} else {
		l.resetUntil = time.Now().Add(d)
	}
}
