// Package fakes holds fakes of the services that a controller talks to: the state service,
// the cloud and the workers. They exchange typed messages and run by a Scheduler, which is
// that of a simulation or the wall clock. Server serves the state service and a cloud
// over HTTP, and ServeWorld runs all that one controller talks to in a process of its own.
package fakes

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

const (
	millisecond = micros.Millisecond
	second      = micros.Second
)

// Scheduler is the clock that a fake runs by.
type Scheduler interface {
	// Now returns the present time.
	Now() micros.Micros
	// After calls f once the duration has passed, not concurrently with other calls.
	After(d micros.Micros, f func())
}

// Reply receives the answer to a request, at once or later; it is called once at most.
type Reply func(controller.Result)

func (r Reply) status(code int) { r(controller.Result{Status: code}) }

func (r Reply) body(code int, body any) { r(controller.Result{Status: code, Body: body}) }
