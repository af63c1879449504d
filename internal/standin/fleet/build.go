package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// SiblingProgram returns the path of another program of the same build as this one.
func SiblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s is missing: run `make build`", name)
	}
	return path, nil
}

// Build builds the named programs of this module, for example "standin", into
// dir with the go tool and returns their paths. The caller's working directory
// must be in the module.
func Build(ctx context.Context, dir string, programs ...string) ([]string, error) {
	var paths []string
	for _, program := range programs {
		path := filepath.Join(dir, program)
		output, err := exec.CommandContext(ctx, "go", "build", "-o", path, "jasminegate/cmd/"+program).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("build %s: %w\n%s", program, err, output)
		}
		paths = append(paths, path)
	}
	return paths, nil
}
