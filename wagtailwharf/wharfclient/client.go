package wharfclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wagtailwharf/wharfexit"
)

// Client sends requests to one base URL with one bearer token.
type Client struct {
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// Call describes one HTTP request. Header may be nil.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// JSON sends a request with value as its JSON body and decodes the response into result. Both may be nil. It returns
// the errors of Do.
func (c *Client) JSON(ctx context.Context, method, path string, header http.Header, value, result any) error {
	call := Call{Method: method, Path: path, Header: http.Header{}}
	if value != nil {
		body, err := json.Marshal(value)
		if err != nil {
			return trace.Wrap(err)
		}
		call.Body = body
		call.Header.Set("Content-Type", "application/json")
	}
	for name, values := range header {
		call.Header[name] = values
	}
	response, err := c.Do(ctx, call)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if result == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, result))
}

// Do sends a request and returns a response with a status below 400, whose body the caller must close. It returns a
// *wharfexit.Error with the matching exit code if the host is unreachable or answers with an error status.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, strings.TrimSuffix(c.BaseURL, "/")+call.Path,
		bytes.NewReader(call.Body))
	if err != nil {
		return nil, wharfexit.New(wharfexit.Usage, err, "check the URL given by --callers or --operators")
	}
	if call.Header != nil {
		request.Header = call.Header
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, wharfexit.New(wharfexit.Unknown, err, "check that the host is up, or use another host")
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer func() { _ = response.Body.Close() }()
		return nil, refusalError(response)
	}
	return response, nil
}

// refusal is the JSON body of an error response.
type refusal struct {
	Error struct {
		Message  string `json:"message"`
		Code     string `json:"code"`
		RunState string `json:"run-state"`
	} `json:"error"`
}

// refusalError converts an error response into a *wharfexit.Error. The hint tells when to retry, if the host says so.
func refusalError(response *http.Response) error {
	const limit = 1 << 20
	data, _ := io.ReadAll(io.LimitReader(response.Body, limit))
	var r refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Code == "" {
		return wharfexit.New(wharfexit.Failure,
			fmt.Errorf("the host answered with status %s: %s", response.Status, bytes.TrimSpace(data)), "")
	}
	hint := ""
	if after := response.Header.Get("Retry-After"); after != "" {
		hint = "retry in " + after + " s"
	}
	err := errors.New(r.Error.Code + ": " + r.Error.Message)
	return wharfexit.New(wharfexit.CodeForStatus(response.StatusCode, r.Error.RunState), err, hint)
}
