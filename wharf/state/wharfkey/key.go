package wharfkey

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// separator is between the parts of a key; no escaped part contains it.
const separator = "/"

var (
	safe = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,80}$`)
	// hashed is the form of escaped names that are not safe. A name that has this form itself is escaped as well.
	hashed = regexp.MustCompile(`^x-[0-9a-f]{64}$`)
)

// IsEscaped reports whether a name has the form of an escaped name that is not safe.
func IsEscaped(name string) bool {
	return hashed.MatchString(name)
}

// Escape returns name if it is safe as a part of a key, and otherwise "x-" and its hash; the result has at most 80 bytes.
func Escape(name string) string {
	if safe.MatchString(name) && !IsEscaped(name) {
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
	write(digest, contents, names)
	return hex.EncodeToString(digest.Sum(nil))
}

// Sum64 returns a short hash of contents that belong to names, for what may be wrong once in a long time.
func Sum64(contents []byte, names ...string) uint64 {
	digest := xxhash.New()
	write(digest, contents, names)
	return digest.Sum64()
}

// write writes names, each after its length, and contents to a digest.
func write(digest hash.Hash, contents []byte, names []string) {
	for _, name := range names {
		_ = binary.Write(digest, binary.BigEndian, uint64(len(name))) // a hash never returns an error
		digest.Write([]byte(name))
	}
	digest.Write(contents)
}
