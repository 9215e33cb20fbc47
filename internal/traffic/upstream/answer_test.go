package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/valyala/fasthttp"

	"sassafrastray"
)

// TestAnswers runs the scripts in testdata/answers.txtar: the bytes that a server
// sends after a request, or before it has read the body, and the result that the
// caller must see. Escapes such as \r and \n in the bytes are unquoted.
func TestAnswers(t *testing.T) {
	a, err := txtar.ParseFile("testdata/answers.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) { runScript(t, string(f.Data)) })
	}
}

// scriptedServer follows the same script on each connection.
type scriptedServer struct {
	lines []string
}

func (s *scriptedServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, line := range s.lines {
		verb, arg, _ := strings.Cut(line, " ")
		switch verb {
		case "head":
			var h fasthttp.RequestHeader
			if h.Read(r) != nil {
				return
			}
		case "request":
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
		case "send":
			text, err := strconv.Unquote(`"` + arg + `"`)
			if err != nil {
				panic(line)
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		case "reset":
			// With a linger time of zero, Close sends a reset.
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "pause":
			time.Sleep(2 * time.Millisecond)
		case "hold":
			time.Sleep(300 * time.Millisecond)
		}
	}
}

func runScript(t *testing.T, data string) {
	s := &scriptedServer{}
	var want []string
	size, method := 0, fasthttp.MethodGet
	for line := range strings.SplitSeq(strings.TrimSpace(data), "\n") {
		verb, arg, _ := strings.Cut(line, " ")
		switch verb {
		case "body":
			size, _ = strconv.Atoi(arg)
			method = fasthttp.MethodPost
		case "method":
			method = arg
		case "see":
			want = append(want, arg)
		default:
			s.lines = append(s.lines, line)
		}
	}
	address := serveConns(t, s.serve)
	p := New(sassafrastray.SystemClock{}, Options{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 8, IDHeader: "Id", MaxDiscarded: 2, AllowUnframed: true,
	})
	defer p.Close()
	for i, w := range want {
		if got := describeExchange(p, address, method, size, i); got != w {
			t.Errorf("request %d: got %q, want %q", i, got, w)
		}
	}
}

// describeExchange sends the request with the ID rN and describes its result.
func describeExchange(p *Pool, address netip.AddrPort, method string, size, n int) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost("test.example")
	req.Header.Set("Id", fmt.Sprint("r", n))
	req.Header.SetMethod(method)
	if size > 0 {
		req.SetBodyRaw(bytes.Repeat([]byte("x"), size))
	}
	x := p.Start(Call{Address: address, Deadline: time.Now().Add(2 * time.Second), ProgressTimeout: time.Second})
	out := x.Do(req, resp)
	if out.Failure != None {
		return fmt.Sprintf("%s sent=%v", out.Failure, out.Sent)
	}
	var body []byte
	var err error
	if s := resp.BodyStream(); s != nil {
		body, err = io.ReadAll(s)
	}
	if err != nil {
		return fmt.Sprintf("%d cut", resp.StatusCode())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d %s kept=%d", resp.StatusCode(), body, len(p.idle[address]))
}
