package wharf_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// layers are ordered from the top down; a package may import its own layer and those below.
var layers = []string{"transport", "protocol", "coordination", "state"}

const modulePrefix = "wagtailwharf.example/wharf/"

func TestLayersImportOnlyLowerLayers(t *testing.T) {
	for level, layer := range layers {
		err := filepath.WalkDir(layer, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			assert.NilError(t, err)
			for _, spec := range file.Imports {
				imported, err := strconv.Unquote(spec.Path.Value)
				assert.NilError(t, err)
				checkImportLayer(t, path, imported, level)
			}
			return nil
		})
		assert.NilError(t, err)
	}
}

func checkImportLayer(t *testing.T, path, imported string, level int) {
	t.Helper()
	rest, own := strings.CutPrefix(imported, modulePrefix)
	if !own {
		return
	}
	layer, _, _ := strings.Cut(rest, "/")
	below := slices.Index(layers, layer)
	assert.Assert(t, below >= level, "%s imports %s, which is above it", path, imported)
}
