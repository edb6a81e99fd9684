package wharfjobexecutor

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/protocol/wharfframes"
)

// TestItemOutputIsBounded guards against an endpoint that sends events of an item without end.
func TestItemOutputIsBounded(t *testing.T) {
	c := &collector{executor: New(nil, 100<<20), maxBytes: 4 << 20}
	event := wharfframes.Event{HasData: true, Raw: append(append([]byte("data: "), bytes.Repeat([]byte("x"), 1<<20)...), '\n', '\n')}
	var err error
	for i := 0; err == nil; i++ {
		assert.Assert(t, i < 100, "events are accepted without end")
		err = c.WriteEvent(event, false)
	}
	assert.Assert(t, errors.Is(err, errOverlong))
	assert.Assert(t, c.overlong && len(c.text) <= c.maxBytes)
}

// TestOutputsOfAllAttemptsAreBounded guards against a host that runs out of memory because endpoints send events without end for
// many items at once, and against small outputs that are dropped for it.
func TestOutputsOfAllAttemptsAreBounded(t *testing.T) {
	const budget, attempts = 1 << 20, 50
	e := New(nil, budget)
	event := func(size int) wharfframes.Event {
		return wharfframes.Event{HasData: true, Raw: append(append([]byte("data: "), bytes.Repeat([]byte("x"), size)...), '\n', '\n')}
	}
	kept := 0
	for range attempts {
		c := &collector{executor: e, maxBytes: 4 << 20}
		for c.WriteEvent(event(10_000), false) == nil {
			assert.Assert(t, len(c.text) <= 4<<20)
		}
		kept += len(c.text)
	}
	assert.Assert(t, kept <= budget+attempts*smallOutputBytes, "%d bytes are kept", kept)
	small := &collector{executor: e, maxBytes: 4 << 20}
	for range 200 {
		assert.NilError(t, small.WriteEvent(event(100), false))
	}
}

// TestItemHasNoMoreEventsThanTokens guards against events without end that have the right numbers.
func TestItemHasNoMoreEventsThanTokens(t *testing.T) {
	c := &collector{executor: New(nil, 1<<20), maxBytes: 1 << 20, maxEvents: 3}
	event := wharfframes.Event{HasData: true, Raw: []byte("data: x\n\n")}
	for range 3 {
		assert.NilError(t, c.WriteEvent(event, false))
	}
	assert.Assert(t, errors.Is(c.WriteEvent(event, false), errOverlong))
}
