package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// clientPatience is how long clients wait for an answer, and clientPause the time between two tries.
const (
	clientPatience = 4 * time.Second
	clientPause    = 500 * time.Millisecond
)

// client is a stand-in of a tenant's batch client. Each call is made on a new connection.
type client struct {
	deployment *deployment
	tenant     string
	http       *http.Client
}

func (d *deployment) client(tenant string) *client {
	return &client{
		deployment: d, tenant: tenant,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// items returns the items of a job on a route.
func items(route, prefix string, count int) []item {
	var list []item
	for i := range count {
		id := fmt.Sprintf("%s%03d", prefix, i)
		list = append(list, item{
			ID: id, Path: "/" + route + "/" + id, Body: []byte("question " + id), Tokens: 500,
			Headers: map[string]string{"Model": "m", wire("token-usage"): "250,250", wire("prompt-prefix"): "5c1e07a2:100," + id + ":150"},
		})
	}
	return list
}

// answer is an answer to a client; status is 0 without one.
type answer struct {
	status int
	body   []byte
}

// call sends a call to a daemon and records what came back.
func (c *client) call(
	ctx context.Context, to *daemon, method, target string, header map[string]string, body []byte,
) answer {
	ctx, cancel := context.WithTimeout(ctx, clientPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+target, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Token "+keyOf(c.tenant))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire("deadline"), fmt.Sprint(clientPatience.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.deployment.record.note("client %s: %s %s at %s: %v", c.tenant, method, target, to.name, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.deployment.record.note("client %s: %s %s at %s: %d, then %v", c.tenant, method, target, to.name, response.StatusCode, err)
		return answer{}
	}
	c.deployment.record.note("client %s: %s %s at %s: %d, %d bytes", c.tenant, method, target, to.name, response.StatusCode, len(data))
	return answer{response.StatusCode, data}
}

// submit submits a batch job to a daemon.
func (c *client) submit(ctx context.Context, to *daemon, route, job string, list []item) answer {
	body, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		return answer{}
	}
	return c.call(ctx, to, http.MethodPost, "/"+route+"/"+job, map[string]string{wire("attempt-id"): job}, body)
}

// result is the result of an item.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// page is an answer to a read of a job.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// readAll reads a job from the start at a daemon and returns all that is listed. ok is false if a read was not answered
// with a page; status is that of the last read.
func (c *client) readAll(ctx context.Context, from *daemon, job string) (results []result, total, status int) {
	for {
		a := c.call(ctx, from, http.MethodGet, fmt.Sprintf("%s%s?after=%d", wire("job-path"), url.PathEscape(job), len(results)), nil, nil)
		var p page
		if a.status != http.StatusOK || json.Unmarshal(a.body, &p) != nil {
			return results, total, a.status
		}
		total = p.Total
		results = append(results, p.Results...)
		if len(p.Results) == 0 || len(results) >= total {
			return results, total, a.status
		}
	}
}

// awaitAll reads a job about twice per second until all of it is listed or the time is up.
func (c *client) awaitAll(
	ctx context.Context, from *daemon, job string, limit time.Duration,
) (results []result, total, status int) {
	for deadline := time.Now().Add(limit); ; pause(ctx, clientPause) {
		results, total, status = c.readAll(ctx, from, job)
		if total > 0 && len(results) >= total || time.Now().After(deadline) || ctx.Err() != nil {
			return results, total, status
		}
	}
}

// resultNames returns the IDs of results, for the record.
func resultNames(results []result) string {
	var list []string
	for _, r := range results {
		list = append(list, r.ID+"="+r.State)
	}
	return strings.Join(list, " ")
}
