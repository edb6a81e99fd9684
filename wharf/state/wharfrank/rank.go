package wharfrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the hosts by descending weight for key (rendezvous hashing, Thaler and Ravishankar 1998).
func Order(key string, hosts []string) []string {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return order
}

// First returns the host with the highest weight for key, or "" if hosts is empty.
func First(key string, hosts []string) string {
	first := ""
	highest := uint64(0)
	for _, h := range hosts {
		w := weight(key, h)
		if first == "" || w > highest || (w == highest && h < first) {
			first = h
			highest = w
		}
	}
	return first
}

func weight(key, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(key)
	digest.WriteString("\x00")
	digest.WriteString(host)
	return digest.Sum64()
}
