package wharfallocator

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpace"
)

// withPaces gives each host but h3, which is of an older build or has the setting off, paces of its own.
func (z *zoneFleet) withPaces() map[string]*wharfpace.Paces {
	paces := map[string]*wharfpace.Paces{}
	for name, h := range z.hosts {
		if name != "h3" {
			paces[name] = wharfpace.New(map[bool]string{true: "far", false: "near"}[name == "f0"])
			h.options.Paces = paces[name]
		}
	}
	return paces
}

// answered has a host observe two answers on a placement's endpoint and release the slot.
func answered(p *wharfpace.Paces, placement *wharffleet.Placement) {
	p.Learn(placement.Sample(300, time.Second))
	p.Learn(placement.Sample(300, time.Second))
	placement.Release()
}

// TestAllocatorsLearnWhatOtherHostsObserve guards against allocators that place by what they alone have seen: a host tells
// the allocator that it asks, and that one tells the allocators of the endpoint's zone.
func TestAllocatorsLearnWhatOtherHostsObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		paces := z.withPaces()
		first, second := z.mustAcquire("h2", "near"), z.mustAcquire("h2", "near")
		elsewhere := z.mustAcquire("h2", "far")
		answered(paces["h2"], first)
		answered(paces["h2"], elsewhere)
		z.report("h2")
		z.mustAcquire("h2", "near")
		assert.Equal(t, paces["h0"].Stats().Estimates, 2)
		assert.Equal(t, paces["f0"].Stats().Estimates, 0)
		z.mustAcquire("h3", "far")
		assert.Equal(t, paces["f0"].Stats().Estimates, 1, "told with the next forwarded request")
		assert.Equal(t, paces["h1"].Stats().Estimates, 0)
		answered(paces["h2"], second)
		z.report("h2")
		z.down["h0"] = errDown
		_, err := z.acquire("h2", 0)
		assert.NilError(t, err, "an allocator that knows no paces grants slots")
		_, err = z.acquire("h2", 0)
		assert.NilError(t, err)
	})
}

// TestReservationsHoldFewSamples guards against calls that grow with the number of endpoints, and against callers that send
// more.
func TestReservationsHoldFewSamples(t *testing.T) {
	z := newZoneFleet(t)
	paces := z.withPaces()
	var samples []wharfpace.Sample
	for i := range 10 * maxSamples {
		s := wharfpace.Sample{Service: "s", Endpoint: fmt.Sprint("i-0123456789-", i), Zone: "zone-0123456789", Gaps: 400, Span: time.Second}
		samples = append(samples, s)
		paces["h2"].Learn(s)
	}
	var message bytes.Buffer
	taken := z.hosts["h2"].takeSamples("")
	assert.Equal(t, len(taken), maxSamples)
	assert.NilError(t, gob.NewEncoder(&message).Encode(Reservation{Paces: taken}))
	assert.Assert(t, message.Len() < 4096, "%d bytes", message.Len())
	z.hosts["h0"].receiveSamples(samples)
	assert.Equal(t, paces["h0"].Stats().Estimates, maxSamples)
	z.hosts["h3"].receiveSamples(samples)
	assert.Equal(t, len(z.hosts["h3"].takeSamples("")), 0)
}
