package wharfstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/transport/wharfbody"
)

const (
	zoneHeader          = "Wharf-Availability-Zone"
	callTimeout         = 3 * time.Second
	objectTimeout       = 30 * time.Second
	firstBackoff        = 50 * time.Millisecond
	maxBackoff          = time.Second
	maxIdleConnsPerHost = 64
	// maxAnswerBytes bounds an answer: the largest object is a chunk of 256 lines of 1 MiB.
	maxAnswerBytes = 256 << 20
)

// Client accesses the platform's stores for one daemon. It implements wharfstorage.Storage.
type Client struct {
	base string
	zone string
	http *http.Client
}

// HostState is an entry of the platform's host list, which lags behind. State is "live" or "leaving".
type HostState struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// New returns a client of the platform at the URL base for a daemon in zone.
func New(base, zone string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute}
	return &Client{base: base, zone: zone, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get returns the row with the given key; its version is 0 if there is none.
func (c *Client) Get(ctx context.Context, key string) (wharfrow.Row, error) {
	var row wharfrow.Row
	err := c.read(ctx, "/table/row?key="+url.QueryEscape(key), &row)
	return row, trace.Wrap(err)
}

// Scan returns up to limit rows whose keys start with prefix and sort after the key after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]wharfrow.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []wharfrow.Row
	err := c.read(ctx, "/table/scan?"+query.Encode(), &rows)
	return rows, trace.Wrap(err)
}

// Hosts returns the platform's list of hosts, which lags behind.
func (c *Client) Hosts(ctx context.Context) ([]HostState, error) {
	var hosts []HostState
	err := c.read(ctx, "/hosts", &hosts)
	return hosts, trace.Wrap(err)
}

// Commit applies a commit. After a lost reply it retries, and determines the outcome by reading which commit wrote the
// rows. It returns wharfrow.ErrUnknown only if ctx ends before the outcome is known.
func (c *Client) Commit(ctx context.Context, commit wharfrow.Commit) error {
	body, err := json.Marshal(commit)
	if err != nil {
		return trace.Wrap(err)
	}
	uncertain := false
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := c.send(ctx, http.MethodPost, "/table/commit", body, nil, callTimeout)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, wharfrow.ErrConflict) && uncertain:
			return trace.Wrap(c.settle(ctx, commit))
		case errors.Is(err, wharfrow.ErrUnknown):
			uncertain = true
		case !uncertain:
			return trace.Wrap(err)
		}
		if !wharfpause.For(ctx, backoff) {
			return trace.Wrap(wharfrow.ErrUnknown)
		}
	}
}

// settle determines whether an earlier attempt of the commit took effect: nil if so, wharfrow.ErrConflict if not.
func (c *Client) settle(ctx context.Context, commit wharfrow.Commit) error {
	for _, write := range commit.Writes {
		if write.Delete {
			continue
		}
		row, err := c.getUntilKnown(ctx, write.Key)
		if err != nil {
			return trace.Wrap(err)
		}
		if row.Writer == commit.ID {
			return nil
		}
	}
	return trace.Wrap(wharfrow.ErrConflict)
}

func (c *Client) getUntilKnown(ctx context.Context, key string) (wharfrow.Row, error) {
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		row, err := c.Get(ctx, key)
		if err == nil {
			return row, nil
		}
		if !wharfpause.For(ctx, backoff) {
			return row, trace.Wrap(wharfrow.ErrUnknown)
		}
	}
}

// PutObject stores an object; repeating it is idempotent.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	return trace.Wrap(c.send(ctx, http.MethodPut, "/objects/"+key, data, nil, objectTimeout))
}

// GetObject returns an object, or wharfrow.ErrNotFound.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := c.send(ctx, http.MethodGet, "/objects/"+key, nil, &data, objectTimeout)
	return data, trace.Wrap(err)
}

func (c *Client) read(ctx context.Context, path string, value any) error {
	var data []byte
	if err := c.send(ctx, http.MethodGet, path, nil, &data, callTimeout); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(data, value))
}

func (c *Client) send(
	ctx context.Context, method, path string, body []byte, result *[]byte, timeout time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set(zoneHeader, c.zone)
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(outcomeUnknown(err))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := wharfbody.ReadResponse(response, maxAnswerBytes)
	if err != nil {
		return trace.Wrap(outcomeUnknown(err))
	}
	if result != nil {
		*result = data
	}
	return trace.Wrap(statusError(response.StatusCode, data))
}

// outcomeUnknown marks an error after which the request may or may not have taken effect.
func outcomeUnknown(err error) error {
	return fmt.Errorf("%w: %v", wharfrow.ErrUnknown, err)
}

func statusError(status int, data []byte) error {
	switch {
	case !wharfcall.IsFinalStatus(status):
		return outcomeUnknown(fmt.Errorf("platform responded with invalid status %03d", status))
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return wharfrow.ErrConflict
	case status == http.StatusNotFound:
		return wharfrow.ErrNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return wharfrow.ErrUnavailable
	}
	return fmt.Errorf("platform responded with status %d: %s", status, data)
}
