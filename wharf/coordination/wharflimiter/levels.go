package wharflimiter

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	// levelUnit is the fraction of a token in which levels are encoded: 16 bits hold up to 4,095 tokens.
	levelUnit = 1.0 / 16
	// levelBytes is the encoded size of one level.
	levelBytes = 2
	// assumedLevel is the level assumed for a host whose levels refer to the organisations of another configuration,
	// for the short time until all hosts have the same one.
	assumedLevel = 0.5
)

// levelCodec encodes levels in the sorted order of the limited organisations. Hosts with the same configuration agree
// on that order, so levels need no names.
type levelCodec struct {
	hash  uint64
	names []string
	index map[string]int
}

func newLevelCodec(organisations []wharfroute.Organisation) *levelCodec {
	c := &levelCodec{index: map[string]int{}}
	for _, o := range organisations {
		if o.Rate > 0 {
			c.names = append(c.names, o.Name)
		}
	}
	slices.Sort(c.names)
	digest := xxhash.New()
	for i, name := range c.names {
		c.index[name] = i
		_, _ = digest.WriteString(name + "\x00") // xxhash never returns an error
	}
	c.hash = digest.Sum64()
	return c
}

// encode returns the levels in the codec's order.
func (c *levelCodec) encode(level func(name string) float64) wharfgossip.Levels {
	tokens := make([]byte, 0, levelBytes*len(c.names))
	for _, name := range c.names {
		units := min(level(name)/levelUnit, math.MaxUint16)
		tokens = binary.BigEndian.AppendUint16(tokens, uint16(max(0, units)))
	}
	return wharfgossip.Levels{OrganisationsHash: c.hash, Tokens: tokens}
}

// decode returns the tokens another host has left in its share of an organisation's bucket.
func (c *levelCodec) decode(levels wharfgossip.Levels, name string) float64 {
	i, known := c.index[name]
	if !known || len(levels.Tokens) == 0 {
		return 0
	}
	if levels.OrganisationsHash != c.hash || len(levels.Tokens) != levelBytes*len(c.names) {
		return assumedLevel
	}
	return levelUnit * float64(binary.BigEndian.Uint16(levels.Tokens[levelBytes*i:]))
}
