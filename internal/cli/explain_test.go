package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/explain"
)

const refusedLine = `{"time":"2026-03-14T15:00:09.000000Z","level":"info","node":"n-1","event":404,"request":"7a","left_out":0,"gates":"n-2","type":"urn:jasminegate:problem:too-late","message":"caller told"}` + "\n"

// TestExplain reads a file and standard input, in both formats.
func TestExplain(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "n-1.log")
	is.NoErr(os.WriteFile(file, []byte(refusedLine), 0o600))
	run := func(args ...string) (ExitCode, string) {
		var out, errOut bytes.Buffer
		code := Run(context.Background(), append([]string{"explain"}, args...), Streams{In: strings.NewReader(refusedLine), Out: &out, Err: &errOut}, nil)
		return code, out.String() + errOut.String()
	}
	for _, args := range [][]string{{"7a", file}, {"7a"}, {"7a", "-"}} {
		code, text := run(args...)
		is.Equal(code, ExitOK)
		is.True(strings.Contains(text, "15:00:09.000  n-1"))
		is.True(strings.Contains(text, "gates=n-2"))
	}
	code, text := run("-o", "json", "7a", file)
	is.Equal(code, ExitOK)
	var report explain.Report
	is.NoErr(json.Unmarshal([]byte(text), &report))
	is.Equal(len(report.RequestLines), 1)

	code, _ = run("8b", file)
	is.Equal(code, ExitFailed)
	code, _ = run("7a", file+".none")
	is.Equal(code, ExitUsage)
	code, _ = run()
	is.Equal(code, ExitUsage)
}
