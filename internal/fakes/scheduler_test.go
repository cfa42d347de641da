package fakes

import (
	"testing"

	"garnethitch/internal/controller"
	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
)

// manualClock is a Scheduler whose time a test moves.
type manualClock struct {
	now   micros.Micros
	queue eventqueue.Queue
}

func (c *manualClock) Now() micros.Micros { return c.now }

func (c *manualClock) After(d micros.Micros, f func()) { c.queue.Add(c.now+d, f) }

// advance moves the time, and has what is due happen.
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

// send sends a request, and returns a function that gives the answer, or nil if there is none yet.
func send(s server, request any) func() *controller.Result {
	var answer *controller.Result
	s.Serve(request, func(r controller.Result) { answer = &r })
	return func() *controller.Result { return answer }
}

// mustAnswer sends a request, and expects an answer of a status at once.
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
