package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/config"
	"jasminegate/internal/strictyaml"
)

func configCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "config",
		ShortUsage:  "jasminegate config <subcommand>",
		ShortHelp:   "Work with settings files.",
		FlagSet:     newFlags("jasminegate config", streams),
		Subcommands: []*ffcli.Command{configCheckCommand(streams)},
	}
}

const configCheckHelp = `Checks a settings file, with the overrides from flags and environment variables,
without starting a node. Lists all problems at once. Exits 3 if there is a problem.

EXAMPLES
  jasminegate config check node.yaml
  jasminegate config check node.yaml --node.id web-2 -o json`

// checkResult is the JSON output of the check commands.
type checkResult struct {
	File     string               `json:"file"`
	Valid    bool                 `json:"valid"`
	Problems []strictyaml.Problem `json:"problems"`
}

func configCheckCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate config check", streams)
	format := outputFlag(flags)
	overrides := config.RegisterFlags(flags)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "jasminegate config check FILE [flags]",
		ShortHelp:  "Check a settings file.",
		LongHelp:   configCheckHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			files, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			_, err = config.Load(files[0], overrides.List...)
			return reportCheck(streams, *format, files[0], err)
		},
	}
}

// reportCheck prints the result of checking a file. It returns ErrRejected if the file
// has problems, and err itself if that is another error.
func reportCheck(streams Streams, format, file string, err error) error {
	result := checkResult{File: file, Valid: err == nil, Problems: []strictyaml.Problem{}}
	if err != nil {
		problems, ok := err.(*strictyaml.Problems)
		if !ok {
			return err
		}
		result.Problems = problems.List
	}
	if err := write(streams.Out, format, result, result.print); err != nil {
		return err
	}
	if !result.Valid {
		return ErrRejected.New("%s: problems found: %d: correct them as listed", file, len(result.Problems))
	}
	return nil
}

func (r checkResult) print(out io.Writer) {
	if r.Valid {
		fmt.Fprintf(out, "%s: valid\n", r.File)
	}
	for _, problem := range r.Problems {
		fmt.Fprintln(out, problem)
	}
}
