package upstream

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
)

// TestStatedIdleTimeout guards against requests that open another connection, two round trips to
// another region, although the server states that it still keeps the one that they could use. It
// also guards against requests on connections that the server may be closing.
func TestStatedIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		name   string
		stated string
		fresh  bool
		// kept are the times without use after which the connection is used again, closed
		// those after which it is not.
		kept, closed []time.Duration
	}{
		{name: "not stated", kept: []time.Duration{7 * time.Second}, closed: []time.Duration{9 * time.Second}},
		{name: "not stated, must not run twice", fresh: true, kept: []time.Duration{4 * time.Second}, closed: []time.Duration{6 * time.Second}},
		{name: "longer", stated: "timeout=20, max=100", kept: []time.Duration{7 * time.Second, 18 * time.Second}, closed: []time.Duration{20 * time.Second, time.Minute}},
		{name: "longer, must not run twice", stated: "timeout=20", fresh: true, kept: []time.Duration{7 * time.Second, 18 * time.Second}, closed: []time.Duration{20 * time.Second}},
		{name: "shorter", stated: "timeout=3", kept: []time.Duration{time.Second}, closed: []time.Duration{3 * time.Second}},
		{name: "shorter, must not run twice", stated: "timeout=3", fresh: true, kept: []time.Duration{time.Second}, closed: []time.Duration{3 * time.Second}},
		{name: "for hours", stated: "timeout=36000", kept: []time.Duration{50 * time.Second}, closed: []time.Duration{2 * time.Minute}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, age := range c.kept {
				if n := connectionsAfter(t, c.stated, c.fresh, age); n != 1 {
					t.Errorf("unused for %v: %d connections, want 1", age, n)
				}
			}
			for _, age := range c.closed {
				if n := connectionsAfter(t, c.stated, c.fresh, age); n != 2 {
					t.Errorf("unused for %v: %d connections, want 2", age, n)
				}
			}
		})
	}
}

// connectionsAfter returns the connections that two requests open if the first one's is unused
// for the given time.
func connectionsAfter(t *testing.T, stated string, fresh bool, unused time.Duration) int64 {
	t.Helper()
	var opened atomic.Int64
	address := serveConns(t, func(c net.Conn) {
		opened.Add(1)
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n", req.Header.Peek("Request-Id"))
			if stated != "" {
				fmt.Fprintf(c, "Keep-Alive: %s\r\n", stated)
			}
			fmt.Fprint(c, "\r\n")
		}
	})
	p := New(sassafrastray.SystemClock{}, Options{DialTimeout: time.Second, IdleTimeout: 8 * time.Second, MaxIdlePerAddress: 8, FreshFor: 5 * time.Second})
	defer p.Close()
	for _, id := range []string{"first", "second"} {
		if r := exchangeWithin(10*time.Second, p, address, id, "", fresh); r.outcome.Failure != None {
			t.Fatalf("%s: %v %v", id, r.outcome.Failure, r.outcome.Err)
		}
		for _, idle := range p.idle[address] {
			idle.lastUsed = idle.lastUsed.Add(-unused)
		}
	}
	return opened.Load()
}
