package wharfbundle

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

const text = `[[service]]
name = "a"
model-version = "1"

[[service.route]]
path = "/x"

[[service]]
name = "b"

[[key]]
id = "k"
`

func TestSetField(t *testing.T) {
	changed, err := SetField([]byte(text), "service", "a", "model-version", "2")
	assert.NilError(t, err)
	assert.Equal(t, string(changed), `[[service]]
name = "a"
model-version = "2"

[[service.route]]
path = "/x"

[[service]]
name = "b"

[[key]]
id = "k"
`)
	changed, err = SetField([]byte(text), "service", "b", "model-version", "3")
	assert.NilError(t, err)
	assert.Equal(t, string(changed)[len(text)-len("[[service]]\nname = \"b\"\n\n[[key]]\nid = \"k\"\n"):], `[[service]]
model-version = "3"
name = "b"

[[key]]
id = "k"
`)
	_, err = SetField([]byte(text), "service", "c", "model-version", "3")
	assert.Assert(t, errors.Is(err, ErrTableNotFound))
}

func TestRemoveTable(t *testing.T) {
	changed, err := RemoveTable([]byte(text), "key", "id", "k")
	assert.NilError(t, err)
	assert.Equal(t, string(changed), text[:len(text)-len("\n[[key]]\nid = \"k\"\n")])
	_, err = RemoveTable([]byte(text), "key", "id", "x")
	assert.Assert(t, errors.Is(err, ErrTableNotFound))
}

// TestLines guards against lines of tables of another kind with the same name.
func TestLines(t *testing.T) {
	doubled := []byte(text + text)
	assert.DeepEqual(t, Lines([]byte(text), "service", "name", "b"), []int{8})
	assert.DeepEqual(t, Lines(doubled, "key", "id", "k"), []int{11, 23})
	assert.DeepEqual(t, Lines(doubled, "service.route", "path", "/x"), []int{5, 17})
	assert.Equal(t, len(Lines(doubled, "key", "name", "b")), 0)
}
