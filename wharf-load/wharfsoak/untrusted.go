package wharfsoak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// untrustedInterval is the mean interval between requests of the untrusted client of each host, and untrustedHold how long
	// it keeps a connection open at most.
	untrustedInterval = 2 * time.Second
	untrustedHold     = 4 * time.Second
	// largestBody is the limit of a body in the configuration of the soak.
	largestBody = 4 << 20
)

// untrustedRequest returns a request that the daemon must refuse or give up: its body stops short of its end or is too large.
func (t *traffic) untrustedRequest() wharfstandin.RawRequest {
	r := wharfstandin.RawRequest{
		Target: "/resume/untrusted", Deadline: time.Hour, Timeout: untrustedHold, Body: bytes.Repeat([]byte("x"), largestBody-1),
	}
	switch t.randomInt(5) {
	case 0:
		r.Announce = largestBody
	case 1:
		r.Chunk = 1 << (10 + t.randomInt(11))
	case 2:
		r.Chunk, r.Body = 1, r.Body[:1<<16]
	case 3:
		r.Announce, r.Body = 16*largestBody, r.Body[:1<<16]
	case 4:
		r.Repeat = 3
	}
	return r
}

// misuse sends untrusted requests and unfinished heads to a host until ctx is done. It checks nothing: the daemon must
// live on and serve all others.
func (t *traffic) misuse(ctx context.Context, h *host) {
	address, err := netip.ParseAddrPort(h.callerAddress)
	if err != nil {
		return
	}
	caller := t.system.caller(unlimitedKey)
	for wharfpause.For(ctx, untrustedInterval/2+time.Duration(t.randomInt(int(untrustedInterval)))) {
		var conn net.Conn
		if t.randomInt(4) == 0 {
			conn, _ = wharfstandin.SendUnfinishedHead(address, t.randomInt(1<<15))
		} else {
			r := t.untrustedRequest()
			conn, _ = caller.SendRaw(address, fmt.Sprint("untrusted-", t.lastID.Add(1)), r)
		}
		if conn == nil {
			continue // the host is down
		}
		wharfpause.For(ctx, time.Duration(t.randomInt(int(untrustedHold))))
		_ = conn.Close()
	}
}
