package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// layerRanks orders the layers. A package may import only packages of its own
// or a lower rank.
var layerRanks = []struct {
	prefix string
	rank   int
}{
	{"jasminegate/internal/state", 0},
	{"jasminegate/internal/coordination", 1},
	{"jasminegate/internal/protocol", 2},
	{"jasminegate/internal/transport", 3},
	{"jasminegate/internal/node", 4},
	{"jasminegate/internal/cli", 5},
	{"jasminegate/internal/standin", 6},
	{"jasminegate/cmd", 7},
}

// forbiddenImports lists packages that state and coordination must not import,
// as their decisions depend on no clock, I/O or goroutine.
var forbiddenImports = map[string]bool{
	"os": true, "net": true, "net/http": true, "math/rand": true, "sync": true, "context": true,
}

func TestLayers(t *testing.T) {
	is := is.New(t)
	checked := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		checked++
		checkImports(t, path)
		return nil
	})
	is.NoErr(err)
	is.True(checked > 20) // the walk found the source files
}

func checkImports(t *testing.T, path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return
	}
	importer := "jasminegate/" + strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
	rank := rankOf(importer)
	for _, spec := range file.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		if rankOf(imported) > rank && rank >= 0 {
			t.Errorf("%s imports %s: a layer imports only itself and those below it", path, imported)
		}
		if rank >= 0 && rank <= 1 && forbiddenImports[imported] {
			t.Errorf("%s imports %s: state and coordination use no clock, I/O or goroutine", path, imported)
		}
	}
}

func rankOf(path string) int {
	for _, layer := range layerRanks {
		if path == layer.prefix || strings.HasPrefix(path, layer.prefix+"/") {
			return layer.rank
		}
	}
	return -1
}

// TestStateAndCoordinationReadNoClock checks that the packages of state and
// coordination do not call the clock.
func TestStateAndCoordinationReadNoClock(t *testing.T) {
	is := is.New(t)
	for _, root := range []string{"state", "coordination"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			checkClockCalls(t, path)
			return nil
		})
		is.NoErr(err)
	}
}
