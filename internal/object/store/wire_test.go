package store_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"sassafrastray"
	"sassafrastray/internal/object/store"
)

type (
	// wireCase is a test case with a server that sends scripted bytes.
	wireCase struct {
		Name string `yaml:"name"`
		// Conns has the responses of each connection, in the order in which
		// the connections are opened. After the last response the server closes
		// the connection. The response "hang" keeps it open without sending
		// anything. A response that begins with "paired " is sent once a second
		// connection has received a request. The parts between " PAUSE " are
		// sent separately.
		Conns [][]string `yaml:"conns"`
		Calls []wireCall `yaml:"calls"`
		// Requests is the expected total number of requests.
		Requests int `yaml:"requests"`
	}

	// wireCall is a call of the client and its expected outcome.
	wireCall struct {
		Do     string        `yaml:"do"`
		Within time.Duration `yaml:"within"`
		// Cancel is the time after which the call's context is canceled.
		Cancel time.Duration `yaml:"cancel"`
		Want   string        `yaml:"want"`
		// After is a pause before the call.
		After time.Duration `yaml:"after"`
		// Concurrent runs the call concurrently with the next one.
		Concurrent bool `yaml:"beside"`
	}

	// wireServer is the server of one case.
	wireServer struct {
		ln    net.Listener
		conns [][]string
		stop  chan struct{}
		// paired is closed when two connections have received a request.
		paired chan struct{}
		all    sync.WaitGroup

		mu       sync.Mutex
		requests int
		opened   int
		used     int
	}
)

const (
	// maxCallTime is the time after which a call is reported as stuck.
	maxCallTime = 8 * time.Second
	// partDelay is the pause after each part of a response.
	partDelay = 20 * time.Millisecond
)

// TestWire checks the outcome of a call for each way in which a connection can
// fail, that the client sends each request once, and that it does not reuse a
// connection whose call failed.
func TestWire(t *testing.T) {
	b, err := os.ReadFile("testdata/wire.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []wireCase
	if err := yaml.UnmarshalWithOptions(b, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c wireCase) run(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wireServer{ln: ln, conns: c.Conns, stop: make(chan struct{}), paired: make(chan struct{})}
	w.all.Go(w.accept)
	client := store.New(ln.Addr().(*net.TCPAddr).AddrPort(), "north-1", "vm-1")
	var concurrent sync.WaitGroup
	for i, call := range c.Calls {
		check := func() {
			if got := call.run(t, client); got != call.Want {
				t.Errorf("call %d, %s: got %s, want %s", i+1, call.Do, got, call.Want)
			}
		}
		if call.Concurrent {
			concurrent.Go(check)
			continue
		}
		check()
		concurrent.Wait()
	}
	client.Close()
	close(w.stop)
	ln.Close()
	w.all.Wait()
	if w.requests != c.Requests || w.opened != len(c.Conns) {
		t.Errorf("got %d requests on %d connections, want %d on %d", w.requests, w.opened, c.Requests, len(c.Conns))
	}
}

func (c wireCall) run(t *testing.T, client *store.Client) string {
	time.Sleep(c.After)
	s := &script{t: t, client: client}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Cancel > 0 {
		time.AfterFunc(c.Cancel, cancel)
	}
	within := c.Within
	if within == 0 {
		within = 10 * time.Second
	}
	done := make(chan string, 1)
	go func() { done <- s.call(ctx, strings.Fields(c.Do), within) }()
	select {
	case got := <-done:
		return got
	case <-time.After(maxCallTime):
		return "stuck"
	}
}

func (w *wireServer) accept() {
	for {
		conn, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		var answers []string
		if w.opened < len(w.conns) {
			answers = w.conns[w.opened]
		}
		w.opened++
		w.mu.Unlock()
		w.all.Go(func() { w.serve(conn, answers) })
	}
}

func (w *wireServer) serve(conn net.Conn, answers []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i, a := range answers {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		w.mu.Lock()
		w.requests++
		if i == 0 {
			w.used++
			if w.used == 2 {
				close(w.paired)
			}
		}
		w.mu.Unlock()
		if paired, ok := strings.CutPrefix(a, "paired "); ok {
			<-w.paired
			a = paired
		}
		if a == "hang" {
			<-w.stop
			return
		}
		for _, part := range strings.Split(a, " PAUSE ") {
			if _, err := conn.Write([]byte(strings.ReplaceAll(part, "\n", "\r\n"))); err != nil {
				return
			}
			time.Sleep(partDelay)
		}
	}
}

// TestCancelDial checks that canceling the context also ends a call that is still
// dialing. The server accepts no connections, because its backlog is full.
func TestCancelDial(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	addr := unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.CombineErrors(unix.Bind(fd, &addr), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	server := netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), uint16(name.(*unix.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp", server.String(), 300*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	client := store.New(server, "north-1", "vm-1")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	_, err = client.Put(ctx, "a", nil, 0)
	if !errors.Is(err, sassafrastray.ErrUnavailable) || errors.Is(err, sassafrastray.ErrUnknown) {
		t.Errorf("put: %v", err)
	}
	if d := time.Since(start); d >= store.Timeout {
		t.Errorf("the call ended only after %s", d)
	}
}
