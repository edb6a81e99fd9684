package wharfgateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/transport/wharfendpointclient"
)

// TestDifferentCallsHaveDifferentFingerprints guards against a request that gets the stored answer of another one with the
// same idempotency key.
func TestDifferentCallsHaveDifferentFingerprints(t *testing.T) {
	seen := map[string]string{}
	for _, call := range [][3]string{
		{"/a", "b?c", ""}, {"/a?b", "c", ""}, {"/a", "b", "c?d\nbody"}, {"/a?b\nc", "d", "body"},
	} {
		request := &http.Request{Method: "POST", URL: &url.URL{RawQuery: call[1]}}
		c := &serviceCall{request: request, path: call[0], body: []byte(call[2])}
		other, found := seen[c.fingerprint()]
		assert.Assert(t, !found, "%q and %q", call, other)
		seen[c.fingerprint()] = call[0]
	}
}

// TestTooLongResponseIsNotForwarded guards against the first part of a response that is framed as whole.
func TestTooLongResponseIsNotForwarded(t *testing.T) {
	for length, whole := range map[int]bool{maxResponseBytes: true, maxResponseBytes + 1: false} {
		body := io.NopCloser(bytes.NewReader(make([]byte, length)))
		data, err := readResponse(&wharfendpointclient.Response{Body: body})
		assert.Equal(t, err == nil, whole, "%d bytes: %v", length, err)
		assert.Equal(t, errors.Is(err, errResponseTooLong), !whole)
		assert.Assert(t, !whole || len(data) == length)
	}
}
