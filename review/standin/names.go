package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile holds the names on the platform's wire that the stand-ins use. In Go files only the
// adapter has them.
//
//go:embed names.json
var namesFile []byte

var names = readNames()

// Names on the platform's wire.
var (
	topicOperator  = names["topicOperator"]
	topicServers   = names["topicServers"]
	pathAppend     = names["pathAppend"]
	pathRead       = names["pathRead"]
	pathNewest     = names["pathNewest"]
	pathInstances  = names["pathInstances"]
	pathReady      = names["pathReady"]
	headerAttempt  = names["headerAttempt"]
	headerDeadline = names["headerDeadline"]
	headerTarget   = names["headerTarget"]
	headerInstance = names["headerInstance"]
	headerNotRun   = names["headerNotRun"]
	headerSeal     = names["headerSeal"]
	fieldNode      = names["fieldNode"]
	fieldTarget    = names["fieldTarget"]
	fieldPorts     = names["fieldPorts"]
	fieldWarmup    = names["fieldWarmup"]
)

func readNames() map[string]string {
	var read map[string]string
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err) // the file is part of the program
	}
	return read
}
