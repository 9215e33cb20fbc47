package gate

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection that its gate can close.
type Conn struct {
	net.Conn
	gate *Gate
}

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// Close closes the connection.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// Watch returns a channel that is closed when the other end closes the
// connection. It takes no bytes from it, and must not run beside a read. Stop
// ends it before the next read.
func (c *Conn) Watch() (closed <-chan struct{}, stop func()) {
	gone, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if c.peek() {
			close(gone)
		}
	}()
	return gone, func() {
		_ = c.SetReadDeadline(aLongTimeAgo)
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// peek waits until bytes arrive, the other end closes or the read deadline
// passes. It reports whether the connection is closed.
func (c *Conn) peek() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		panic("gate: connection without a descriptor")
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
