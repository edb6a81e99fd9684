package wharfcrash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requestOf returns a request that is like no other but for the parts.
func requestOf(n int, parts ...string) Request {
	return NewRequest("a", "/x", fmt.Append(nil, n), parts)
}

// step is a crash of an endpoint under a request, or an answer to it.
type step struct {
	endpoint uint64 // 0 for an answer
	request  Request
}

func crash(endpoint uint64, n int, parts ...string) step {
	return step{endpoint, requestOf(n, parts...)}
}
func answer(n int, parts ...string) step { return step{0, requestOf(n, parts...)} }

var blockCases = []struct {
	name    string
	steps   []step
	blocked []Request
	allowed []Request
}{
	{
		"a part in requests that are not alike",
		[]step{crash(1, 1, "first", "bad"), crash(2, 2, "first", "bad"), crash(3, 3, "first", "bad")},
		[]Request{requestOf(4, "first", "bad"), requestOf(5, "other", "bad", "more")},
		[]Request{requestOf(6, "first"), requestOf(7, "first", "good")},
	},
	{
		"the first part, with others after it",
		[]step{crash(1, 1, "bad", "x"), crash(2, 2, "bad", "y"), crash(3, 3, "bad", "z")},
		[]Request{requestOf(4, "bad", "w")},
		[]Request{requestOf(5, "other", "x"), requestOf(6, "y")},
	},
	{
		"a part whose requests are reported after sound ones of the same endpoints",
		[]step{
			crash(1, 1, "first"), crash(1, 11, "first", "bad"), crash(2, 2, "first"), crash(2, 12, "first", "bad"),
			crash(3, 3, "first"), crash(3, 13, "first", "bad"),
		},
		[]Request{requestOf(4, "first", "bad")}, []Request{requestOf(5, "first")},
	},
	{
		"two crashes are not enough",
		[]step{crash(1, 1, "first", "bad"), crash(2, 2, "first", "bad")},
		nil, []Request{requestOf(4, "first", "bad")},
	},
	{
		"one endpoint counts once, with all its requests",
		[]step{crash(1, 1, "first"), crash(1, 2, "first"), crash(1, 3, "first"), crash(1, 4, "first")},
		nil, []Request{requestOf(5, "first")},
	},
	{
		"one request again and again is blocked itself",
		[]step{crash(1, 1, "first", "x"), crash(2, 1, "first", "x"), crash(3, 1, "first", "x")},
		[]Request{requestOf(1, "first", "x")}, []Request{requestOf(2, "first", "x")},
	},
	{
		"requests with a part, each resent until it is blocked itself",
		[]step{
			crash(1, 1, "first", "bad"), crash(2, 1, "first", "bad"), crash(3, 1, "first", "bad"),
			crash(4, 2, "first", "bad"),
		},
		[]Request{requestOf(1, "first", "bad"), requestOf(3, "first", "bad")}, []Request{requestOf(4, "first")},
	},
	{
		"a part beside a sound request that was there each time",
		[]step{
			crash(1, 1, "rare"), crash(1, 11, "bad"), crash(2, 1, "rare"), crash(2, 12, "bad"), crash(3, 1, "rare"),
			crash(3, 13, "bad"),
		},
		[]Request{requestOf(4, "bad"), requestOf(1, "rare")}, []Request{requestOf(2, "rare")},
	},
	{
		"random crashes, with answers between them",
		[]step{
			crash(1, 1, "first"), crash(2, 2, "first"), answer(3, "first"), crash(3, 4, "first"), crash(4, 5, "first"),
		},
		nil, []Request{requestOf(6, "first")},
	},
	{
		"a part that has been answered needs more crashes",
		[]step{answer(0, "first"), crash(1, 1, "first"), crash(2, 2, "first"), crash(3, 3, "first"), crash(4, 4, "first")},
		nil, []Request{requestOf(5, "first")},
	},
	{
		"a part that has been answered can turn bad",
		[]step{
			answer(0, "first"), crash(1, 1, "first"), crash(2, 2, "first"), crash(3, 3, "first"), crash(4, 4, "first"),
			crash(5, 5, "first"),
		},
		[]Request{requestOf(6, "first")}, nil,
	},
	{
		"requests beside one with a blocked part are not blamed",
		[]step{
			crash(1, 1, "rare"), crash(1, 11, "bad"), crash(2, 2, "rare"), crash(2, 12, "bad"), crash(3, 13, "bad"),
			crash(3, 3, "rare"), crash(4, 14, "bad"), crash(4, 4, "rare"),
		},
		[]Request{requestOf(5, "bad")}, []Request{requestOf(6, "rare")},
	},
	{
		"an answer clears a blocked part",
		[]step{crash(1, 1, "bad"), crash(2, 2, "bad"), crash(3, 3, "bad"), answer(4, "bad")},
		nil, []Request{requestOf(5, "bad")},
	},
}

