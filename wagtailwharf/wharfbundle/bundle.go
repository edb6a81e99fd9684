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

// Read returns the text of a bundle file and the bundle, checked.
func Read(path string) ([]byte, *wharfconfig.Bundle, error) {
	if path == "" {
		return nil, nil, wharfexit.UsageError("no bundle file is named", "name the TOML file that holds the configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, wharfexit.New(wharfexit.Usage, err, "name the TOML file that holds the configuration")
	}
	bundle, err := wharfconfig.Parse(text)
	if err != nil {
		return nil, nil, wharfexit.New(wharfexit.Failure, err, "mend "+path+" and run config validate")
	}
	return text, bundle, nil
}

// Write replaces a bundle file by a text that is checked first.
func Write(path string, text []byte) error {
	if _, err := wharfconfig.Parse(text); err != nil {
		return wharfexit.New(wharfexit.Failure, err, path+" was left as it was")
	}
	return os.WriteFile(path, text, fileMode)
}

// AppendTable returns the text with a table after it.
func AppendTable(text []byte, table string) []byte {
	return []byte(strings.TrimRight(string(text), "\n") + "\n\n" + table)
}

// ErrTableNotFound says that a text has no table with the wanted name.
var ErrTableNotFound = errors.New("no such table")

// RemoveTable returns the text without the table under header in which field has a value.
func RemoveTable(text []byte, header, field, value string) ([]byte, error) {
	lines := strings.Split(string(text), "\n")
	start, end := find(lines, header, field, value)
	if start < 0 {
		return nil, fmt.Errorf("%w: [[%s]] with %s = %q", ErrTableNotFound, header, field, value)
	}
	kept := append(lines[:start:start], lines[end:]...)
	return []byte(strings.Join(kept, "\n")), nil
}

// SetField returns the text in which the table under header that has a name holds another value of a field.
func SetField(text []byte, header, name, field, value string) ([]byte, error) {
	lines := strings.Split(string(text), "\n")
	start, end := find(lines, header, "name", name)
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

// find returns the lines of the table, from its header to the next one.
func find(lines []string, header, field, value string) (start, end int) {
	wanted := fmt.Sprintf("%s=%q", field, value)
	start = -1
	matched := false
	for i, line := range lines {
		bare := strings.ReplaceAll(strings.TrimSpace(line), " ", "")
		if strings.HasPrefix(bare, "[") {
			if matched {
				return start, i
			}
			start = -1
			if bare == "[["+header+"]]" {
				start = i
			}
		}
		matched = matched || (start >= 0 && bare == wanted)
	}
	if matched {
		return start, len(lines)
	}
	return -1, -1
}
