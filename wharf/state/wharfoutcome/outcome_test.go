package wharfoutcome

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNext(t *testing.T) {
	idempotent := Request{Repeatable: true, MaxAttempts: 2}
	nonRepeatable := Request{MaxAttempts: 2}
	resumable := Request{Repeatable: true, Resumable: true, MaxAttempts: 2}
	with := func(r Request, runs, sends int, started bool) Request {
		r.Runs, r.Sends, r.Started = runs, sends, started
		return r
	}
	for _, c := range []struct {
		name    string
		outcome Outcome
		request Request
		want    Action
	}{
		{"unsent request is retried", NotSent, with(nonRepeatable, 0, 1, false), Retry},
		{"declined request is retried", Declined, with(nonRepeatable, 0, 1, false), Retry},
		{"request at the wrong endpoint is retried", WrongEndpoint, with(nonRepeatable, 0, 1, false), Retry},
		{"request declined by all endpoints is refused as not run", Declined, with(nonRepeatable, 0, 4, false), Refuse},
		{"lost connection of non-repeatable request is given up", ConnectionLost, with(nonRepeatable, 1, 1, false), GiveUp},
		{"timeout of non-repeatable request is given up", TimedOut, with(nonRepeatable, 1, 1, false), GiveUp},
		{"malformed response to non-repeatable request is given up", Malformed, with(nonRepeatable, 1, 1, false), GiveUp},
		{"lost connection of idempotent request is retried", ConnectionLost, with(idempotent, 1, 1, false), Retry},
		{"lost connection on last attempt is given up", ConnectionLost, with(idempotent, 2, 2, false), GiveUp},
		{"declined after a possible run is not refused as not run", Declined, with(idempotent, 1, 5, false), GiveUp},
		{"error response to idempotent request is retried", Failed, with(idempotent, 1, 1, false), Retry},
		{"error response to last attempt is passed through", Failed, with(idempotent, 2, 2, false), PassThrough},
		{"error response to non-repeatable request is passed through", Failed, with(nonRepeatable, 1, 1, false), PassThrough},
		{"started resumable stream is resumed", ConnectionLost, with(resumable, 1, 1, true), Resume},
		{"started non-resumable stream is cut off", ConnectionLost, with(nonRepeatable, 1, 1, true), CutOff},
		{"started stream without attempts left is cut off", ConnectionLost, with(resumable, 2, 2, true), CutOff},
		{"request of a disconnected caller is abandoned", CallerGone, with(idempotent, 1, 1, false), Abandon},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Next(c.outcome, c.request).String(), c.want.String())
		})
	}
}

func TestNotRun(t *testing.T) {
	notRun := map[Outcome]bool{NotSent: true, Declined: true, WrongEndpoint: true}
	for o := NotSent; o <= CallerGone; o++ {
		assert.Equal(t, o.NotRun(), notRun[o], o.String())
	}
}
