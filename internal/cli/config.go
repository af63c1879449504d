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
  jasminegate config check node.yaml --node.id web-2 -o json
  jasminegate config check node.yaml --effective`

// checkResult is the JSON output of the check commands.
type checkResult struct {
	File     string               `json:"file"`
	Valid    bool                 `json:"valid"`
	Problems []strictyaml.Problem `json:"problems"`
	// Effective lists the settings in effect, if asked for.
	Effective []effectiveSetting `json:"effective,omitempty"`
}

// effectiveSetting is one scalar setting in effect. From names the keys that it follows
// from, if any.
type effectiveSetting struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from,omitempty"`
}

func effectiveSettings(settings config.Settings, derived []config.Derived) []effectiveSetting {
	from := make(map[string]string, len(derived))
	for _, d := range derived {
		from[d.Key] = d.From
	}
	var list []effectiveSetting
	for _, scalar := range strictyaml.Scalars(settings) {
		list = append(list, effectiveSetting{scalar.Key, config.FormatScalar(scalar), from[scalar.Key]})
	}
	return list
}

func configCheckCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate config check", streams)
	format := outputFlag(flags)
	effective := flags.Bool("effective", false, "also list all settings in effect, with the keys from which some follow")
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
			loaded, err := config.LoadAll(files[0], overrides.List...)
			if err == nil {
				err = loaded.Strict()
			}
			result := checkResult{File: files[0]}
			if err == nil && *effective {
				result.Effective = effectiveSettings(loaded.Settings, loaded.Derived)
			}
			return result.report(streams, *format, err)
		},
	}
}

// reportCheck prints the result of checking a file. It returns ErrRejected if the file
// has problems, and err itself if that is another error.
func reportCheck(streams Streams, format, file string, err error) error {
	return checkResult{File: file}.report(streams, format, err)
}

// report is reportCheck with what the result has.
func (result checkResult) report(streams Streams, format string, err error) error {
	file := result.File
	result.Valid, result.Problems = err == nil, []strictyaml.Problem{}
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
	for _, setting := range r.Effective {
		fmt.Fprintf(out, "%s: %s", setting.Key, setting.Value)
		if setting.From != "" {
			fmt.Fprintf(out, "  # from %s", setting.From)
		}
		fmt.Fprintln(out)
	}
}
