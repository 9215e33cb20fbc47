package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// run is one request that a server ran.
	run struct {
		id, path, method, sum string
		size                  int
		tenants, keys, ids    []string
		header                http.Header
	}

	// server is a backend server that registers itself in the store.
	server struct {
		w    *world
		id   string
		spec map[string]any
		srv  *http.Server
		quit chan struct{}

		mu   sync.Mutex
		runs []run
		// work is how long a request takes.
		work time.Duration
		// custom, if set, writes the answer instead of the usual one.
		custom func(http.ResponseWriter, run)
	}
)

// startServer starts a server of a service and registers it.
func (w *world) startServer(id, service string, work time.Duration) *server {
	s := &server{w: w, id: id, work: work, quit: make(chan struct{})}
	l, err := net.Listen("tcp", w.freeAddr(100))
	if err != nil {
		w.fail("%v", err)
	}
	s.spec = map[string]any{
		"service": service, "addr": l.Addr().String(), "zone": "n-1", "version": "v1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "born": time.Now().UnixMilli(),
	}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.srv.Serve(l) }()
	go s.report()
	w.servers = append(w.servers, s)
	return s
}

// report writes the server's entry in the store every 1.5 s.
func (s *server) report() {
	t := time.NewTicker(1500 * time.Millisecond)
	defer t.Stop()
	for seq := 1; ; seq++ {
		s.spec["seq"] = seq
		s.w.write("servers", s.id, s.spec)
		select {
		case <-t.C:
		case <-s.quit:
			return
		}
	}
}

func (s *server) stop() {
	close(s.quit)
	_ = s.srv.Close()
}

func (s *server) handle(rw http.ResponseWriter, req *http.Request) {
	h := rw.Header()
	h["X-Server-Load"] = []string{"1,0,8"}
	if req.URL.Path == "/health" {
		h["X-Instance-Id"] = []string{s.id}
		return
	}
	h["X-Attempt-Id"] = req.Header["X-Attempt-Id"]
	if e := req.Header.Get("X-Expect-Instance"); e != "" && e != s.id {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b, err := io.ReadAll(req.Body)
	if err != nil {
		s.w.note("%s: the body of %s broke off after %d bytes: not run", s.id, req.Header.Get("X-Attempt-Id"), len(b))
		return
	}
	sum := sha256.Sum256(b)
	r := run{
		id: req.Header.Get("X-Attempt-Id"), path: req.RequestURI, method: req.Method, sum: hex.EncodeToString(sum[:8]), size: len(b),
		tenants: req.Header["X-Tenant"], keys: req.Header["X-Api-Key"], ids: req.Header["X-Attempt-Id"], header: req.Header.Clone(),
	}
	s.mu.Lock()
	s.runs = append(s.runs, r)
	custom, work := s.custom, s.work
	s.mu.Unlock()
	quiet := strings.HasPrefix(r.id, "first-")
	if !quiet {
		s.w.note("%s runs %s %s, id %q, tenant %q, key %q, body %d bytes %s", s.id, r.method, r.path, r.ids, r.tenants, r.keys, r.size, r.sum)
	}
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		s.w.note("%s drops %s, its connection was closed", s.id, r.id)
		return
	}
	if custom != nil {
		custom(rw, r)
		return
	}
	rw.Header().Set("X-Response-Stamp", "stamp-"+s.id+"-"+r.id)
	fmt.Fprintf(rw, "done %s %s", r.id, r.sum)
	if !quiet {
		s.w.note("%s has finished %s", s.id, r.id)
	}
}

// setAnswer replaces the usual answer.
func (s *server) setAnswer(f func(http.ResponseWriter, run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custom = f
}

// all returns the requests that the server ran.
func (s *server) all() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// setWork changes how long a request takes.
func (s *server) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}
