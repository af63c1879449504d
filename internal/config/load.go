package config

import (
	"os"
	"strings"

	"github.com/joomcode/errorx"

	"jasminegate/internal/strictyaml"
)

// Problem is one invalid setting, with its remedy.
type Problem = strictyaml.Problem

// Problems is the error that lists all problems of the settings.
type Problems = strictyaml.Problems

// Override is one setting from a flag or an environment variable.
type Override = strictyaml.Override

// deploymentGroup is the group of keys that the platform states, and not a person.
const deploymentGroup = "deployment"

// Errors of Load.
var (
	Errors = errorx.NewNamespace("config")

	// ErrUnreadable means that the settings file cannot be read.
	ErrUnreadable = errorx.NewType(Errors, "unreadable")
)

// Loaded are the settings of a node, and what was done to what the deployment states.
type Loaded struct {
	Settings Settings
	// Derived are the settings that follow from the group deployment.
	Derived []Derived
	// Ignored are the problems of that group. The keys that they name count as not stated.
	Ignored []Problem
}

// Strict returns the ignored problems as *Problems, or nil.
func (l Loaded) Strict() error {
	if len(l.Ignored) == 0 {
		return nil
	}
	return &Problems{List: l.Ignored}
}

// Load reads the settings file and returns the settings of LoadAll.
func Load(path string, overrides ...Override) (Settings, error) {
	loaded, err := LoadAll(path, overrides...)
	return loaded.Settings, err
}

// LoadAll reads the settings file, applies the overrides, the defaults and what follows from
// the deployment's bounds, and validates the result. A problem of the group deployment is not an
// error: the platform states it, and one statement that is not understood must not keep a fleet
// from starting. LoadAll fails with ErrUnreadable or *Problems.
func LoadAll(path string, overrides ...Override) (Loaded, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Loaded{}, ErrUnreadable.New("settings %s: %v: give the path of a readable settings file", path, err)
	}
	return parse(path, data, overrides)
}

// Parse is like Load for settings in memory. Problems name file as their
// source. It fails with *Problems.
func Parse(file string, data []byte, overrides ...Override) (Settings, error) {
	loaded, err := parse(file, data, overrides)
	return loaded.Settings, err
}

func parse(file string, data []byte, overrides []Override) (Loaded, error) {
	loaded := Loaded{Settings: Defaults()}
	settings := &loaded.Settings
	document := strictyaml.Decode(file, data, settings)
	for _, override := range overrides {
		document.Override(settings, override)
	}
	if document.Parsed() {
		loaded.Ignored = ignoreBadStatements(document, settings)
		loaded.Derived = derive(settings, document.Given)
		check(document, settings)
	}
	if err := document.Err(); err != nil {
		return Loaded{}, err
	}
	settings.Node.Seeds = otherSeeds(settings.Node)
	return loaded, nil
}

// ignoreBadStatements takes the problems of the group deployment out of the document and resets
// the values that they name.
func ignoreBadStatements(document *strictyaml.Document, settings *Settings) []Problem {
	for _, rule := range rules {
		if !strings.HasPrefix(rule.key, deploymentGroup+".") {
			continue
		}
		if text, remedy := rule.check(settings); text != "" {
			document.Reject(rule.key, text, remedy)
		}
	}
	ignored := document.TakeProblems(deploymentGroup)
	for _, problem := range ignored {
		document.Reset(settings, Defaults(), problem.Key)
	}
	return ignored
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
