package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// faultyServer handles each request as its Script header says, and counts how often
// it executed each request. The script "unread" closes the connection without
// executing the request.
type faultyServer struct {
	addr netip.AddrPort

	mu         sync.Mutex
	executions map[string]int
}

func newFaultyServer(t *testing.T) *faultyServer {
	t.Helper()
	f := &faultyServer{executions: make(map[string]int)}
	f.addr = serveConns(t, f.serve)
	return f
}

// serveConns calls serve for each connection to the address that it returns, until the
// test ends.
func serveConns(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func (f *faultyServer) address() netip.AddrPort { return f.addr }

func (f *faultyServer) executed(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[id]
}

// body returns the response body for a request, which differs for each ID.
func body(id string) []byte { return bytes.Repeat([]byte(id+" "), 500) }

func (f *faultyServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		id, script := string(req.Header.Peek("Request-Id")), string(req.Header.Peek("Script"))
		if script == "unread" {
			return
		}
		f.mu.Lock()
		f.executions[id]++
		f.mu.Unlock()
		if !f.answer(c, id, script) {
			return
		}
	}
}

// answer sends the response and reports whether the connection stays open.
func (f *faultyServer) answer(c net.Conn, id, script string) bool {
	b := body(id)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(b), b)
	switch script {
	case "cut-none":
		return false
	case "cut-head":
		fmt.Fprint(c, whole[:20])
		return false
	case "cut-body":
		fmt.Fprint(c, whole[:len(whole)/2])
		return false
	case "cut-chunk":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(b), b)
		return false
	case "chunked":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(b), b)
	case "late":
		time.Sleep(60 * time.Millisecond)
		fmt.Fprint(c, whole)
	case "crossed":
		fmt.Fprint(c, strings.ReplaceAll(whole, id, "other-"+id))
	case "twice":
		fmt.Fprint(c, whole, whole)
	case "unframed":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n%s", id, b)
		return false
	case "garbage":
		fmt.Fprint(c, "220 mail.example ESMTP\r\n\r\n")
	case "closing":
		fmt.Fprint(c, whole)
		return false
	default:
		fmt.Fprint(c, whole)
	}
	return true
}
