package main

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requestTime bounds one request of a client.
const requestTime = 4 * time.Second

// head formats the head of a POST request. Lines holds further header lines.
func head(host, path, id, key string, lines ...string) string {
	all := append([]string{"POST " + path + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + id, "X-Deadline-Ms: 2000"}, lines...)
	if key != "" {
		all = append(all, "X-Api-Key: "+key)
	}
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

// dial opens a channel to the VM.
func (w *world) dial(v *vm) net.Conn {
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		w.fail("no channel to %s: %v", v.name, err)
	}
	_ = c.SetDeadline(time.Now().Add(requestTime))
	return c
}

// receive reads the answer to a request, and returns its status or 0.
func (w *world) receive(c net.Conn, id string) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.note("client of %s got no answer: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	w.note("client of %s got %d, stamp %q, %q (%v)", id, resp.StatusCode, resp.Header.Get("X-Response-Stamp"), string(b), err)
	return resp.StatusCode
}

// status reads the answer to a request without a note of it, and returns its status or 0.
func (w *world) status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// send sends a request with a body of known length and returns the status.
func (w *world) send(v *vm, host, path, id, key string, body []byte) int {
	c := w.dial(v)
	defer c.Close()
	_, _ = io.WriteString(c, head(host, path, id, key, fmt.Sprintf("Content-Length: %d", len(body)))+string(body))
	return w.receive(c, id)
}

// settle waits for longer than stable-window-ms, so that VMs that have just started are in
// touch.
func settle() { time.Sleep(5 * time.Second) }

// warmUp waits until requests of the team are served. A VM that has just started divides
// the team's rate among more VMs than there are.
func (w *world) warmUp(v *vm) {
	n := 0
	w.await("the first answers", func() bool {
		n++
		return w.send(v, "orders.example", "/orders/warm", fmt.Sprintf("warm%s%d", v.name, n), teamKey, []byte("warm")) == http.StatusOK
	})
}

// digest returns a short digest of a body.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// randomBody returns a body of n bytes.
func randomBody(n int) []byte {
	b := make([]byte, n/2)
	_, _ = rand.Read(b)
	return []byte(hex.EncodeToString(b))
}
