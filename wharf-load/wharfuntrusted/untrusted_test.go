package wharfuntrusted

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	// crowdSize is the number of clients that send bodies at once: their bodies take twice the daemon's memory.
	crowdSize = 48
	// manyConnections is the number of clients that only connect: with the daemon's own descriptors more than its limit.
	manyConnections = 150
	// clientDeadline is the deadline that clients give, so that the daemon does not end their requests by it.
	clientDeadline = time.Hour
	// shortBy is how many bytes are missing of bodies that stop just short of their end.
	shortBy = 10
)

// legalBody is a body of the largest legal size.
var legalBody = bytes.Repeat([]byte("x"), maxBodyBytes)

// crowd has clients connect and send at the same time, and returns their connections once each has sent all that it sends or
// the daemon has closed its connection. The connections stay open.
func crowd(t *testing.T, clients int, connect func(client int) (net.Conn, error)) []net.Conn {
	t.Helper()
	connections := make([]net.Conn, clients)
	var sending sync.WaitGroup
	for i := range clients {
		sending.Go(func() {
			conn, err := connect(i)
			if err != nil {
				t.Logf("client %d: %v", i, err) // the daemon may close its connection
			}
			connections[i] = conn
		})
	}
	t.Cleanup(func() {
		for _, conn := range connections {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
	sending.Wait()
	return connections
}

// send has a crowd send raw requests with a key.
func (d *daemon) send(key string, request func(client int) wharfstandin.RawRequest) []net.Conn {
	d.t.Helper()
	caller := wharfstandin.NewCaller(callerHost, key)
	return crowd(d.t, crowdSize, func(client int) (net.Conn, error) {
		r := request(client)
		if r.Deadline == 0 {
			r.Deadline = clientDeadline
		}
		return caller.SendRaw(d.callers, fmt.Sprint("untrusted-", key, client), r)
	})
}

// TestAnnouncedBodiesThatStopShort guards against clients that fill the memory with bodies whose end never comes.
func TestAnnouncedBodiesThatStopShort(t *testing.T) {
	d := start(t)
	d.send(key, func(int) wharfstandin.RawRequest {
		return wharfstandin.RawRequest{Target: "/resume/x", Announce: maxBodyBytes, Body: legalBody[shortBy:]}
	})
	d.assertServes()
}

// job returns the body of a batch job of nearly the largest legal size.
func job(t *testing.T, id string) []byte {
	t.Helper()
	const items, itemBytes = 200, 15000 // 20,000 in base64
	const itemTokens = 10               // an endpoint sends as many events
	type item struct {
		ID     string `json:"id"`
		Path   string `json:"path"`
		Body   []byte `json:"body"`
		Tokens int    `json:"tokens"`
	}
	var list []item
	for i := range items {
		list = append(list, item{ID: fmt.Sprint(id, "-", i), Path: "/batch/x", Body: legalBody[:itemBytes], Tokens: itemTokens})
	}
	data, err := json.Marshal(map[string]any{"requests": list})
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxBodyBytes)
	return data
}

// TestLargeBatchJobs guards against clients that fill the memory with batch jobs, a quarter of them whole.
func TestLargeBatchJobs(t *testing.T) {
	d := start(t)
	d.send(key, func(client int) wharfstandin.RawRequest {
		body := job(t, fmt.Sprint("job-", client))
		r := wharfstandin.RawRequest{Target: "/batch/x", Announce: len(body), Body: body}
		if client%4 != 0 {
			r.Body = body[:len(body)-shortBy]
		}
		return r
	})
	d.assertServes()
}

// TestManyLargeBatchJobs guards against batch jobs whose items fill the memory once they are accepted. One client submits
// them, one after the other.
func TestManyLargeBatchJobs(t *testing.T) {
	const jobs = 40
	d := start(t)
	caller := wharfstandin.NewCaller(callerHost, key)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		response := caller.Send(t.Context(), d.callers.String(), "POST", "/batch/x", id, string(job(t, id)))
		assert.Check(t, response.Err == nil && (response.Status == 202 || response.Status == 503), "%d %.200s, %v",
			response.Status, response.Body, response.Err)
	}
	d.assertServes()
}

// TestBatchJobsOfManyParts guards against submissions whose parts take many times their size once they are decoded.
func TestBatchJobsOfManyParts(t *testing.T) {
	for name, body := range map[string]string{
		"items":   `{"requests":[` + strings.Repeat("{},", maxBodyBytes/3-10) + `{}]}`,
		"headers": `{"requests":[{"id":"i","headers":{` + numberedHeaders(300_000) + `"A":""}}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			caller := wharfstandin.NewCaller(callerHost, key)
			for i := range 3 {
				response := caller.Send(t.Context(), d.callers.String(), "POST", "/batch/x", fmt.Sprint("job-", i), body)
				assert.Check(t, response.Err == nil && response.Status >= 400, "%d %v", response.Status, response.Err)
			}
			d.assertServes()
		})
	}
}

// numberedHeaders returns the entries of a JSON object with headers of different names.
func numberedHeaders(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `"H%d":"",`, i)
	}
	return text.String()
}

// TestLargeChunksThatStopShort guards against chunked bodies in large chunks whose end never comes.
func TestLargeChunksThatStopShort(t *testing.T) {
	d := start(t)
	d.send(key, func(int) wharfstandin.RawRequest {
		return wharfstandin.RawRequest{Target: "/resume/x", Chunk: 1 << 20, Body: legalBody}
	})
	d.assertServes()
}

// TestWholeLargeBodies guards against many whole bodies of the largest legal size at once.
func TestWholeLargeBodies(t *testing.T) {
	d := start(t)
	d.send(key, func(int) wharfstandin.RawRequest {
		return wharfstandin.RawRequest{Target: "/resume/x", Announce: maxBodyBytes, Body: legalBody}
	})
	d.assertServes()
}

// TestBodiesThatEndByteByByte guards against bodies that make hardly any progress once most of them has arrived.
func TestBodiesThatEndByteByByte(t *testing.T) {
	const trickled = 200
	d := start(t)
	d.send(key, func(int) wharfstandin.RawRequest {
		return wharfstandin.RawRequest{
			Target: "/resume/x", Announce: maxBodyBytes, Body: legalBody[trickled+shortBy:], Trickle: trickled,
		}
	})
	d.assertServes()
}

// TestEndlessChunkedBodies guards against bodies of 16 times the legal size that are sent without a length.
func TestEndlessChunkedBodies(t *testing.T) {
	d := start(t)
	d.send(key, func(int) wharfstandin.RawRequest {
		return wharfstandin.RawRequest{Target: "/resume/x", Chunk: 1 << 16, Body: legalBody, Repeat: 16}
	})
	d.assertServes()
}

// TestOneByteChunks guards against bodies in chunks of one byte, each of six bytes on the wire, whose end never comes.
func TestOneByteChunks(t *testing.T) {
	d := start(t)
	d.send(key, func(int) wharfstandin.RawRequest {
		return wharfstandin.RawRequest{Target: "/resume/x", Chunk: 1, Body: legalBody[:maxBodyBytes/2]}
	})
	d.assertServes()
}

// TestAnnouncedOversizedBodies guards against clients that announce bodies far over the limit, send little of them and keep
// their connections for as long as they like. Each must be refused and its connection closed, with or without a valid key.
func TestAnnouncedOversizedBodies(t *testing.T) {
	d := start(t)
	var connections []net.Conn
	for _, key := range []string{key, "no-key"} {
		connections = append(connections, d.send(key, func(int) wharfstandin.RawRequest {
			return wharfstandin.RawRequest{Target: "/resume/x", Announce: 16 * maxBodyBytes, Body: legalBody[:1<<16]}
		})...)
	}
	d.assertServes()
	deadline := time.Now().Add(waitLimit)
	for i, conn := range connections {
		assert.NilError(t, conn.SetReadDeadline(deadline))
		response, err := io.ReadAll(conn)
		want := "HTTP/1.1 413 "
		if i >= crowdSize {
			want = "HTTP/1.1 401 "
		}
		assert.Check(t, bytes.HasPrefix(response, []byte(want)), "client %d got %.60q, %v", i, response, err)
		if t.Failed() {
			return
		}
	}
}

// TestLargestRequestsAreServed guards against bounds that refuse a single legal request when there is no other load, at the
// smallest memory limit that the settings allow.
func TestLargestRequestsAreServed(t *testing.T) {
	const smallestMemoryMB = 64
	d := startWith(t, smallestMemoryMB)
	for i, r := range []wharfstandin.RawRequest{
		{Target: "/resume/x", Announce: maxBodyBytes, Body: legalBody},
		{Target: "/resume/x", Chunk: 1 << 16, Body: legalBody, Ends: true},
		{Target: "/resume/x", Chunk: 1000, Body: legalBody[:maxBodyBytes-1], Ends: true},
		{Target: "/batch/x", Announce: len(job(t, "job")), Body: job(t, "job")},
	} {
		r.Deadline = waitLimit
		conn, err := wharfstandin.NewCaller(callerHost, key).SendRaw(d.callers, fmt.Sprint("large-", i), r)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Assert(t, response.StatusCode == 200 || response.StatusCode == 202, "request %d: %s", i, response.Status)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	d.assertServes()
}

// testIdleConnections guards against connections that use up the descriptors, half of them after a request, the others
// without any.
func testIdleConnections(t *testing.T, port func(*daemon) netip.AddrPort) {
	t.Helper()
	d := start(t)
	crowd(t, manyConnections, func(client int) (net.Conn, error) {
		conn, err := net.Dial("tcp", port(d).String())
		if err == nil && client%2 == 0 {
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		return conn, err
	})
	d.assertServes()
}

func TestIdleConnectionsOfCallers(t *testing.T) {
	testIdleConnections(t, func(d *daemon) netip.AddrPort { return d.callers })
}

func TestIdleConnectionsAtReadiness(t *testing.T) {
	testIdleConnections(t, func(d *daemon) netip.AddrPort { return d.readiness })
}

func TestIdleConnectionsAtMetrics(t *testing.T) {
	testIdleConnections(t, func(d *daemon) netip.AddrPort { return d.metrics })
}

// testUnfinishedHeads guards against heads whose end never comes.
func testUnfinishedHeads(t *testing.T, port func(*daemon) netip.AddrPort, size int) {
	t.Helper()
	d := start(t)
	crowd(t, manyConnections, func(int) (net.Conn, error) { return wharfstandin.SendUnfinishedHead(port(d), size) })
	d.assertServes()
}

func TestUnfinishedHeadsOfCallers(t *testing.T) {
	testUnfinishedHeads(t, func(d *daemon) netip.AddrPort { return d.callers }, 16000)
}

// TestUnfinishedHeadsAtReadiness sends heads of nearly net/http's own limit of 1 MB.
func TestUnfinishedHeadsAtReadiness(t *testing.T) {
	testUnfinishedHeads(t, func(d *daemon) netip.AddrPort { return d.readiness }, 1_000_000)
}

// TestUnfinishedHeadsAtMetrics sends heads of nearly net/http's own limit of 1 MB.
func TestUnfinishedHeadsAtMetrics(t *testing.T) {
	testUnfinishedHeads(t, func(d *daemon) netip.AddrPort { return d.metrics }, 1_000_000)
}
