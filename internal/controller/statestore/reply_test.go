package statestore

import (
	"slices"
	"testing"

	"garnethitch/internal/wire"
)

func TestReplyOutcome(t *testing.T) {
	for _, tc := range []struct {
		name     string
		reply    Reply
		want     Outcome
		revision uint64 // 0: none
		failed   []string
	}{
		{"no answer", Reply{}, InDoubt, 0, nil},
		{"never sent", Reply{NotSent: true}, NotExecuted, 0, nil},
		{"applied", Reply{Status: 200, Body: &wire.Revision{Revision: 7}}, Applied, 7, nil},
		{"applied, body not readable", Reply{Status: 200}, Applied, 0, nil},
		{"condition failed", Reply{Status: 409, Body: &wire.Revision{Revision: 7, Failed: []string{"k"}}}, ConditionFailed, 0, []string{"k"}},
		{"condition failed, body not readable", Reply{Status: 409}, ConditionFailed, 0, nil},
		{"malformed", Reply{Status: 400}, Rejected, 0, nil},
		{"overloaded", Reply{Status: 503}, NotExecuted, 0, nil},
		{"too many requests", Reply{Status: 429}, NotExecuted, 0, nil},
		{"internal error", Reply{Status: 500, Body: &wire.Revision{Revision: 7, Failed: []string{"k"}}}, InDoubt, 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.reply.Outcome(); got != tc.want {
				t.Errorf("outcome %v, want %v", got, tc.want)
			}
			if revision, ok := tc.reply.Revision(); revision != tc.revision || ok != (tc.revision != 0) {
				t.Errorf("revision %d, %v, want %d", revision, ok, tc.revision)
			}
			if got := tc.reply.FailedKeys(); !slices.Equal(got, tc.failed) {
				t.Errorf("failed keys %q, want %q", got, tc.failed)
			}
		})
	}
}
