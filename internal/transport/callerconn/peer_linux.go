package callerconn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP connection (tcp_states.h of Linux).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// peerOf reads the state that the kernel keeps. Its ages have a resolution of a few
// milliseconds and are never too great: a later segment of the caller makes them less.
func peerOf(conn syscall.Conn) (peer Peer, ok bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Peer{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || infoErr != nil {
		return Peer{}, false
	}
	peer.DataAge = time.Duration(info.Last_data_recv) * time.Millisecond
	switch info.State {
	case tcpCloseWait:
		peer.Closed, peer.CloseAge = true, time.Duration(info.Last_ack_recv)*time.Millisecond
	case tcpClose:
		peer.Reset = true
	}
	return peer, true
}
