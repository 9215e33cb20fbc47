package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"sassafrastray/internal/standin/fieldline"
)

// TestBrokenFields guards against an answer that a caller gets though a line of its head is no
// field: the line was passed on, or made the body another one. The VM reads it from the
// server, or another VM does.
func TestBrokenFields(t *testing.T) {
	for _, line := range fieldline.Broken() {
		for _, relayed := range []bool{false, true} {
			for _, path := range []string{"/read/x", "/write/x"} {
				t.Run(fmt.Sprintf("%q/%v%s", line, relayed, path), func(t *testing.T) {
					t.Parallel()
					for _, answer := range []string{
						"HTTP/1.1 200 OK\r\nId: r1\r\n" + line + "Content-Length: 2\r\n\r\nab",
						"HTTP/1.1 200 OK\r\nId: r1\r\n" + line + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
						"HTTP/1.1 200 OK\r\nId: r1\r\n" + line + "\r\nab",
						"HTTP/1.1 103 x\r\nLink: x\r\n" + line + "\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nab",
					} {
						vm := newVMBeside(t, serveBytes(t, true, []byte(answer), closeConn), relayed)
						if got, n, err := sendUpload(t, vm, path, 10, false); err != nil || got != http.StatusBadGateway {
							t.Errorf("%q: the caller gets status %d with %d bytes, %v", answer, got, n, err)
						}
					}
				})
			}
		}
	}
}

// TestFields guards against valid answers that a caller does not get.
func TestFields(t *testing.T) {
	for _, line := range fieldline.Whole() {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q/%v", line, relayed), func(t *testing.T) {
				t.Parallel()
				for _, answer := range []string{
					"HTTP/1.1 103 x\r\n" + line + "\r\nHTTP/1.1 200 OK\r\nId: r1\r\n" + line + "Content-Length: 2\r\n\r\nab",
					"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n" + line + "\r\n",
				} {
					vm := newVMBeside(t, serveBytes(t, true, []byte(answer), closeConn), relayed)
					if got, n, err := sendUpload(t, vm, "/read/x", 10, false); err != nil || got != http.StatusOK || n != 2 {
						t.Errorf("%q: the caller gets status %d with %d bytes, %v", answer, got, n, err)
					}
				}
			})
		}
	}
}

// TestBrokenTrailers guards against a line of a trailer that is no field and reaches a caller,
// or changes this answer or the next one on its connection. Trailers are dropped, so the answer
// may count as whole, and a server that seems to hang may be left out.
func TestBrokenTrailers(t *testing.T) {
	for _, line := range fieldline.Broken() {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q/%v", line, relayed), func(t *testing.T) {
				t.Parallel()
				trailer := "X-First: " + forged + "\r\n" + strings.Replace(line, ": a", ": "+forged, 1)
				vm := newVMWithSlots(t, serveTrailers(t, "", "", trailer), relayed)
				for i := range 3 {
					checkAnswerTrailer(t, vm, fmt.Sprint("r", i), http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
				}
			})
		}
	}
}
