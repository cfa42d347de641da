// Package fakes implements in-memory fakes of the services that a controller talks to: the
// state service, the cloud and the workers. The fakes exchange typed messages and take the time
// from a Scheduler, which is either a simulation or the wall clock. Server serves the state
// service and a cloud over HTTP. ServeLoadHarness serves everything that one controller needs
// from a separate process.
package fakes

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

const (
	millisecond = micros.Millisecond
	second      = micros.Second
)

// Scheduler provides the time and the timers of a fake.
type Scheduler interface {
	// Now returns the current time.
	Now() micros.Micros
	// After calls f once d has passed, never concurrently with other calls of the fake.
	After(d micros.Micros, f func())
}

// Reply receives the answer to a request. A fake calls it at most once, either immediately or
// later.
type Reply func(controller.Result)

func (r Reply) status(code int) { r(controller.Result{Status: code}) }

func (r Reply) body(code int, body any) { r(controller.Result{Status: code, Body: body}) }
