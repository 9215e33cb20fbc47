package store_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"sassafrastray"
	"sassafrastray/internal/object/store"
	"sassafrastray/internal/standin/platform"
	"sassafrastray/internal/standin/tcp"
	"sassafrastray/internal/standin/vmlist"
)

// script runs the commands of a data file. Each line has a command and, after an
// arrow, its expected result.
type script struct {
	t       *testing.T
	client  *store.Client
	control string
	http    fasthttp.Client
	timeout time.Duration
	started map[string]chan string
}

// scripts counts the scripts. Each uses an IP address of its own, because a store
// that refuses connections closes its port, which another script could then get.
var scripts atomic.Uint32

// TestMain checks for leaked goroutines. It ignores the background goroutines of
// fasthttp, which end only after a sleep of up to ten seconds.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			newScript(t).run(f)
		})
	}
}

func newScript(t *testing.T) *script {
	own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 41, byte(scripts.Add(1))}), 0)
	clients, err := tcp.Listen(own)
	if err != nil {
		t.Fatal(err)
	}
	control, err := tcp.Listen(own)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := platform.New(sassafrastray.SystemClock{}, log, rand.New(rand.NewPCG(1, 1)), vmlist.New(nil, 0))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ServeOn(ctx, clients, control)
	}()
	c := store.New(clients.AddrPort(), "north-1", "vm-1")
	dial := func(addr string) (net.Conn, error) { return net.Dial("tcp", addr) }
	s := &script{
		t: t, client: c, http: fasthttp.Client{Dial: dial},
		control: "http://" + control.AddrPort().String() + "/control/",
		timeout: 10 * time.Second, started: map[string]chan string{},
	}
	t.Cleanup(func() {
		c.Close()
		s.http.CloseIdleConnections()
		stop()
		<-done
	})
	return s
}

func (s *script) run(file string) {
	b, err := os.ReadFile(file)
	if err != nil {
		s.t.Fatal(err)
	}
	for i, line := range strings.Split(string(b), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		command, want, _ := strings.Cut(line, " -> ")
		if got := s.do(command); got != want {
			s.t.Fatalf("%s:%d: %s\n got %s\nwant %s", file, i+1, command, got, want)
		}
	}
}

// do runs a command and returns its result as text.
func (s *script) do(command string) string {
	word, rest, _ := strings.Cut(command, " ")
	f := strings.Fields(rest)
	switch word {
	case "timeout":
		s.timeout = s.duration(f[0])
		return ""
	case "control":
		path, body, _ := strings.Cut(rest, " ")
		return s.putControl(path, body)
	case "calls":
		return s.calls()
	case "sleep":
		time.Sleep(s.duration(f[0]))
		return ""
	case "start":
		name, command, _ := strings.Cut(rest, " ")
		ch := make(chan string, 1)
		s.started[name] = ch
		timeout := s.timeout
		go func() { ch <- s.call(context.Background(), strings.Fields(command), timeout) }()
		return ""
	case "join":
		return <-s.started[f[0]]
	default:
		return s.call(context.Background(), strings.Fields(command), s.timeout)
	}
}

// call makes a call to the store and returns its result or outcome as text.
func (s *script) call(ctx context.Context, f []string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var (
		o       sassafrastray.Object
		objects []sassafrastray.Object
		vms     []sassafrastray.VM
		n       int64
		err     error
		out     string
	)
	switch f[0] {
	case "get":
		o, err = s.client.Get(ctx, f[1])
		out = formatObject(o)
	case "put":
		n, err = s.client.Put(ctx, f[1], []byte(f[2]), s.number(f[3]))
		out = fmt.Sprint(n)
	case "fill":
		n, err = s.client.Put(ctx, f[1], make([]byte, s.number(f[2])), 0)
		out = fmt.Sprint(n)
	case "delete":
		err = s.client.Delete(ctx, f[1], s.number(f[2]))
		out = "ok"
	case "list":
		objects, err = s.client.List(ctx, f[1])
		out = formatObjects(objects)
	case "watch":
		objects, n, err = s.client.Watch(ctx, f[1], s.number(f[2]), s.duration(f[3]))
		out = strings.TrimSpace(fmt.Sprintf("%d %s", n, formatObjects(objects)))
	case "vms":
		vms, err = s.client.VMs(ctx)
		for _, v := range vms {
			out += fmt.Sprintf("%s@%s ", v.Name, v.CallerAddress)
		}
		out = strings.TrimSpace(out)
	default:
		s.t.Errorf("no command %q", f[0])
	}
	if err != nil {
		return outcomeName(err)
	}
	return out
}

func (s *script) putControl(path, body string) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod("PUT")
	req.SetRequestURI(s.control + path)
	req.SetBodyString(body)
	if err := s.http.Do(req, resp); err != nil {
		s.t.Fatal(err)
	}
	return strings.TrimSpace(string(resp.Body()))
}

func (s *script) calls() string {
	_, body, err := s.http.Get(nil, s.control+"calls")
	if err != nil {
		s.t.Fatal(err)
	}
	return string(body)
}

func (s *script) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.t.Error(err)
	}
	return n
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Error(err)
	}
	return d
}

func outcomeName(err error) string {
	for e, name := range map[error]string{
		sassafrastray.ErrConflict: "conflict", sassafrastray.ErrNotFound: "not-found",
		sassafrastray.ErrUnknown: "unknown", sassafrastray.ErrUnavailable: "unavailable",
	} {
		if errors.Is(err, e) {
			return name
		}
	}
	return "declined"
}

func formatObject(o sassafrastray.Object) string {
	if o.Deleted {
		return fmt.Sprintf("%s-@%d", o.Key, o.Version)
	}
	return fmt.Sprintf("%s=%s@%d", o.Key, o.Value, o.Version)
}

func formatObjects(objects []sassafrastray.Object) string {
	s := make([]string, len(objects))
	for i, o := range objects {
		s[i] = formatObject(o)
	}
	return strings.Join(s, " ")
}
