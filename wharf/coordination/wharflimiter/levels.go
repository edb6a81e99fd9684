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
	// levelUnit is the part of a token in which hosts tell each other their levels: sixteen bits hold up to 4,095 tokens.
	levelUnit = 1.0 / 16
	// levelBytes is the size of one level.
	levelBytes = 2
	// guessedLevel is what a host is taken to have whose levels count organisations of another configuration, for the
	// short time until all have the same one.
	guessedLevel = 0.5
)

// roll is the order in which hosts with the same configuration count the limited organisations, so that levels need no
// names.
type roll struct {
	mark  uint64
	names []string
	index map[string]int
}

func newRoll(organisations []wharfroute.Organisation) *roll {
	r := &roll{index: map[string]int{}}
	for _, o := range organisations {
		if o.Rate > 0 {
			r.names = append(r.names, o.Name)
		}
	}
	slices.Sort(r.names)
	digest := xxhash.New()
	for i, name := range r.names {
		r.index[name] = i
		_, _ = digest.WriteString(name + "\x00") // a hash takes everything
	}
	r.mark = digest.Sum64()
	return r
}

// pack returns the levels in the roll's order.
func (r *roll) pack(level func(name string) float64) wharfgossip.Levels {
	tokens := make([]byte, 0, levelBytes*len(r.names))
	for _, name := range r.names {
		units := min(level(name)/levelUnit, math.MaxUint16)
		tokens = binary.BigEndian.AppendUint16(tokens, uint16(max(0, units)))
	}
	return wharfgossip.Levels{OrganisationsHash: r.mark, Tokens: tokens}
}

// read returns what another host has left of its part of an organisation's burst.
func (r *roll) read(levels wharfgossip.Levels, name string) float64 {
	i, known := r.index[name]
	if !known || len(levels.Tokens) == 0 {
		return 0
	}
	if levels.OrganisationsHash != r.mark || len(levels.Tokens) != levelBytes*len(r.names) {
		return guessedLevel
	}
	return levelUnit * float64(binary.BigEndian.Uint16(levels.Tokens[levelBytes*i:]))
}
