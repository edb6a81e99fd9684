package wharfjob

import (
	"strconv"
	"strings"
)

const ownerFields = 4

// OwnerOf returns the owner in the row key of a claim. ok is false if the key is not that of a claim.
func OwnerOf(key string) (owner Owner, ok bool) {
	rest, found := strings.CutPrefix(key, ClaimPrefix)
	if !found {
		return Owner{}, false
	}
	fields := strings.SplitN(rest, "/", ownerFields)
	if len(fields) < ownerFields {
		return Owner{}, false
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Owner{}, false
	}
	return Owner{Zone: fields[0], Host: fields[1], Epoch: epoch}, true
}
