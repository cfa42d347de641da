package reachability

import "garnethitch/internal/micros"

const (
	// lateHeartbeatMargin is added to the longest regular interval between heartbeats.
	lateHeartbeatMargin = 1500 * micros.Millisecond
	// lostHeartbeatMargin is how long an overdue machine has for answering a direct request,
	// and for trying the next controller.
	lostHeartbeatMargin = 2 * micros.Second
	// returnMargin is added for one lost heartbeat and for trying the next controller, so
	// that no machine is returned for one lost heartbeat.
	returnMargin = 8 * micros.Second
)

// Deadlines are the times after a machine's last heartbeat at which something follows from
// its silence.
type Deadlines struct {
	// Overdue is when the next heartbeat should have arrived. A heartbeat or reply may be
	// lost, so this alone says nothing yet: the machine is asked.
	Overdue micros.Micros
	// Timeout is when a machine that does not answer either counts as silent.
	Timeout micros.Micros
	// Return is when a silent machine is returned to the cloud; 0: never.
	Return micros.Micros
}

// NewDeadlines derives the deadlines from the interval of heartbeats, which workers vary by
// up to a quarter. silentReturn is the operators' choice of Return; below 0 it is derived too.
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
