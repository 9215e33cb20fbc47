package backend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/standin/backend"
	"sassafrastray/internal/standin/pattern"
	"sassafrastray/internal/standin/server"
	"sassafrastray/internal/standin/tcp"
)

// script runs one file of testdata. The part before the line of dashes holds the
// settings of the servers. Each line after it is a command, with the expected result
// after an arrow.
type script struct {
	t       *testing.T
	servers map[string]string
	control string
	// clients keep one connection each.
	clients map[string]*http.Client
	started map[string]chan string
}

// defaultTimeout applies to requests for which the script sets no timeout.
const defaultTimeout = 10 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// TestScripts runs the scripts in testdata against servers on the loopback interface.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			head, lines, _ := strings.Cut(string(b), "\n---\n")
			s := newScript(t, head)
			for i, line := range strings.Split(lines, "\n") {
				s.runLine(fmt.Sprintf("%s:%d", f, i+2+strings.Count(head, "\n")+1), line)
			}
		})
	}
}

func newScript(t *testing.T, head string) *script {
	settings, err := server.Parse([]byte(head))
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f, err := backend.New(sassafrastray.SystemClock{}, log, rand.New(rand.NewPCG(1, 1)), settings)
	if err != nil {
		t.Fatal(err)
	}
	control, err := tcp.Listen(loopback)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ServeOn(ctx, control)
	}()
	s := &script{
		t: t, servers: map[string]string{}, control: "http://" + control.AddrPort().String() + "/control/",
		clients: map[string]*http.Client{}, started: map[string]chan string{},
	}
	for _, st := range f.Servers("*") {
		s.servers[string(st.Name)] = "http://" + st.Listen.String()
	}
	t.Cleanup(func() {
		for _, c := range s.clients {
			c.CloseIdleConnections()
		}
		stop()
		<-done
	})
	return s
}

func (s *script) runLine(at, line string) {
	if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
		return
	}
	command, want, _ := strings.Cut(line, " -> ")
	if got := s.run(command); got != want {
		s.t.Fatalf("%s: %s\n got %s\nwant %s", at, command, got, want)
	}
}

func (s *script) run(command string) string {
	word, rest, _ := strings.Cut(command, " ")
	switch word {
	case "fault":
		name, faults, _ := strings.Cut(rest, " ")
		message, _, _ := strings.Cut(s.callControl("PUT", "faults/"+name, faults), "\n")
		return message
	case "control":
		return s.callControl("GET", rest, "")
	case "forget":
		return s.callControl("DELETE", "executed", "")
	case "executed":
		return s.executed()
	case "used":
		s.waitForUsed(strings.Fields(rest))
		return ""
	case "start":
		name, command, _ := strings.Cut(rest, " ")
		ch, c := make(chan string, 1), s.client(name)
		s.started[name] = ch
		go func() { ch <- s.request(c, strings.Fields(command)) }()
		return ""
	case "join":
		return <-s.started[rest]
	default:
		return s.request(s.client(word), strings.Fields(rest))
	}
}

// waitForUsed takes a server and a number, and waits until that many of its slots
// are used.
func (s *script) waitForUsed(f []string) {
	for end := time.Now().Add(defaultTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := s.client("health").Get(s.servers[f[0]] + "/health")
		if err != nil {
			s.t.Fatal(err)
		}
		var h server.Health
		err = json.NewDecoder(resp.Body).Decode(&h)
		resp.Body.Close()
		if err == nil && fmt.Sprint(h.Used) == f[1] {
			return
		}
	}
	s.t.Fatalf("%s never had %s slots used", f[0], f[1])
}

// client returns the client of that name, which keeps its connection.
func (s *script) client(name string) *http.Client {
	c := s.clients[name]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		s.clients[name] = c
	}
	return c
}

// request sends METHOD SERVER PATH [Header=value ...] [body=text] [within=time]
// and returns the status, the headers that scripts check and a summary of the body.
func (s *script) request(c *http.Client, f []string) string {
	text, within := "", defaultTimeout
	h := http.Header{}
	for _, arg := range f[3:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "body":
			text = value
		case "within":
			within, _ = time.ParseDuration(value)
		default:
			h.Set(name, value)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, f[0], s.servers[f[1]]+f[2], strings.NewReader(text))
	if err != nil {
		return err.Error()
	}
	req.Header = h
	resp, err := c.Do(req)
	if err != nil {
		return failureName(err)
	}
	defer resp.Body.Close()
	out := fmt.Sprint(resp.StatusCode)
	for _, name := range []string{"Request-Id", "Shed", "Drain", "Load"} {
		if v := resp.Header.Get(name); v != "" {
			out += " " + name + "=" + v
		}
	}
	return out + describe(resp)
}

// describe summarizes the body of a response.
func describe(resp *http.Response) string {
	if resp.Header.Get("Content-Type") != "application/json" {
		var c pattern.Checker
		_, err := io.Copy(&c, resp.Body)
		if err != nil {
			return fmt.Sprintf(" %d bytes, then %s", c.Size(), failureName(err))
		}
		return fmt.Sprintf(" %d bytes", c.Size())
	}
	var a struct {
		Order string
		State string
		Bytes int
		Echo  []byte
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return " " + failureName(err)
	}
	if a.State != "" {
		return " " + a.State
	}
	return fmt.Sprintf(" order=%s bytes=%d%s", a.Order, a.Bytes, string(a.Echo))
}

func (s *script) callControl(method, path, text string) string {
	req, err := http.NewRequest(method, s.control+path, strings.NewReader(text))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := s.client("control").Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return strings.TrimSpace(string(b))
}

// executed returns the order ID and the end of each execution, by start time.
func (s *script) executed() string {
	var all []string
	for line := range strings.Lines(s.callControl("GET", "executed", "")) {
		var e struct {
			Order, End string
			Keys       bool
		}
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			s.t.Fatal(err)
		}
		if e.Keys {
			e.End += "+key"
		}
		all = append(all, e.Order+":"+e.End)
	}
	return strings.Join(all, " ")
}

// failureName returns the name that scripts use for the kind of a failure.
func failureName(err error) string {
	text := err.Error()
	var op *net.OpError
	switch {
	case strings.Contains(text, "deadline exceeded"):
		return "silence"
	case strings.Contains(text, "refused"):
		return "refused"
	case strings.Contains(text, "EOF"), strings.Contains(text, "reset"), strings.Contains(text, "idle"):
		return "closed"
	default:
		return fmt.Sprintf("%v %T", err, op)
	}
}
