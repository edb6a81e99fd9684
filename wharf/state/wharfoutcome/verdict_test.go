package wharfoutcome

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNext(t *testing.T) {
	idempotent := Request{Repeatable: true, MaxAttempts: 2}
	once := Request{MaxAttempts: 2}
	resumable := Request{Repeatable: true, Resumable: true, MaxAttempts: 2}
	with := func(r Request, runs, sends int, started bool) Request {
		r.Runs, r.Sends, r.Started = runs, sends, started
		return r
	}
	for _, c := range []struct {
		name    string
		verdict Outcome
		request Request
		want    Action
	}{
		{"unsent request goes elsewhere", NotSent, with(once, 0, 1, false), Retry},
		{"declined request goes elsewhere", Declined, with(once, 0, 1, false), Retry},
		{"misplaced request goes elsewhere", WrongEndpoint, with(once, 0, 1, false), Retry},
		{"declined everywhere is refused as not run", Declined, with(once, 0, 4, false), Refuse},
		{"broken request that may not be repeated is given up", ConnectionLost, with(once, 1, 1, false), GiveUp},
		{"silent request that may not be repeated is given up", TimedOut, with(once, 1, 1, false), GiveUp},
		{"malformed answer to a request that may not be repeated is given up", Malformed, with(once, 1, 1, false), GiveUp},
		{"broken idempotent request is repeated", ConnectionLost, with(idempotent, 1, 1, false), Retry},
		{"broken idempotent request has its attempts", ConnectionLost, with(idempotent, 2, 2, false), GiveUp},
		{"declined after a run is never called not run", Declined, with(idempotent, 1, 5, false), GiveUp},
		{"failure of an idempotent request is repeated", Failed, with(idempotent, 1, 1, false), Retry},
		{"last failure is passed on", Failed, with(idempotent, 2, 2, false), PassThrough},
		{"failure of a request that may not be repeated is passed on", Failed, with(once, 1, 1, false), PassThrough},
		{"begun stream that can be resumed is", ConnectionLost, with(resumable, 1, 1, true), Resume},
		{"begun stream that can not be resumed is cut off", ConnectionLost, with(once, 1, 1, true), CutOff},
		{"begun stream without attempts left is cut off", ConnectionLost, with(resumable, 2, 2, true), CutOff},
		{"caller that left needs nothing", CallerGone, with(idempotent, 1, 1, false), Abandon},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Next(c.verdict, c.request).String(), c.want.String())
		})
	}
}

func TestOnlyWhatSurelyDidNotRunCountsAsNotRun(t *testing.T) {
	notRun := map[Outcome]bool{NotSent: true, Declined: true, WrongEndpoint: true}
	for v := NotSent; v <= CallerGone; v++ {
		assert.Equal(t, v.NotRun(), notRun[v], v.String())
	}
}
