// Command standin plays the review's script cases: it starts the nodes of a small deployment as
// separate processes with the command of the deploy file, and is itself the platform's store, the
// upstreams and the consumers.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by name. trouble is false for the control run.
var cases = map[string]func(t *trial, trouble bool) (verdict, error){
	"store-restored":     storeRestored,
	"kill-after-restore": killAfterRestore,
	"readers-refused":    readersRefused,
	"silent-store":       silentStore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	t, err := newTrial(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer t.close()
	go t.endEarly()
	t.note("case %s, disturbance: %t", name, trouble)
	result, err := cases[name](t, trouble)
	if err != nil {
		t.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	t.note("%s", result.summary)
	fmt.Println(result.summary)
	if result.broken {
		t.note("BROKEN")
		return exitBroken
	}
	t.note("HELD")
	return exitHeld
}
