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

// layers lists the layers from top to bottom. A package may import packages of its own layer and of lower layers.
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
	rest, internal := strings.CutPrefix(imported, modulePrefix)
	if !internal {
		return
	}
	layer, _, _ := strings.Cut(rest, "/")
	importedLevel := slices.Index(layers, layer)
	assert.Assert(t, importedLevel >= level, "%s imports %s, which is in a higher layer", path, imported)
}
