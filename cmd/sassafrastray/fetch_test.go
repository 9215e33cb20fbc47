package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"sassafrastray/internal/standin/fieldline"
)

// serveAnswer returns the address of a VM that sends the same answer to each request.
func serveAnswer(t *testing.T, answer string) netip.AddrPort {
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
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// askAll runs the commands that read a page of the VM, and returns their errors by name.
func askAll(vm netip.AddrPort) map[string]error {
	std := &streams{out: io.Discard, err: io.Discard}
	_, published := fetchStatus(context.Background(), vm)
	return map[string]error{
		"status":  (&statusCmd{VM: vm, JSON: true}).Run(std),
		"where":   (&whereCmd{VM: vm, JSON: true}).Run(std),
		"lookup":  (&lookupCmd{VM: vm, JSON: true}).Run(std),
		"publish": published,
	}
}

// TestBrokenAnswers guards against a command that takes a broken answer of a VM for a page of
// it: the status 000 counted as 200, and publish as the word that a configuration is in force.
func TestBrokenAnswers(t *testing.T) {
	heads := []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n"}
	for _, line := range fieldline.Broken() {
		heads = append(heads, "HTTP/1.1 200 OK\r\nServer: x\r\n"+line)
	}
	for _, head := range heads {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			t.Parallel()
			for name, err := range askAll(serveAnswer(t, head+"Content-Length: 2\r\n\r\n{}")) {
				if err == nil {
					t.Errorf("%s takes the answer for a page", name)
				}
			}
		})
	}
}

// TestAnswers guards against valid pages that a command refuses.
func TestAnswers(t *testing.T) {
	for _, line := range fieldline.Whole() {
		for name, err := range askAll(serveAnswer(t, "HTTP/1.1 200 OK\r\n"+line+"Content-Length: 2\r\n\r\n{}")) {
			if err != nil {
				t.Errorf("%q: %s: %v", line, name, err)
			}
		}
	}
}
