package wharfkey

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strings"
)

// separator is between the parts of a key; no escaped part contains it.
const separator = "/"

var (
	safe = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,80}$`)
	// hashed is the form of escaped names that are not safe. A name that has this form itself is escaped as well.
	hashed = regexp.MustCompile(`^x-[0-9a-f]{64}$`)
)

// Escape returns name if it is safe as a part of a key, and otherwise "x-" and its hash; the result has at most 80 bytes.
func Escape(name string) string {
	if safe.MatchString(name) && !hashed.MatchString(name) {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return "x-" + hex.EncodeToString(sum[:])
}

// Join returns a key of several names.
func Join(names ...string) string {
	escaped := make([]string, len(names))
	for i, name := range names {
		escaped[i] = Escape(name)
	}
	return strings.Join(escaped, separator)
}

// Hash returns a name for contents that belong to names: other names or other contents never have the same one.
func Hash(contents []byte, names ...string) string {
	digest := sha256.New()
	for _, name := range names {
		_ = binary.Write(digest, binary.BigEndian, uint64(len(name))) // a hash never returns an error
		digest.Write([]byte(name))
	}
	digest.Write(contents)
	return hex.EncodeToString(digest.Sum(nil))
}
