package vm

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/operator/apikey"
)

// script runs one file of testdata. Its first line names the failure domains of
// the VMs and the number of backend servers in each. The commands after it are:
//
//	ask VM METHOD PATH KEY [over CLIENT] [times N] -> STATUS RESULT REASON
//	                              sends requests and checks each answer
//	send VM METHOD PATH N         sends N requests and ignores the answers
//	once                          checks that no POST was executed twice so far
//	raw VM BYTES -> STATUS RESULT REASON
//	                              sends the quoted bytes over a new connection;
//	                              %N in them stands for N letters
//	within DURATION ask ...       repeats until the check passes, up to DURATION
//	during DURATION ask ...       checks five times a second for DURATION
//	upload VM PATH SIZE DURATION  starts an upload that takes DURATION
//	uploaded                      waits and checks that all uploads got 200
//	withdraw KEY | restore KEY    publishes the fleet without or with a key
//	leave PATTERN                 publishes that backend servers leave
//	quiet PATTERN DURATION        checks that they execute nothing new
//	refused VM KEY DURATION       checks that no request with the key succeeds
//	publish                       publishes the configuration again
//	number VM N                   checks the configuration's number within 5 s
//	outage on|off                 makes the platform unavailable, or ends that
//	cut DOMAIN... | heal          cuts failure domains off, or ends the cuts
//	stop VM | start VM            drains a VM, or starts it again
//	fault PATTERN PLAN            sets a fault of backend servers
//	sleep DURATION
type script struct {
	t       *testing.T
	w       *world
	keys    map[string]string
	uploads []chan answer
}

// inForce is the time within which a change must be in force on every VM that
// can be reached.
const inForce = 5 * time.Second

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			runScript(t, f)
		})
	}
}

func runScript(t *testing.T, file string) {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, keys: map[string]string{"good": goodKey, "other": otherKey, "none": "", "unknown": "sk_test_unknown_0123456789"}}
	for i, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Fields(line)
		if s.w == nil {
			var domains []sassafrastray.DomainName
			for _, d := range f[1 : len(f)-1] {
				domains = append(domains, sassafrastray.DomainName(d))
			}
			s.w = newWorld(t, domains, s.int(f[len(f)-1]))
			continue
		}
		if err := s.run(f); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, i+1, line, err)
		}
	}
}

