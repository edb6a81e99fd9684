package wharfuntrusted

import (
	"fmt"
	"net"
	"testing"

	"wagtailwharf.example/platform/wharfstandin"
)

// TestAllKindsAtOnce guards against parts of the memory that each keep to their bound and together exceed the limit: accepted
// jobs, bodies that stop short, whole ones, small ones, heads and idle connections, over several rounds.
func TestAllKindsAtOnce(t *testing.T) {
	const rounds = 3
	d := start(t)
	caller := wharfstandin.NewCaller(callerHost, key)
	for round := range rounds {
		for i := range 5 {
			id := fmt.Sprintf("job-%d-%d", round, i)
			caller.Send(t.Context(), d.callers.String(), "POST", "/batch/x", id, string(job(t, id)))
		}
		d.send(key, func(client int) wharfstandin.RawRequest {
			return []wharfstandin.RawRequest{
				{Target: "/resume/x", Announce: maxBodyBytes, Body: legalBody[shortBy:]},
				{Target: "/resume/x", Chunk: 1 << 16, Body: legalBody},
				{Target: "/resume/x", Announce: maxBodyBytes, Body: legalBody},
				{Target: "/resume/x", Announce: 16000, Body: legalBody[:16000-shortBy]},
			}[client%4]
		})
		crowd(t, manyConnections, func(client int) (net.Conn, error) {
			return wharfstandin.SendUnfinishedHead(d.callers, client%2*16000)
		})
	}
	d.assertServes()
}
