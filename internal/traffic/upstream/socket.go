package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long the kernel retransmits unacknowledged bytes.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var sockErr error
	err := rc.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// unacknowledged reports whether the other side has not acknowledged all bytes that were
// written to the connection. It also returns true if that can't be found out.
func unacknowledged(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := 0
	var sockErr error
	err = rc.Control(func(fd uintptr) { left, sockErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err != nil || sockErr != nil || left > 0
}

// reusable reports whether an unused connection is open and has nothing to
// read. Unread bytes would belong to a response that arrived too late.
func reusable(c net.Conn) bool {
	open, readable := Peek(c)
	return open && !readable
}

// Peek checks a connection without consuming bytes or blocking. It reports whether
// the other side still keeps it open and whether there are unread bytes.
func Peek(c net.Conn) (open, readable bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			open = true
		case err == nil && n > 0:
			open, readable = true, true
		}
	})
	return open && err == nil, readable
}