func (s *script) run(f []string) error {
	switch f[0] {
	case "ask":
		return s.ask(f[1:])
	case "send":
		for range s.int(f[4]) {
			s.w.ask(s.int(f[1]), request{method: f[2], path: f[3], key: goodKey})
		}
	case "once":
		return s.once()
	case "raw":
		return s.raw(s.int(f[1]), strings.Join(f[2:], " "))
	case "within":
		return s.within(s.duration(f[1]), func() error { return s.ask(f[3:]) })
	case "during":
		for end := time.Now().Add(s.duration(f[1])); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err := s.ask(f[3:]); err != nil {
				return err
			}
		}
	case "upload":
		s.upload(f[1:])
	case "uploaded":
		return s.uploaded()
	case "withdraw", "restore":
		s.setKey(f[1], f[0] == "restore")
	case "leave":
		for i := range s.w.config.Services[0].Backends {
			b := &s.w.config.Services[0].Backends[i]
			if ok, _ := filepath.Match(f[1], string(b.Name)); ok {
				b.Leaving = true
			}
		}
		s.w.publish()
	case "quiet":
		return s.quiet(f[1], s.duration(f[2]))
	case "refused":
		for end := time.Now().Add(s.duration(f[3])); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if a := s.w.ask(s.int(f[1]), request{method: "GET", path: "/orders", key: s.keys[f[2]]}); a.err == nil && a.status == fasthttp.StatusOK {
				return fmt.Errorf("a request succeeded")
			}
		}
	case "publish":
		s.w.publish()
	case "number":
		return s.within(inForce, func() error { return s.number(s.int(f[1]), int64(s.int(f[2]))) })
	case "outage":
		s.w.platform.setOutage(f[1] == "on")
	case "cut", "heal":
		s.cut(f[1:])
	case "stop":
		return s.w.stop(s.int(f[1]))
	case "start":
		s.w.start(s.int(f[1]))
	case "fault":
		s.w.setFaults(f[1], strings.Join(f[2:], " "))
	case "sleep":
		time.Sleep(s.duration(f[1]))
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func (s *script) int(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *script) within(limit time.Duration, ok func() error) error {
	end := time.Now().Add(limit)
	for {
		err := ok()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ask sends requests and compares each answer's status, result and reason.
func (s *script) ask(f []string) error {
	at := slices.Index(f, "->")
	want := strings.Join(f[at+1:], " ")
	r := request{method: f[1], path: f[2], key: s.keys[f[3]]}
	times := 1
	client := newClient()
	for i := 4; i < at; i += 2 {
		switch f[i] {
		case "over":
			if s.w.clients[f[i+1]] == nil {
				s.w.clients[f[i+1]] = newClient()
			}
			client = s.w.clients[f[i+1]]
		case "times":
			times = s.int(f[i+1])
		}
	}
	for range times {
		a := s.w.askOver(client, s.int(f[0]), r)
		got := strings.TrimSpace(fmt.Sprintf("%d %s %s", a.status, a.result, a.reason))
		if a.err != nil {
			got = a.err.Error()
		}
		if got != want {
			return fmt.Errorf("got %q: %s", got, a.body)
		}
	}
	return nil
}

// once checks that no request that is not idempotent was executed twice.
func (s *script) once() error {
	runs := make(map[string]int)
	for _, e := range s.w.executed() {
		if e.Method == "POST" {
			runs[e.RequestID]++
		}
	}
	if len(runs) == 0 {
		return fmt.Errorf("no POST was executed")
	}
	for id, n := range runs {
		if n > 1 {
			return fmt.Errorf("%s was executed %d times", id, n)
		}
	}
	return nil
}

// raw sends bytes that need not be a valid request.
func (s *script) raw(vm int, rest string) error {
	quoted, want, _ := strings.Cut(rest, " -> ")
	text, err := strconv.Unquote(quoted)
	if err != nil {
		return err
	}
	text = regexp.MustCompile(`%[0-9]+`).ReplaceAllStringFunc(text, func(n string) string { return strings.Repeat("x", s.int(n[1:])) })
	c, err := net.Dial("tcp", s.w.vms[vm].CallerAddress.String())
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return err
	}
	got := fmt.Sprintf("%d %s %s", resp.StatusCode(), resp.Header.Peek("Result"), resp.Header.Peek("Reason"))
	if got != want {
		return fmt.Errorf("got %q: %s", got, resp.Body())
	}
	return nil
}

// slowBody is a body that arrives evenly over a period.
type slowBody struct {
	left  int
	part  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.part, b.left)
	b.left -= n
	return n, nil
}

func (s *script) upload(f []string) {
	size, period := s.int(f[2]), s.duration(f[3])
	const parts = 50
	r := request{
		method: "POST", path: f[1], key: goodKey, order: fmt.Sprintf("upload-%d", len(s.uploads)),
		stream: &slowBody{left: size, part: size / parts, pause: period / parts}, size: size,
	}
	done := make(chan answer, 1)
	s.uploads = append(s.uploads, done)
	go func() { done <- s.w.ask(s.int(f[0]), r) }()
}

func (s *script) uploaded() error {
	for _, u := range s.uploads {
		if a := <-u; a.err != nil || a.status != 200 {
			return fmt.Errorf("%s: status %d %s %s, %v: %s", a.order, a.status, a.result, a.reason, a.err, a.body)
		}
	}
	s.uploads = nil
	return nil
}

func (s *script) setKey(name string, in bool) {
	team := &s.w.config.Fleet.Teams[0]
	team.Keys = nil
	if in {
		team.Keys = []sassafrastray.KeyDigest{apikey.Digest(s.keys[name])}
	}
	s.w.publish()
}

// quiet sends requests for a period and checks that none of them is executed by
// the backend servers that match the pattern.
func (s *script) quiet(pattern string, period time.Duration) error {
	from := time.Now()
	for end := from.Add(period); time.Now().Before(end); {
		for i := range s.w.vms {
			s.w.ask(i, request{method: "GET", path: "/orders", key: goodKey})
		}
	}
	for _, e := range s.w.executed() {
		if ok, _ := filepath.Match(pattern, string(e.Server)); ok && e.Start.After(from) {
			return fmt.Errorf("%s executed %s %v after the start", e.Server, e.RequestID, e.Start.Sub(from))
		}
	}
	return nil
}

func (s *script) number(vm int, want int64) error {
	c := s.w.running[vm].handler.Config()
	if c == nil || c.Number != want {
		return fmt.Errorf("vm-%d has %+v", vm, c)
	}
	return nil
}

func (s *script) cut(domains []string) {
	var names []sassafrastray.DomainName
	for _, d := range domains {
		names = append(names, sassafrastray.DomainName(d))
	}
	for _, v := range s.w.running {
		v.faults.Cut(names)
	}
	s.w.platform.cutOff(names)
}
