package wharftokens

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Text is the generated text of one prompt.
type Text struct {
	sum uint64
}

// TextFor returns the text that every engine generates for prompt.
func TextFor(prompt string) Text {
	return Text{sum: xxhash.Sum64String(prompt)}
}

// Token returns the token at index i, from 0, with its trailing space.
func (t Text) Token(i int) string {
	return fmt.Sprintf("t%x-%d ", t.sum&0xffff, i)
}

// FirstTokens returns the first count tokens as one string.
func (t Text) FirstTokens(count int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(t.Token(i))
	}
	return text.String()
}
