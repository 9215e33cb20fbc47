// Package endless is a backend server in trouble: it sends bytes that are no answer,
// without end, until its client closes the connection.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// repeats is how often a unit is written at once.
const repeats = 64

type (
	// Server serves on one address. The last element of a request's path names
	// the kind of its answer.
	Server struct {
		ln net.Listener
		// idHeader is the header whose value answers repeat, and notRun the one
		// that states that a request was not run.
		idHeader, notRun string
		busy             atomic.Int64
		sent             atomic.Int64
	}

	// flow is a beginning and what follows it without end.
	flow struct{ begin, unit string }
)

// flows maps each kind to its answer. ID and NOTRUN stand for the headers,
// IDNAME for the name of that with the ID.
var flows = map[string]flow{
	"head":      {"HTTP/1.1 200 OK\r\nID\r\n", "Filler: 0123456789012345678901234567890123456789\r\n"},
	"line":      {"HTTP/1.1 200 OK\r\nID\r\nFiller: ", strings.Repeat("x", 64)},
	"garbage":   {"", strings.Repeat("\x00\x7fnothing ", 8)},
	"interim":   {"", "HTTP/1.1 103 Early Hints\r\nID\r\nLink: </a>\r\n\r\n"},
	"chunks":    {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
	"extension": {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n2;", "name=value;"},
	"trailer":   {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "Filler: 0123456789\r\n"},
	"unframed":  {"HTTP/1.1 200 OK\r\nID\r\n\r\n", strings.Repeat("x", 64)},
	"length":    {"HTTP/1.1 200 OK\r\nID\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 64)},
	"status":    {"HTTP/1.1 200 ", strings.Repeat("x", 64)},
	"lines":     {"", strings.Repeat("\r\n", 32)},
	"digits":    {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 64)},
	"spaces":    {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n2", strings.Repeat(" ", 64)},
	"chunk":     {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", strings.Repeat("x", 64)},
	"crossed":   {"HTTP/1.1 200 OK\r\nIDNAME: another\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
	"answers":   {"", "HTTP/1.1 200 OK\r\nIDNAME: another\r\nContent-Length: 2\r\n\r\nab"},
	"failure":   {"HTTP/1.1 500 Failed\r\nID\r\n\r\n", strings.Repeat("x", 64)},
	"misled":    {"HTTP/1.1 421 Another\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
	"after":     {"HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nab", strings.Repeat("x", 64)},
	"nothing":   {"HTTP/1.1 204 No Content\r\nID\r\n\r\n", strings.Repeat("x", 64)},
	"switch":    {"HTTP/1.1 101 Switching\r\nID\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", strings.Repeat("x", 64)},
	"refusal":   {"HTTP/1.1 503 Busy\r\nID\r\nNOTRUN: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
}

// Kinds returns the names of the answers.
func Kinds() []string {
	out := make([]string, 0, len(flows))
	for k := range flows {
		out = append(out, k)
	}
	return out
}

// FollowsAnswer reports whether the bytes without end follow a whole answer.
func FollowsAnswer(kind string) bool { return kind == "after" || kind == "nothing" }

// New returns a server that listens on a free port of the loopback address.
func New(idHeader, notRun string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "endless server")
	}
	s := &Server{ln: ln, idHeader: idHeader, notRun: notRun}
	go s.accept()
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort { return s.ln.Addr().(*net.TCPAddr).AddrPort() }

// Busy returns the number of connections on which an answer is being sent.
func (s *Server) Busy() int64 { return s.busy.Load() }

// Sent returns the number of bytes sent so far.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close ends the listener. Answers under way go on until their clients close.
func (s *Server) Close() error { return s.ln.Close() }

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	var h fasthttp.RequestHeader
	if h.Read(bufio.NewReader(c)) != nil {
		return
	}
	path := string(h.RequestURI())
	f, ok := flows[path[strings.LastIndexByte(path, '/')+1:]]
	if !ok {
		return
	}
	s.busy.Add(1)
	defer s.busy.Add(-1)
	fill := strings.NewReplacer("IDNAME", s.idHeader, "ID", s.idHeader+": "+string(h.Peek(s.idHeader)), "NOTRUN", s.notRun)
	if _, err := io.WriteString(c, fill.Replace(f.begin)); err != nil {
		return
	}
	unit := []byte(strings.Repeat(fill.Replace(f.unit), repeats))
	for {
		n, err := c.Write(unit)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
