package wharftokens

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Text is the text generated for one prompt.
type Text struct {
	sum uint64
}

// TextFor returns the text that every simulated engine generates for prompt.
func TextFor(prompt string) Text {
	return Text{sum: xxhash.Sum64String(prompt)}
}

// Token returns the token at zero-based index i, including its trailing space.
func (t Text) Token(i int) string {
	return fmt.Sprintf("t%x-%d ", t.sum&0xffff, i)
}

// FirstTokens returns the first count tokens, concatenated.
func (t Text) FirstTokens(count int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(t.Token(i))
	}
	return text.String()
}