func TestBlockedIdentityIsTheOneThatExplainsTheCrashes(t *testing.T) {
	for _, test := range blockCases {
		t.Run(test.name, func(t *testing.T) {
			tracker, now := New(), time.Now()
			for _, s := range test.steps {
				if s.endpoint == 0 {
					tracker.Answered(s.request, now)
					continue
				}
				tracker.Record(Crash{Endpoint: s.endpoint, Request: s.request}, now)
				now = now.Add(time.Millisecond)
			}
			tracker.Settle(now.Add(SettleTime))
			for _, r := range test.blocked {
				_, blocked := tracker.Blocked(r, now)
				assert.Check(t, blocked)
				_, blocked = tracker.Blocked(r, now.Add(entryTTL))
				assert.Check(t, !blocked, "not forgotten")
			}
			for _, r := range test.allowed {
				_, blocked := tracker.Blocked(r, now)
				assert.Check(t, !blocked)
			}
		})
	}
}

// TestTrialsClearWrongVerdictsAndAreFew: five crashes and all trials of ten minutes add up to at most eight runs.
func TestTrialsClearWrongVerdictsAndAreFew(t *testing.T) {
	tracker, start := New(), time.Now()
	bad := requestOf(0, "bad")
	for endpoint := range uint64(5) {
		tracker.Record(Crash{Endpoint: endpoint, Request: requestOf(int(endpoint), "bad")}, start)
	}
	verdicts, pending := tracker.Settle(start.Add(SettleTime - 1))
	assert.Assert(t, len(verdicts) == 0 && pending)
	verdicts, pending = tracker.Settle(start.Add(SettleTime))
	assert.Assert(t, len(verdicts) == 1 && !pending)
	trials := 0
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(time.Second) {
		if tracker.TakeTrial(bad.Parts[0], true, now) {
			tracker.Record(Crash{Endpoint: uint64(100 + trials), Request: bad}, now)
			trials++
		}
	}
	assert.Assert(t, trials >= 1 && trials <= 3, "%d trials", trials)

	wrong := New()
	for endpoint := range uint64(3) {
		wrong.Record(Crash{Endpoint: endpoint, Request: requestOf(int(endpoint), "bad")}, start)
	}
	wrong.Settle(start.Add(SettleTime))
	assert.Assert(t, !wrong.TakeTrial(bad.Parts[0], true, start.Add(firstTrialDelay-time.Second)))
	assert.Assert(t, !wrong.TakeTrial(bad.Parts[0], false, start.Add(firstTrialDelay)), "another host makes the trials")
	assert.Assert(t, wrong.TakeTrial(bad.Parts[0], true, start.Add(firstTrialDelay)))
	assert.Assert(t, !wrong.TakeTrial(bad.Parts[0], true, start.Add(firstTrialDelay)), "one at a time")
	assert.Assert(t, wrong.TakeTrial(bad.Parts[0], false, start.Add(5*firstTrialDelay)), "this host missed what came of it")
	assert.Equal(t, len(wrong.Answered(bad, start)), 1)
	_, blocked := wrong.Blocked(bad, start)
	assert.Assert(t, !blocked)
}

func TestVerdictsOfOtherHostsHold(t *testing.T) {
	tracker, now := New(), time.Now()
	bad := requestOf(1, "bad")
	for n := range 3 {
		tracker.Record(Crash{Endpoint: uint64(n), Request: requestOf(n, "first", "other")}, now)
	}
	tracker.Block(Verdict{Identity: requestOf(0, "other").Parts[0], Crashes: 3, At: now}, now)
	verdicts, _ := tracker.Settle(now.Add(SettleTime))
	assert.Equal(t, len(verdicts), 0, "the other host's verdict explains the crashes")
	tracker = New()
	tracker.Block(Verdict{Identity: bad.Parts[0], Crashes: 4, At: now}, now)
	verdict, blocked := tracker.Blocked(requestOf(2, "bad"), now)
	assert.Assert(t, blocked && verdict.Crashes == 4)
	assert.Equal(t, len(tracker.Verdicts()), 1)
	tracker.Clear(bad.Parts)
	tracker.Block(Verdict{Identity: bad.Parts[0], At: now.Add(-entryTTL)}, now)
	_, blocked = tracker.Blocked(bad, now)
	assert.Assert(t, !blocked, "an old verdict does not hold")
	tracker.Answered(bad, now)
	assert.Assert(t, tracker.Block(Verdict{Identity: bad.Parts[0], At: now.Add(-time.Second)}, now), "refuted")
	_, blocked = tracker.Blocked(bad, now)
	assert.Assert(t, !blocked, "an answer has begun since")
}
