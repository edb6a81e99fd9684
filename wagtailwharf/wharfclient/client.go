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

// Client calls one base URL with one bearer token.
type Client struct {
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// Call is one HTTP call; Header may be nil.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// JSON makes a call with value, if not nil, as its JSON body and decodes the answer into result, if not nil.
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

// Do makes a call and returns an answer that is not a refusal; its body must be closed.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, strings.TrimSuffix(c.BaseURL, "/")+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, wharfexit.New(wharfexit.Usage, err, "check the URL that --callers or --operators gives")
	}
	if call.Header != nil {
		request.Header = call.Header
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, wharfexit.New(wharfexit.Unknown, err, "check that the host is up, or name another one")
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer func() { _ = response.Body.Close() }()
		return nil, refused(response)
	}
	return response, nil
}

type refusal struct {
	Error struct {
		Message  string `json:"message"`
		Code     string `json:"code"`
		RunState string `json:"run-state"`
	} `json:"error"`
}

func refused(response *http.Response) error {
	const limit = 1 << 20
	data, _ := io.ReadAll(io.LimitReader(response.Body, limit))
	var r refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Code == "" {
		return wharfexit.New(wharfexit.Failure, fmt.Errorf("the host answered %s: %s", response.Status, bytes.TrimSpace(data)), "")
	}
	hint := ""
	if after := response.Header.Get("Retry-After"); after != "" {
		hint = "come back in " + after + " s"
	}
	err := errors.New(r.Error.Code + ": " + r.Error.Message)
	return wharfexit.New(wharfexit.CodeForStatus(response.StatusCode, r.Error.RunState), err, hint)
}
