package wharfallocator

import "wagtailwharf.example/wharf/state/wharfpace"

// maxSamples bounds the samples of a reservation: more endpoints than answer a host between two of its calls, and about
// 3 KB.
const maxSamples = 32

// takeSamples returns samples for the allocator of a zone or, with zone "", of this host's own. Samples of a call that fails
// are lost; the next answers bring others.
func (a *Allocator) takeSamples(zone string) []wharfpace.Sample {
	return a.options.Paces.TakeUnsent(zone, maxSamples)
}

func (a *Allocator) receiveSamples(samples []wharfpace.Sample) {
	a.options.Paces.Receive(samples[:min(len(samples), maxSamples)])
}
