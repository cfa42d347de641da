package reachability

import "garnethitch/internal/micros"

const (
	// lateHeartbeatMargin is added to the longest regular interval between heartbeats.
	lateHeartbeatMargin = 1500 * micros.Millisecond
	// lostHeartbeatMargin is how long an overdue machine has to answer a direct request, and to
	// try the next controller.
	lostHeartbeatMargin = 2 * micros.Second
	// returnMargin is the additional time before a silent machine is returned. It covers one lost
	// heartbeat and trying the next controller, so that a single lost heartbeat does not cause a
	// return.
	returnMargin = 8 * micros.Second
)

// Deadlines holds the times after a machine's last heartbeat at which the controller reacts to the
// missing heartbeats.
type Deadlines struct {
	// Overdue is when the next heartbeat should have arrived. A heartbeat or a reply may have been
	// lost, so the controller only sends the machine a direct request.
	Overdue micros.Micros
	// Timeout is when a machine that has also not answered the direct request counts as silent.
	Timeout micros.Micros
	// Return is when a silent machine is returned to the cloud; 0 means never.
	Return micros.Micros
}

// NewDeadlines derives the deadlines from the heartbeat interval, which workers vary by up to a
// quarter. silentReturn is the configured value of Return; if it is negative, Return is derived as
// well.
func NewDeadlines(heartbeatInterval, silentReturn micros.Micros) Deadlines {
	overdue := heartbeatInterval*5/4 + lateHeartbeatMargin
	deadlines := Deadlines{
		Overdue: overdue,
		Timeout: overdue + lostHeartbeatMargin,
		Return:  silentReturn,
	}
	if silentReturn < 0 {
		deadlines.Return = overdue + returnMargin
	}
	return deadlines
}
