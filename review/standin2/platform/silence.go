package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// longRequests is how many long requests are sent at the same time, each on a kept
	// channel of its own.
	longRequests = 6

	// answerDeadline and bodyDeadline are how long their clients wait.
	answerDeadline = 20 * time.Second
	bodyDeadline   = 10 * time.Second

	photoSize = 900 << 10
)

// runSilence checks LOST: a backend server is silent for a while within a long answer
// (mode answer), or before it reads a long body (mode body).
func runSilence(args []string) int {
	f := flag.NewFlagSet("silence", flag.ExitOnError)
	dir := f.String("dir", ".", "folder of the record")
	program := f.String("program", "", "the program of the VMs")
	mode := f.String("mode", "answer", "answer or body")
	trouble := f.Bool("trouble", true, "let the backend servers be silent")
	must(f.Parse(args))
	silence := 12 * time.Second
	if *mode == "body" {
		silence = 7500 * time.Millisecond
	}
	s := newSite(*dir, *program, 2, 2, silence, !*trouble)
	defer s.close()
	s.note("2 VMs and 2 backend servers are ready; silence: %t", *trouble)
	// The VMs' token buckets are empty at first.
	time.Sleep(5 * time.Second)
	// The first request opens the channels.
	clients := make([]*http.Client, longRequests)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}, Timeout: answerDeadline + time.Second}
		if status := call(clients[i], apiKey, http.MethodGet, "http://"+s.vmIP(0)+":8686/stock/x", fmt.Sprintf("%016x", 1+i)); status != http.StatusOK {
			s.note("the first request of a channel got %d", status)
			return 2
		}
	}
	if *mode == "answer" {
		s.signal("vm-0", syscall.SIGHUP)
		s.note("SIGHUP to the VM that takes the requests")
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range clients {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 100+i)
			began := time.Now()
			status, n, err := s.long(clients[i], *mode, id)
			mu.Lock()
			defer mu.Unlock()
			s.note("request %s: status %d, %d bytes, %v after %.1f s", id, status, n, err, time.Since(began).Seconds())
			if err != nil || status != http.StatusOK {
				lost++
			}
		})
	}
	if *mode == "body" {
		time.Sleep(4 * time.Second)
		s.signal("vm-0", syscall.SIGTERM)
		s.note("SIGTERM to the VM that takes the requests")
	}
	wg.Wait()
	time.Sleep(time.Second)
	s.stop()
	for _, p := range s.runs() {
		if p[2] == "cut" {
			s.note("backend server %s: request %s was cut off", p[1], p[3])
		}
	}
	if lost > 0 {
		s.note("LOST is broken: %d of %d requests have no complete answer of their backend server", lost, longRequests)
		return 1
	}
	s.note("LOST holds")
	return 0
}

// long sends a long request and reads the answer.
func (s *site) long(client *http.Client, mode, id string) (status, n int, err error) {
	method, path, body, deadline := http.MethodGet, "/reports/x", io.Reader(nil), answerDeadline
	if mode == "body" {
		method, path, deadline = http.MethodPost, "/photos/x", bodyDeadline
		body = bytes.NewReader(bytes.Repeat([]byte("p"), photoSize))
	}
	req, err := http.NewRequest(method, "http://"+s.vmIP(0)+":8686"+path, body)
	must(err)
	req.Host = "shop.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Api-Key", apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(b), err
}
