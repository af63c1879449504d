package config

import (
	"flag"
	"strings"

	"jasminegate/internal/strictyaml"
)

// EnvPrefix begins the names of environment variables that override settings.
const EnvPrefix = "JASMINEGATE"

// Overrides collects the settings that come from flags and environment
// variables.
type Overrides struct {
	List []Override
}

// RegisterFlags defines one flag for each scalar setting, named after its key,
// such as --node.id. Lists can only be set in the file.
func RegisterFlags(flags *flag.FlagSet) *Overrides {
	overrides := &Overrides{}
	for _, scalar := range strictyaml.Scalars(Settings{}) {
		key := scalar.Key
		source := "flag --" + key + " or " + EnvName(key)
		flags.Func(key, "overrides `"+key+"` of the settings file", func(value string) error {
			overrides.set(Override{Key: key, Value: value, Source: source})
			return nil
		})
	}
	return overrides
}

// EnvName returns the name of the environment variable that overrides the key.
func EnvName(key string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

func (o *Overrides) set(override Override) {
	for i, earlier := range o.List {
		if earlier.Key == override.Key {
			o.List[i] = override
			return
		}
	}
	o.List = append(o.List, override)
}
