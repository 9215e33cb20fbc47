package connpool

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray/internal/standin/fieldline"
)

// server sends the same answer to each request.
type server struct {
	answer  string
	opened  atomic.Int64
	address net.Addr
}

func newServer(t *testing.T, answer string) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &server{answer: answer, address: ln.Addr()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := c.Write([]byte(s.answer)); err != nil {
			return
		}
	}
}

// call makes a call and returns its outcome as text.
func (s *server) call(t *testing.T, p *Pool) string {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.address.String() + "/a")
	sent, err := p.Do(t.Context(), req, resp, 5*time.Second)
	if err != nil {
		return fmt.Sprintf("failed, sent=%v", sent)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode(), resp.Body())
}

// check makes two calls, after which the server must have seen so many connections.
func (s *server) check(t *testing.T, want string, conns int64) {
	t.Helper()
	p := New(s.address.(*net.TCPAddr).AddrPort())
	defer p.Close()
	for range 2 {
		if got := s.call(t, p); got != want {
			t.Errorf("%q: got %q, want %q", s.answer, got, want)
		}
	}
	if n := s.opened.Load(); n != conns {
		t.Errorf("%q: %d connections, want %d", s.answer, n, conns)
	}
}

// TestBrokenAnswers guards against an answer that counts as one though its status or a line of
// its head is not valid: a VM took the status 000 of a store in trouble for 200, and an empty
// list in it for the state of the platform.
func TestBrokenAnswers(t *testing.T) {
	var heads []string
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "200 O\x00K"} {
		heads = append(heads, "HTTP/1.1 "+status+" x\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 "+status+" x\r\n")
	}
	for _, line := range fieldline.Broken() {
		heads = append(heads, "HTTP/1.1 200 OK\r\nVersion: 1\r\n"+line, "HTTP/1.1 103 x\r\nLink: x\r\n"+line+"\r\nHTTP/1.1 200 OK\r\n")
	}
	for _, head := range heads {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			t.Parallel()
			newServer(t, head+"Content-Length: 2\r\n\r\n{}").check(t, "failed, sent=true", 2)
		})
	}
}

// TestAnswers guards against valid answers that are refused, and against connections that are
// not used again after them, or are against their word.
func TestAnswers(t *testing.T) {
	for _, line := range append(fieldline.Whole(), "") {
		for _, before := range []string{"", "HTTP/1.1 103 x\r\n" + line + "\r\n", "\r\n"} {
			for _, status := range []string{"200 OK", "404 No", "410", "599 x"} {
				for conns, closing := range []string{"Connection: keep-alive\r\n", "Connection: close\r\n"} {
					answer := before + "HTTP/1.1 " + status + "\r\n" + line + closing + "Content-Length: 2\r\n\r\n{}"
					t.Run(fmt.Sprintf("%q", answer), func(t *testing.T) {
						t.Parallel()
						newServer(t, answer).check(t, strings.Fields(status)[0]+" {}", int64(conns+1))
					})
				}
			}
		}
	}
}

// TestAnswersWithoutABody guards against a VM that ends, or waits for a body, because an
// answer whose status has none says how long it would be.
func TestAnswersWithoutABody(t *testing.T) {
	for _, status := range []string{"204", "304"} {
		for _, line := range []string{"", "Content-Length: 0\r\n", "Content-Length: 2\r\n"} {
			t.Run(status+"/"+line, func(t *testing.T) {
				t.Parallel()
				newServer(t, "HTTP/1.1 "+status+" x\r\n"+line+"\r\n").check(t, status+" ", 1)
			})
		}
	}
}
