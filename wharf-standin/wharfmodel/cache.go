package wharfmodel

import "github.com/cespare/xxhash/v2"

const prefixBytes = 64

// prefixCache holds the most recent prompt prefixes, in memory that is limited.
type prefixCache struct {
	size   int
	order  []uint64
	held   map[uint64]int
	recent []uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, held: map[uint64]int{}}
}

// hit returns how many bytes of the prompt were cached and caches all of it.
func (c *prefixCache) hit(prompt string) int {
	cached := 0
	digest := xxhash.New()
	for i := 0; i+prefixBytes <= len(prompt); i += prefixBytes {
		_, _ = digest.WriteString(prompt[i : i+prefixBytes])
		key := digest.Sum64()
		if c.held[key] > 0 && cached == i {
			cached = i + prefixBytes
		}
		c.add(key)
	}
	return cached
}

func (c *prefixCache) add(key uint64) {
	c.order = append(c.order, key)
	c.held[key]++
	c.recent = append(c.recent, key)
	for len(c.held) > c.size && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.held[oldest]--
		if c.held[oldest] == 0 {
			delete(c.held, oldest)
		}
	}
}

// events returns the prefixes cached since the last call, without every eighth one.
func (c *prefixCache) events() []uint64 {
	const gap = 8
	events := []uint64{}
	for i, key := range c.recent {
		if i%gap != gap-1 {
			events = append(events, key)
		}
	}
	c.recent = nil
	return events
}
