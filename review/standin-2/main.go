// Command standin-2 plays the cases of the second review: it starts nodes with the commands of the deploy
// file, and stand-ins of the platform's store, of upstreams and of consumers in its own process.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(f *Fleet) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the folder of the repository")
		os.Exit(exitCouldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer record.Close()
	fleet, err := NewFleet(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer fleet.Close()
	err = cases[name](fleet)
	switch {
	case err == nil:
		record.Line("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.Line("%v", err)
		fmt.Println(err)
		return exitBroken
	}
	record.Line("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitCouldNot
}
