package wharfbundle

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

const fileMode = 0o644

// Read returns the text of a bundle file and the parsed and validated bundle.
func Read(path string) ([]byte, *wharfconfig.Bundle, error) {
	if path == "" {
		return nil, nil, wharfexit.UsageError("no bundle file given", "give the TOML file that holds the configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, wharfexit.New(wharfexit.Usage, err, "give the TOML file that holds the configuration")
	}
	bundle, err := wharfconfig.Parse(text)
	if err != nil {
		return nil, nil, wharfexit.New(wharfexit.Failure, err, "fix "+path+" and run config validate")
	}
	return text, bundle, nil
}

// Write replaces the content of a bundle file. It returns an error and leaves the file unchanged if text is not a valid
// bundle.
func Write(path string, text []byte) error {
	if _, err := wharfconfig.Parse(text); err != nil {
		return wharfexit.New(wharfexit.Failure, err, path+" was not changed")
	}
	return os.WriteFile(path, text, fileMode)
}

// AppendTable returns text followed by a blank line and the table.
func AppendTable(text []byte, table string) []byte {
	return []byte(strings.TrimRight(string(text), "\n") + "\n\n" + table)
}

// ErrTableNotFound is returned if a bundle has no matching table.
var ErrTableNotFound = errors.New("no such table")

// RemoveTable returns text without the first [[header]] table whose field equals value, or ErrTableNotFound.
func RemoveTable(text []byte, header, field, value string) ([]byte, error) {
	lines := strings.Split(string(text), "\n")
	start, end := findTable(lines, header, field, value)
	if start < 0 {
		return nil, fmt.Errorf("%w: [[%s]] with %s = %q", ErrTableNotFound, header, field, value)
	}
	remaining := append(lines[:start:start], lines[end:]...)
	return []byte(strings.Join(remaining, "\n")), nil
}

// SetField returns text in which field of the [[header]] table with the given name is set to value. It adds the field
// if the table lacks it, and returns ErrTableNotFound if there is no such table.
func SetField(text []byte, header, name, field, value string) ([]byte, error) {
	lines := strings.Split(string(text), "\n")
	start, end := findTable(lines, header, "name", name)
	if start < 0 {
		return nil, fmt.Errorf("%w: [[%s]] with name = %q", ErrTableNotFound, header, name)
	}
	line := fmt.Sprintf("%s = %q", field, value)
	for i := start + 1; i < end; i++ {
		if key, _, found := strings.Cut(lines[i], "="); found && strings.TrimSpace(key) == field {
			lines[i] = line
			return []byte(strings.Join(lines, "\n")), nil
		}
	}
	lines = append(lines[:start+1:start+1], append([]string{line}, lines[start+1:]...)...)
	return []byte(strings.Join(lines, "\n")), nil
}

// Lines returns the numbers of the lines, from 1, at which the [[header]] tables whose field equals value begin.
func Lines(text []byte, header, field, value string) []int {
	lines := strings.Split(string(text), "\n")
	var numbers []int
	for offset := 0; ; {
		start, end := findTable(lines[offset:], header, field, value)
		if start < 0 {
			return numbers
		}
		numbers = append(numbers, offset+start+1)
		offset += end
	}
}

// findTable returns the half-open range of lines, from its header to the next header, of the first [[header]] table
// whose field equals value, or -1, -1.
func findTable(lines []string, header, field, value string) (start, end int) {
	wanted := fmt.Sprintf("%s=%q", field, value)
	start = -1
	matched := false
	for i, line := range lines {
		compact := strings.ReplaceAll(strings.TrimSpace(line), " ", "")
		if strings.HasPrefix(compact, "[") {
			if matched {
				return start, i
			}
			start = -1
			if compact == "[["+header+"]]" {
				start = i
			}
		}
		matched = matched || (start >= 0 && compact == wanted)
	}
	if matched {
		return start, len(lines)
	}
	return -1, -1
}
