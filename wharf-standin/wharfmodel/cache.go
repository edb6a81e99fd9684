package wharfmodel

import "github.com/cespare/xxhash/v2"

const prefixBlockBytes = 64

// prefixCache holds the hashes of the most recent prompt prefixes, up to size distinct ones, and evicts the oldest
// first.
type prefixCache struct {
	size          int
	insertions    []uint64
	refCounts     map[uint64]int
	pendingEvents []uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, refCounts: map[uint64]int{}}
}

// matchAndInsert returns the length in bytes of the longest cached prefix of the prompt and caches all blocks of the
// prompt.
func (c *prefixCache) matchAndInsert(prompt string) int {
	cached := 0
	digest := xxhash.New()
	for i := 0; i+prefixBlockBytes <= len(prompt); i += prefixBlockBytes {
		_, _ = digest.WriteString(prompt[i : i+prefixBlockBytes])
		key := digest.Sum64()
		if c.refCounts[key] > 0 && cached == i {
			cached = i + prefixBlockBytes
		}
		c.insert(key)
	}
	return cached
}

func (c *prefixCache) insert(key uint64) {
	c.insertions = append(c.insertions, key)
	c.refCounts[key]++
	c.pendingEvents = append(c.pendingEvents, key)
	for len(c.refCounts) > c.size && len(c.insertions) > 0 {
		oldest := c.insertions[0]
		c.insertions = c.insertions[1:]
		c.refCounts[oldest]--
		if c.refCounts[oldest] == 0 {
			delete(c.refCounts, oldest)
		}
	}
}

// takeEvents returns the prefixes inserted since the last call, but omits every eighth one, as a lossy event
// stream does.
func (c *prefixCache) takeEvents() []uint64 {
	const lossInterval = 8
	events := []uint64{}
	for i, key := range c.pendingEvents {
		if i%lossInterval != lossInterval-1 {
			events = append(events, key)
		}
	}
	c.pendingEvents = nil
	return events
}
