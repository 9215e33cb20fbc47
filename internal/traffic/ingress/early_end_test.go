package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/upstream"
)

// newVMBeside returns the address of a VM that sends all requests to one server, directly or
// through another VM.
func newVMBeside(t *testing.T, server netip.AddrPort, relayed bool) netip.AddrPort {
	t.Helper()
	h := newHandler(nil)
	h.Placement = anyServer{sassafrastray.BackendServer{Name: "a", Service: "s", Address: server}}
	h.Pool = upstream.New(sassafrastray.SystemClock{}, upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 4, IDHeader: "Id", AllowUnframed: true})
	useTeamRoutes(h, 1)
	// The servers of net/http take the header Expect for one of HTTP.
	h.Dialect.Expect = "Expected"
	if !relayed {
		return serveHandler(t, h)
	}
	first := newHandler(nil)
	first.Partition = &cutOff{helpers: []sassafrastray.VM{{Name: "vm-1", PeerAddress: serveInner(t, h)}}}
	useTeamRoutes(first, 1)
	return serveHandler(t, first)
}

// serveBytes returns the address of a server that reads the head of each request or the whole
// of it, answers with the given bytes and ends the connection.
func serveBytes(t *testing.T, whole bool, answer []byte, end func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
	ln := newListener(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if whole {
					if _, err := io.Copy(io.Discard, q.Body); err != nil {
						return
					}
				}
				_, _ = c.Write(answer)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Ends of a connection.
func closeConn(*net.TCPConn) {}

func resetConn(c *net.TCPConn) { _ = c.SetLinger(0) }

func holdConn(*net.TCPConn) { time.Sleep(100 * time.Millisecond) }

// sendUpload sends a body and returns the answer that the caller takes for a whole one, or an
// error. It reads while it writes: the client of net/http drops an answer if it fails to write
// the body, which the VM need not read to its end.
func sendUpload(t *testing.T, to netip.AddrPort, path string, size int, chunked bool) (status, n int, err error) {
	t.Helper()
	var body io.Reader = bytes.NewReader(make([]byte, size))
	if chunked {
		body = struct{ io.Reader }{body}
	}
	method := http.MethodPost
	if path == "/read/x" {
		method = http.MethodPut
	}
	req := newRelayRequest(t, method, to, path, body)
	c, err := net.Dial("tcp", to.String())
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _ = req.Write(c) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(got), err
}

// TestUnframedAnswersToUploads guards against a part of an answer that its caller takes for a
// whole one. The server answers without a length before it has read the body, and ends the
// connection. The answers are short, so that the VM holds them, and so long that it passes
// them on while they come.
func TestUnframedAnswersToUploads(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, path := range []string{"/read/x", "/write/x"} {
			for _, size := range []int{2, 3 << 20} {
				for name, end := range map[string]func(*net.TCPConn){"closed": closeConn, "reset": resetConn} {
					t.Run(fmt.Sprintf("relayed=%v%s/%d/%s", relayed, path, size, name), func(t *testing.T) {
						t.Parallel()
						answer := append([]byte("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n"), make([]byte, size)...)
						vm := newVMBeside(t, serveBytes(t, false, answer, end), relayed)
						for _, upload := range []int{3 << 20, 10 << 20} {
							for _, chunked := range []bool{false, true} {
								if status, n, err := sendUpload(t, vm, path, upload, chunked); err == nil && status == http.StatusOK {
									t.Errorf("%d bytes, chunked %v: an answer of %d bytes counts as whole", upload, chunked, n)
								}
							}
						}
					})
				}
			}
		}
	}
}

// TestWholeAnswersToUploads guards against whole answers that the caller does not get: one
// with a length that the server sends before it has read the body, and one without a length to
// a request that it has read.
func TestWholeAnswersToUploads(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, path := range []string{"/read/x", "/write/x"} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("relayed=%v%s/%v", relayed, path, chunked), func(t *testing.T) {
					refusal := append([]byte("HTTP/1.1 413 No\r\nId: r1\r\nContent-Length: 4000\r\nConnection: close\r\n\r\n"), make([]byte, 4000)...)
					refusing := newVMBeside(t, serveBytes(t, false, refusal, holdConn), relayed)
					for _, size := range []int{10, 3 << 20} {
						if status, n, err := sendUpload(t, refusing, path, size, chunked); err != nil || status != 413 || n != 4000 {
							t.Errorf("413 to %d bytes: status %d, %d bytes, %v", size, status, n, err)
						}
					}
					for _, length := range []int{0, 4000, 3 << 20} {
						answer := append([]byte("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n"), make([]byte, length)...)
						vm := newVMBeside(t, serveBytes(t, true, answer, closeConn), relayed)
						for _, size := range []int{10, 1 << 20} {
							if status, n, err := sendUpload(t, vm, path, size, chunked); err != nil || status != 200 || n != length {
								t.Errorf("unframed answer of %d bytes to %d bytes: status %d, %d bytes, %v", length, size, status, n, err)
							}
						}
					}
				})
			}
		}
	}
}

// TestInvalidStatuses guards against a response without a valid status that a caller gets as
// a server's answer, directly or through another VM.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "0", "1234", "-200", "2 0", "20x", "200 O\x00K", "200 OK\rX-Note: a", "200 \x7f"} {
		for _, relayed := range []bool{false, true} {
			for _, path := range []string{"/read/x", "/write/x"} {
				t.Run(fmt.Sprintf("%q/%v%s", status, relayed, path), func(t *testing.T) {
					t.Parallel()
					answer := fmt.Sprintf("HTTP/1.1 %s No\r\nId: r1\r\nContent-Length: 2\r\n\r\nab", status)
					vm := newVMBeside(t, serveBytes(t, true, []byte(answer), holdConn), relayed)
					if got, n, err := sendUpload(t, vm, path, 10, false); err != nil || got != http.StatusBadGateway {
						t.Errorf("the caller gets status %d with %d bytes, %v", got, n, err)
					}
				})
			}
		}
	}
}
