package wharfdelta

import "errors"

// ErrMismatch means that a delta was made from another text.
var ErrMismatch = errors.New("delta does not apply to this text")

// Delta replaces the middle of a text between a common prefix and suffix, whose lengths are in bytes.
type Delta struct {
	Prefix int
	Suffix int
	Middle []byte
}

// Between returns the delta that turns from into to.
func Between(from, to []byte) Delta {
	limit := min(len(from), len(to))
	prefix := 0
	for prefix < limit && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: to[prefix : len(to)-suffix]}
}

// Apply returns the text that results from applying the delta to from. It returns ErrMismatch if the prefix and suffix
// exceed from; it does not detect other texts that the delta was not made from.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(from)-d.Suffix {
		return nil, ErrMismatch
	}
	to := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	to = append(to, from[:d.Prefix]...)
	to = append(to, d.Middle...)
	return append(to, from[len(from)-d.Suffix:]...), nil
}
