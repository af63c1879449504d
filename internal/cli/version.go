package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// buildInfo describes the build of the binary.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

const versionHelp = `EXAMPLES
  jasminegate version
  jasminegate version -o json`

func versionCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate version", streams)
	format := outputFlag(flags)
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "jasminegate version [-o json]",
		ShortHelp:  "Show the version of this binary.",
		LongHelp:   versionHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			info := readBuildInfo()
			return write(streams.Out, *format, info, func(out io.Writer) {
				fmt.Fprintf(out, "jasminegate %s %s (%s)\n", info.Version, orDash(info.Revision), info.Go)
			})
		},
	}
}

func readBuildInfo() buildInfo {
	info := buildInfo{Version: "(devel)", Go: runtime.Version()}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	if build.Main.Version != "" {
		info.Version = build.Main.Version
	}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			info.Revision = setting.Value
		}
	}
	return info
}
