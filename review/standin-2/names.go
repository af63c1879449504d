package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the users' pages.
var names = readNames()

// Headers of the users' pages.
var (
	headerAttempt     = named("attempt")
	headerDeadline    = named("deadline")
	headerTarget      = named("target")
	headerInstance    = named("instance")
	headerNotExecuted = named("notExecuted")
	headerSeal        = named("seal")
)

// operatorTopic holds the operator's records. The system may not write to it, nor to serversTopic.
var operatorTopic, serversTopic = named("operatorTopic"), named("serversTopic")

func readNames() map[string]string {
	read := make(map[string]string)
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}

// named returns the name of the users' pages for the key of names.json.
func named(key string) string {
	name, ok := names[key]
	if !ok {
		panic(fmt.Sprintf("names.json has no %q", key))
	}
	return name
}
