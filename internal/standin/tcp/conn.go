package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Conn is an accepted connection. Suspending or closing its Listener closes it.
type Conn struct {
	net.Conn
	listener *Listener
}

// pastDeadline is a read deadline that ends a blocked read immediately.
var pastDeadline = time.Unix(1, 0)

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// WatchClose returns a channel that is closed when the peer closes the
// connection. It consumes no bytes. No read may run until stop has been called.
// If bytes arrive first, the channel stays open.
func (c *Conn) WatchClose() (closed <-chan struct{}, stop func()) {
	peerClosed, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if c.peek() {
			close(peerClosed)
		}
	}()
	return peerClosed, func() {
		_ = c.SetReadDeadline(pastDeadline)
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// peek waits until bytes arrive, the peer closes the connection or the read
// deadline passes. It reports whether the connection is closed.
func (c *Conn) peek() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		panic("tcp: connection without a file descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var (
		n    int
		perr error
		b    [1]byte
	)
	err = raw.Read(func(fd uintptr) bool {
		n, _, perr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(perr, unix.EAGAIN) && !errors.Is(perr, unix.EINTR)
	})
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return false
	}
	return err != nil || perr != nil || n == 0
}
