package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"sassafrastray"
	"sassafrastray/internal/standin/audit"
	"sassafrastray/internal/standin/backend"
	"sassafrastray/internal/standin/caller"
	"sassafrastray/internal/standin/load"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/server"
	"sassafrastray/internal/standin/tcp"
)

type (
	// pathCase is a run through an entry VM with a fault that affects every
	// request, and the counts that are expected in the report. Counts that a
	// case does not name have to be 0.
	pathCase struct {
		Name string `yaml:"name"`
		// VM is the fault of the entry VM.
		VM string `yaml:"vm"`
		// Backend holds the faults of the backend server, in YAML.
		Backend string `yaml:"backend"`
		// Want lists the counts that have to be above 0.
		Want []string `yaml:"want"`
	}

	// entryVM is a fake entry VM that forwards to one backend server. Its
	// mode is the fault.
	entryVM struct {
		mode    string
		backend string
		address netip.AddrPort
		lookups atomic.Int64
	}
)

// TestPaths checks that callers and the audit detect each fault between caller
// and backend server, and report none if there is none. Each case has its own
// IP address, so that no server takes a port that another case has released.
func TestPaths(t *testing.T) {
	b, err := os.ReadFile("testdata/paths.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []pathCase
	if err := yaml.UnmarshalWithOptions(b, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for i, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.run(t, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 40, byte(i + 1)}), 0))
		})
	}
}

func (c pathCase) run(t *testing.T, listen netip.AddrPort) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f, control := startBackend(t, log, listen)
	if c.Backend != "" {
		if err := f.SetFaults("*", []byte(c.Backend)); err != nil {
			t.Fatal(err)
		}
	}
	vm := &entryVM{mode: c.VM, backend: "http://" + f.Servers("*")[0].Listen.String()}
	srv := httptest.NewUnstartedServer(vm)
	srv.Listener.Close()
	ln, err := net.Listen("tcp", listen.String())
	if err != nil {
		t.Fatal(err)
	}
	srv.Listener = ln
	srv.Start()
	t.Cleanup(srv.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	vm.address = address
	if c.VM == "gone" {
		vm.address = refusingAddress(t, listen)
	}
	if c.VM == "down" {
		srv.Close()
	}
	text, err := os.ReadFile("testdata/path.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cs, err := scenario.Parse("path.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	s := caller.New(sassafrastray.SystemClock{}, []netip.AddrPort{address})
	defer s.Close()
	r := load.New(cs, s, load.SystemPacer{}, log, "path", 1000)
	if err := r.Do(context.Background()); err != nil {
		t.Fatal(err)
	}
	entries, err := audit.Fetch(control)
	if err != nil {
		t.Fatal(err)
	}
	c.compare(t, reportCounts(r, r.Auditor().Audit(entries)))
	if c.VM == "gone" {
		return // each refused connection causes another look-up
	}
	if n, failed := s.Lookups(); n == 0 || n > maxLookups || vm.lookups.Load() != n-failed {
		t.Errorf("%d look-ups, %d failed, %d arrived", n, failed, vm.lookups.Load())
	}
}

// maxLookups is far below the number of requests. One look-up is enough, since
// the TTL of the response exceeds the run; but a caller that found no VM retries
// after a delay, and on a busy machine the run may take longer than that.
const maxLookups = 5

func (c pathCase) compare(t *testing.T, got map[string]int) {
	for _, name := range c.Want {
		if got[name] == 0 {
			t.Errorf("%s is 0", name)
		}
		delete(got, name)
	}
	for name, n := range got {
		if n != 0 {
			t.Errorf("%s is %d", name, n)
		}
	}
}

func reportCounts(r *load.Run, f audit.Findings) map[string]int {
	total := r.Results().Total()
	got := map[string]int{
		"ok": total.OK, "wrong": total.Wrong, "broken": total.Broken, "late": total.Late,
		"unreached": total.Unreached, "overloads": r.Lag().Overloads,
		"twice": f.RepeatedNonIdempotent, "repeated": f.RepeatedIdempotent, "notRun": f.FalseNotRun, "missing": f.FalseRan,
		"keys": f.LeakedKeys, "teams": f.WrongTeam, "unknown": f.Unknown, "unknownRan": f.UnknownRan,
	}
	for reason, n := range total.Refused {
		got["refused "+reason] = n
	}
	for reason, n := range total.Failed {
		got["failed "+reason] = n
	}
	return got
}

func startBackend(t *testing.T, log *slog.Logger, listen netip.AddrPort) (*backend.Fleet, netip.AddrPort) {
	f, err := backend.New(sassafrastray.SystemClock{}, log, rand.New(rand.NewPCG(1, 1)), []server.Settings{
		{Name: "stock-1", Service: "stock", Version: "v1", Listen: listen, Slots: 1000, MedianTime: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	control, err := tcp.Listen(listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ServeOn(ctx, control)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return f, control.AddrPort()
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T, listen netip.AddrPort) netip.AddrPort {
	ln, err := tcp.Listen(listen)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.AddrPort()
}

func (v *entryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lookup" {
		v.lookups.Add(1)
		fmt.Fprintf(w, `{"service":%q,"config":1,"ttl":60,"vms":[{"name":"vm-1","address":%q,"weight":1}]}`,
			r.URL.Query().Get("service"), v.address)
		return
	}
	if v.mode == "refuse early" {
		refuseEarly(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if v.mode == "refuse" {
		refuse(w)
		return
	}
	team := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer sk_")
	if v.mode == "wrong team" {
		team = "coop"
	}
	if v.mode == "fake response" {
		w.Header().Set("Result", "ran")
		_ = json.NewEncoder(w).Encode(map[string]string{"order": r.Header.Get("Order-Id")})
		return
	}
	resp, answer, err := v.forward(r, team, body)
	if v.mode == "forward twice" && err == nil {
		resp, answer, err = v.forward(r, team, body)
	}
	v.respond(w, resp, answer, err)
}

// respond passes on the response of the backend server, changed by the fault.
func (v *entryVM) respond(w http.ResponseWriter, resp *http.Response, body []byte, err error) {
	switch {
	case err != nil:
		w.Header().Set("Result", "unknown")
		w.Header().Set("Reason", "broken")
		w.WriteHeader(http.StatusBadGateway)
	case resp.Header.Get("Shed") != "" || v.mode == "refuse after run":
		refuse(w)
	case v.mode == "close":
		panic(http.ErrAbortHandler)
	case v.mode == "no length":
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nResult: ran\r\n\r\n%s", body)
	default:
		w.Header().Set("Result", "ran")
		w.WriteHeader(resp.StatusCode)
		if v.mode == "truncate" {
			body = body[:len(body)-1]
		}
		_, _ = w.Write(body)
	}
}

// forward sends the request to the backend server and returns the response and
// its body.
func (v *entryVM) forward(r *http.Request, team string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequest(r.Method, v.backend+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Order-Id", r.Header.Get("Order-Id"))
	req.Header.Set("Team", team)
	if v.mode == "leak key" {
		req.Header.Set("Cookie", "key=sk_"+team)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, err
}

// refuse writes the response of a VM that did not run the request.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Result", "not-run")
	w.Header().Set("Reason", "busy")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseEarly refuses a request and closes the connection without reading the
// body.
func refuseEarly(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nResult: not-run\r\nReason: busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}
