//go:build !linux

package callerconn

import "syscall"

// peerOf knows nothing on this platform.
func peerOf(syscall.Conn) (peer Peer, ok bool) { return Peer{}, false }
