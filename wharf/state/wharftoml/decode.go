package wharftoml

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Decode reads a TOML text into value; errors wrap invalid, and that of an unknown key names its line.
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

func lineOf(text []byte, key toml.Key) int {
	name := key[len(key)-1]
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(strings.TrimLeft(line, " \t["), name) {
			return i + 1
		}
	}
	return 0
}
