package config

import (
	"os"

	"github.com/joomcode/errorx"

	"jasminegate/internal/strictyaml"
)

// Problem is one invalid setting, with its remedy.
type Problem = strictyaml.Problem

// Problems is the error that lists all problems of the settings.
type Problems = strictyaml.Problems

// Override is one setting from a flag or an environment variable.
type Override = strictyaml.Override

// Errors of Load.
var (
	Errors = errorx.NewNamespace("config")

	// ErrUnreadable means that the settings file cannot be read.
	ErrUnreadable = errorx.NewType(Errors, "unreadable")
)

// Load is LoadDerived without the list of derived settings.
func Load(path string, overrides ...Override) (Settings, error) {
	settings, _, err := LoadDerived(path, overrides...)
	return settings, err
}

// LoadDerived reads the settings file, applies the overrides, the defaults and what follows
// from the deployment's bounds, and validates the result. It also returns the settings that
// follow. It fails with ErrUnreadable or *Problems.
func LoadDerived(path string, overrides ...Override) (Settings, []Derived, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, ErrUnreadable.New("settings %s: %v: give the path of a readable settings file", path, err)
	}
	return parse(path, data, overrides)
}

// Parse is like Load for settings in memory. Problems name file as their
// source. It fails with *Problems.
func Parse(file string, data []byte, overrides ...Override) (Settings, error) {
	settings, _, err := parse(file, data, overrides)
	return settings, err
}

func parse(file string, data []byte, overrides []Override) (Settings, []Derived, error) {
	settings := Defaults()
	document := strictyaml.Decode(file, data, &settings)
	for _, override := range overrides {
		document.Override(&settings, override)
	}
	var derived []Derived
	if document.Parsed() {
		derived = derive(&settings, document.Given)
		check(document, &settings)
	}
	if err := document.Err(); err != nil {
		return Settings{}, nil, err
	}
	settings.Node.Seeds = otherSeeds(settings.Node)
	return settings, derived, nil
}

// otherSeeds returns the seeds without the node's own entry, so that all nodes
// can share one list of seeds.
func otherSeeds(node Node) []Seed {
	var seeds []Seed
	for _, seed := range node.Seeds {
		if seed.ID != node.ID {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}
