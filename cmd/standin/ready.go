package main

import (
	"encoding/json"
	"os"
)

// ready is the JSON line that a subcommand prints on standard output when it
// listens.
type ready struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
	// Control is the address of a relay's HTTP control API.
	Control string `json:"control,omitempty"`
}

// printReady prints the line with Ready set.
func printReady(line ready) error {
	line.Ready = true
	return json.NewEncoder(os.Stdout).Encode(line)
}
