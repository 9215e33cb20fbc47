package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrastray"
)

// serveTrailers returns the address of a server that answers each request in chunks, with an
// extension of the last one and a trailer.
func serveTrailers(t *testing.T, declared, extension, trailer string) netip.AddrPort {
	ln := newListener(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerWithTrailer(c, declared, extension, trailer)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func answerWithTrailer(c net.Conn, declared, extension, trailer string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0%s\r\n%s\r\n",
			req.Header.Get("Id"), declared, extension, trailer)
	}
}

// trailerServer is serveTrailers with one field, which is in the trailer, there and declared
// in the head, or in the extension.
func trailerServer(t *testing.T, name, form string) netip.AddrPort {
	field := name + ": " + forged + "\r\n"
	switch form {
	case "declared":
		return serveTrailers(t, "Trailer: "+name+"\r\n", "", field)
	case "extension":
		return serveTrailers(t, "", ";"+name+"="+forged, "")
	}
	return serveTrailers(t, "", "", field)
}

// newVMWithSlots returns the address of a VM that sends all requests to a server of four
// slots, or relays them to another VM which does.
func newVMWithSlots(t *testing.T, server netip.AddrPort, relayed bool) netip.AddrPort {
	newVM := func() *Handler {
		h := newHandler(nil)
		h.Placement = newTable([]sassafrastray.BackendServer{{Name: "a", Service: "s", Address: server, Slots: 4, Version: "v1"}})
		return h
	}
	entry := newVM()
	if relayed {
		entry.Partition = &cutOff{helpers: []sassafrastray.VM{{Name: "helper", PeerAddress: serveInner(t, newVM())}}}
	}
	return serveHandler(t, entry)
}

// TestAnswerTrailers guards against a field of the trailer of a server's answer that counts
// as one of its header: as the ID of another request, a refusal, a limit or a stop of the
// server, or as a field that callers get. An answer with a field that RFC 9110 keeps out of
// trailers may count as malformed.
func TestAnswerTrailers(t *testing.T) {
	b, err := os.ReadFile("testdata/trailers.txt")
	if err != nil {
		t.Fatal(err)
	}
	names := []string{"Shed", "Load", "Server-Limit", "Server-Leaving", "Retry-After", "Set-Cookie"}
	for line := range strings.Lines(string(b)) {
		if name := strings.TrimSpace(line); !strings.HasPrefix(name, "#") {
			names = append(names, name)
		}
	}
	for _, relayed := range []bool{false, true} {
		for _, name := range names {
			for _, form := range []string{"trailer", "declared", "extension"} {
				t.Run(fmt.Sprintf("relayed=%v/%s/%s", relayed, name, form), func(t *testing.T) {
					address := newVMWithSlots(t, trailerServer(t, name, form), relayed)
					var refusals []int
					if form != "extension" && slices.Contains([]string{"Set-Cookie", "Content-Length", "Content-Type", "Connection", "Cookie", "Host", "Trailer", "Transfer-Encoding"}, name) {
						refusals = append(refusals, http.StatusBadGateway)
					}
					// The second request shows what the VM made of the first answer.
					for i := range 2 {
						checkAnswerTrailer(t, address, fmt.Sprint("r", i), refusals...)
					}
				})
			}
		}
	}
}

// checkAnswerTrailer sends a request, whose answer must be whole or one of the refusals, and
// without a field of the trailer.
func checkAnswerTrailer(t *testing.T, address netip.AddrPort, id string, refusals ...int) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address.String()+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", id)
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	whole := resp.StatusCode == http.StatusOK && string(body) == "done"
	if err != nil || resp.Header.Get("Id") != id || !whole && !slices.Contains(refusals, resp.StatusCode) {
		t.Errorf("request %s: status %d, ID %q, body %q, %v", id, resp.StatusCode, resp.Header.Get("Id"), body, err)
	}
	for _, fields := range []http.Header{resp.Header, resp.Trailer} {
		for name, values := range fields {
			if strings.Contains(strings.Join(values, ","), forged) {
				t.Errorf("request %s: the caller gets %s: %s", id, name, values)
			}
		}
	}
}
