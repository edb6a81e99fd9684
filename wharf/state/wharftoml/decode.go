package wharftoml

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Decode decodes a TOML text into value. Its errors wrap invalid; the error for an unknown key names the line of the
// key.
func Decode(text []byte, value any, invalid error) error {
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(value)
	if err != nil {
		return fmt.Errorf("%w: %v", invalid, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%w: unknown key %q on line %d", invalid, unknown[0].String(), lineOf(text, unknown[0]))
	}
	return nil
}

// lineOf returns the number of the first line that starts with the last part of key, or 0.
func lineOf(text []byte, key toml.Key) int {
	name := key[len(key)-1]
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(strings.TrimLeft(line, " \t["), name) {
			return i + 1
		}
	}
	return 0
}
