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
	c := &collector{maxBytes: 4 << 20}
	event := wharfframes.Event{HasData: true, Raw: append(append([]byte("data: "), bytes.Repeat([]byte("x"), 1<<20)...), '\n', '\n')}
	var err error
	for i := 0; err == nil; i++ {
		assert.Assert(t, i < 100, "events are accepted without end")
		err = c.WriteEvent(event, false)
	}
	assert.Assert(t, errors.Is(err, errOverlong))
	assert.Assert(t, c.overlong && len(c.text) <= c.maxBytes)
}
