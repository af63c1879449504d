//go:build cgo

package main

/*
#include <signal.h>

// Runs before the Go runtime, which keeps a SIGHUP that is ignored at the start ignored until the
// program asks for it.
__attribute__((constructor)) static void ignore_hangup_at_start(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
