package wharfrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the names by descending weight for key (rendezvous hashing, Thaler and Ravishankar 1998).
func Order(key string, names []string) []string {
	order := slices.Clone(names)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return order
}

// First returns the name with the highest weight for key, or "" if names is empty.
func First(key string, names []string) string {
	first := ""
	highest := uint64(0)
	for _, name := range names {
		w := weight(key, name)
		if first == "" || w > highest || (w == highest && name < first) {
			first = name
			highest = w
		}
	}
	return first
}

func weight(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(key)
	digest.WriteString("\x00")
	digest.WriteString(name)
	return digest.Sum64()
}
