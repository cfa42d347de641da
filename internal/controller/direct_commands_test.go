package controller

import (
	"net/http"
	"testing"
)

// TestCommandOutcome checks that the outcome of a direct command is refused only if the command was
// not sent or the machine itself refused it. Any other command that was not confirmed may still act.
func TestCommandOutcome(t *testing.T) {
	for _, tc := range []struct {
		name     string
		result   Result
		answered bool
		want     commandOutcome
	}{
		{"executed", Result{Status: http.StatusOK}, true, commandsExecuted},
		{"refused by the machine", Result{Status: http.StatusConflict}, true, commandsRefused},
		{"not sent", Result{NotSent: true}, false, commandsRefused},
		{"no answer", Result{}, false, commandsInDoubt},
		{"executed by another machine", Result{Status: http.StatusOK}, false, commandsInDoubt},
		{"refused by another machine", Result{Status: http.StatusConflict}, false, commandsInDoubt},
		{"failed at the machine", Result{Status: http.StatusInternalServerError}, true, commandsInDoubt},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := commandOutcomeOf(tc.result, tc.answered); got != tc.want {
				t.Errorf("outcome %v, want %v", got, tc.want)
			}
		})
	}
}
