// Package fakes holds fakes of the services that a controller talks to: the state service,
// the cloud and the workers. They take and give typed messages, and live by a Scheduler, which
// may be that of a simulation or the wall clock. Server serves the state service and a cloud
// over HTTP, and ServeWorld plays everybody around one controller in a process of its own.
package fakes

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

const (
	millisecond = micros.Millisecond
	second      = micros.Second
)

// Scheduler is the time that a fake lives by.
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
