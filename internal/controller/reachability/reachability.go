// Package reachability determines whether the replies of a controller arrive at a machine whose
// heartbeats arrive at the controller.
//
// Receiving heartbeats from a machine is not reaching it: the connection may work in one
// direction only. The starts of the last reply then never appear in a task list, the
// machine's fencing token stays behind, and later its agent epoch rises although its
// heartbeats were answered.
package reachability

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// MaxUnconfirmedReplies is how many consecutive replies may be lost before a machine counts
// as unreachable: one or two are lost now and then.
const MaxUnconfirmedReplies = 3

// Confirmation is what a heartbeat says of the reply to the heartbeat before it.
type Confirmation int

const (
	// Undetermined means that the heartbeat would look the same whether or not the reply arrived.
	Undetermined Confirmation = iota
	// Confirmed means that the heartbeat shows what the reply said.
	Confirmed
	// Unconfirmed means that the heartbeat should show what the reply said, and does not.
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

// Tracker compares the heartbeats of one machine with the replies to them. Its zero value is
// a machine of which nothing is expected.
type Tracker struct {
	unconfirmedReplies int           // consecutive
	unconfirmedSince   micros.Micros // when the first of them was noticed

	// What the next heartbeat must show.
	expectedToken   uint64       // the fencing token that the last reply raised; 0: none
	expectedCommand wire.Command // one command of the last reply; Op is empty if it held none
}

// ReplySent records a reply: its fencing token and commands, and the highest fencing token
// that the machine had shown before.
func (t *Tracker) ReplySent(fencingToken, shownToken uint64, commands []wire.Command) {
	t.expectNothing()
	if fencingToken > shownToken {
		t.expectedToken = fencingToken
	}
	if len(commands) > 0 {
		t.expectedCommand = commands[0]
	}
}

// HeartbeatReceived compares a heartbeat that follows the last reply with it. It reports
// whether the machine has become unreachable by it.
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

// Reset begins anew, once the machine was reached in another way or its agent epoch has risen.
func (t *Tracker) Reset() { *t = Tracker{} }

// Unreachable reports whether so many replies in a row were lost that no further one is
// likely to arrive.
func (t *Tracker) Unreachable() bool { return t.unconfirmedReplies >= MaxUnconfirmedReplies }

// UnconfirmedSince returns when the first of the consecutive unconfirmed replies was noticed;
// ok is false if there is none.
func (t *Tracker) UnconfirmedSince() (since micros.Micros, ok bool) {
	return t.unconfirmedSince, t.unconfirmedReplies > 0
}

// expectNothing forgets what the next heartbeat was to show.
func (t *Tracker) expectNothing() {
	t.expectedToken = 0
	t.expectedCommand = wire.Command{}
}

// confirmationFrom compares a heartbeat with what it was to show.
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

// confirmedIf returns Confirmed if what was expected is shown, else Unconfirmed.
func confirmedIf(shown bool) Confirmation {
	if shown {
		return Confirmed
	}
	return Unconfirmed
}

// taskState returns the state in which a heartbeat lists the attempt of a command; empty if it
// does not list it.
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
