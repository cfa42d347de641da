// Package reachability detects machines whose heartbeats arrive at the controller while the
// controller's replies do not arrive at them.
//
// A connection may work in one direction only, so receiving heartbeats does not prove that a
// machine is reachable. If replies are lost, the tasks started by the last reply never appear in
// the machine's task list, the machine's fencing token does not advance, and later its agent epoch
// rises although its heartbeats were answered.
package reachability

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// MaxUnconfirmedReplies is the number of consecutive lost replies after which a machine counts as
// unreachable. One or two lost replies are normal.
const MaxUnconfirmedReplies = 3

// Confirmation states whether a heartbeat shows that the reply to the previous heartbeat arrived.
type Confirmation int

const (
	// Undetermined means that the heartbeat would look the same whether or not the reply had
	// arrived.
	Undetermined Confirmation = iota
	// Confirmed means that the heartbeat shows the effect of the reply.
	Confirmed
	// Unconfirmed means that the heartbeat should show the effect of the reply but does not.
	Unconfirmed
)

// String returns the name of the confirmation.
func (c Confirmation) String() string {
	switch c {
	case Undetermined:
		return "undetermined"
	case Confirmed:
		return "confirmed"
	case Unconfirmed:
		return "unconfirmed"
	}
	return "invalid"
}

// Tracker compares the heartbeats of one machine with the replies to them. The zero value is ready
// to use and expects nothing of the next heartbeat.
type Tracker struct {
	unconfirmedReplies int           // consecutive
	unconfirmedSince   micros.Micros // when the first unconfirmed reply was noticed

	// Effects of the last reply that the next heartbeat must show.
	expectedToken   uint64       // the fencing token that the last reply raised; 0: none
	expectedCommand wire.Command // one command of the last reply; Op is empty if it had none
}

// ReplySent records a reply: its fencing token, its commands, and the highest fencing token that
// the machine had reported before.
func (t *Tracker) ReplySent(fencingToken, shownToken uint64, commands []wire.Command) {
	t.expectNothing()
	if fencingToken > shownToken {
		t.expectedToken = fencingToken
	}
	if len(commands) > 0 {
		t.expectedCommand = commands[0]
	}
}

// HeartbeatReceived compares a heartbeat with the last reply before it. It reports whether this
// heartbeat makes the machine unreachable.
func (t *Tracker) HeartbeatReceived(now micros.Micros, heartbeat *wire.Heartbeat) bool {
	confirmation := t.confirmationFrom(heartbeat)
	t.expectNothing()
	switch confirmation {
	case Confirmed:
		t.unconfirmedReplies = 0
	case Unconfirmed:
		if t.unconfirmedReplies == 0 {
			t.unconfirmedSince = now
		}
		t.unconfirmedReplies++
		return t.unconfirmedReplies == MaxUnconfirmedReplies
	}
	return false
}

// Reset clears the tracker after the machine was reached in another way or its agent epoch has
// risen.
func (t *Tracker) Reset() { *t = Tracker{} }

// Unreachable reports whether so many consecutive replies were lost that further replies are
// unlikely to arrive.
func (t *Tracker) Unreachable() bool { return t.unconfirmedReplies >= MaxUnconfirmedReplies }

// UnconfirmedSince returns when the first of the consecutive unconfirmed replies was noticed. ok
// is false if there are none.
func (t *Tracker) UnconfirmedSince() (since micros.Micros, ok bool) {
	return t.unconfirmedSince, t.unconfirmedReplies > 0
}

// expectNothing clears the expectations for the next heartbeat.
func (t *Tracker) expectNothing() {
	t.expectedToken = 0
	t.expectedCommand = wire.Command{}
}

// confirmationFrom compares a heartbeat with the expectations set by the last reply.
func (t *Tracker) confirmationFrom(heartbeat *wire.Heartbeat) Confirmation {
	if t.expectedToken != 0 {
		return confirmedIf(heartbeat.FencingToken >= t.expectedToken)
	}
	if t.expectedCommand.Op == "" {
		return Undetermined
	}
	state := taskState(heartbeat, &t.expectedCommand)
	switch t.expectedCommand.Op {
	case wire.OpStart:
		return confirmedIf(state != "")
	case wire.OpForget:
		return confirmedIf(state == "")
	}
	stopped := state == "" || state == wire.TaskExited || state == wire.TaskSaving
	return confirmedIf(stopped)
}

// confirmedIf returns Confirmed if the expected effect is shown, and Unconfirmed otherwise.
func confirmedIf(shown bool) Confirmation {
	if shown {
		return Confirmed
	}
	return Unconfirmed
}

// taskState returns the state in which a heartbeat lists the attempt that a command refers to, or
// "" if the heartbeat does not list it.
func taskState(heartbeat *wire.Heartbeat, command *wire.Command) wire.TaskState {
	state := wire.TaskState("")
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.Attempt == command.Attempt && task.Task == command.Task {
			state = task.State
		}
	}
	return state
}
