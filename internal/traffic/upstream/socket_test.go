package upstream

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sassafrastray"
)

// TestKeepAliveWithinUserTimeout guards against an idle connection that is closed after a
// single lost keep-alive probe: a user timeout that is set decides when probes give up,
// whatever their count. All probes must have been sent before it.
func TestKeepAliveWithinUserTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := New(sassafrastray.SystemClock{}, Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdlePerAddress: 1})
	c, err := p.dial(netip.MustParseAddrPort(ln.Addr().String()), time.Now(), time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	rc, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) (n int) {
		if err := rc.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
			t.Fatal(err)
		}
		return n
	}
	idle, interval, count := option(unix.TCP_KEEPIDLE), option(unix.TCP_KEEPINTVL), option(unix.TCP_KEEPCNT)
	limit := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	if last := time.Duration(idle+interval*count) * time.Second; limit > 0 && last > limit {
		t.Errorf("%d probes, one a %d s after %d s, end after %v; the user timeout is %v", count, interval, idle, last, limit)
	}
	if limit == 0 || limit > 10*time.Second {
		t.Errorf("user timeout %v", limit)
	}
}
