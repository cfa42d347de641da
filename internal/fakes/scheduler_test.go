package fakes

import (
	"testing"

	"garnethitch/internal/controller"
	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
)

// manualClock is a Scheduler whose time the test advances.
type manualClock struct {
	now   micros.Micros
	queue eventqueue.Queue
}

func (c *manualClock) Now() micros.Micros { return c.now }

func (c *manualClock) After(d micros.Micros, f func()) { c.queue.Add(c.now+d, f) }

// advance moves the time on by d and calls the timers that become due, each at its time.
func (c *manualClock) advance(d micros.Micros) {
	until := c.now + d
	for at, more := c.queue.Due(); more && at <= until; at, more = c.queue.Due() {
		_, due := c.queue.Take()
		c.now = at
		due()
	}
	c.now = until
}

// server is a fake that answers requests.
type server interface {
	Serve(request any, reply Reply)
}

// send sends a request. The function that it returns gives the answer, or nil if there is none yet.
func send(s server, request any) func() *controller.Result {
	var answer *controller.Result
	s.Serve(request, func(r controller.Result) { answer = &r })
	return func() *controller.Result { return answer }
}

// mustAnswer sends a request and returns the body of the answer. The answer has to come at once and
// with the given status.
func mustAnswer(t *testing.T, s server, request any, status int) any {
	t.Helper()
	answer := send(s, request)()
	if answer == nil {
		t.Fatalf("%T: no answer", request)
	}
	if answer.Status != status {
		t.Fatalf("%T: status %d, want %d", request, answer.Status, status)
	}
	return answer.Body
}
