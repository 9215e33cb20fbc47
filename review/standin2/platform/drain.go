package main

import (
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	// drainBound is drain-ms of the settings.
	drainBound = 2500 * time.Millisecond

	// silenceAfter and silenceFor say when the store is silent after a change of the
	// backend servers, and for how long.
	silenceAfter = 200 * time.Millisecond
	silenceFor   = 250 * time.Millisecond
)

// runDrain checks DRAIN: a backend server starts, the store is silent for a quarter of a
// second, and 5 s later another server says that it leaves.
func runDrain(args []string) int {
	f := flag.NewFlagSet("drain", flag.ExitOnError)
	dir := f.String("dir", ".", "folder of the record")
	program := f.String("program", "", "the program of the VMs")
	trouble := f.Bool("trouble", true, "let the store be silent")
	must(f.Parse(args))
	const vms, upstreams = 3, 3
	s := newSite(*dir, *program, vms, upstreams, 0, false)
	defer s.close()
	s.note("%d VMs and %d backend servers are ready", vms, upstreams)
	stop := make(chan struct{})
	results := s.callers(vms, 150, stop)
	time.Sleep(8500 * time.Millisecond)
	s.startUpstream(upstreamName(upstreams), s.upstreamAddr(upstreams), 0)
	s.await("http://" + s.store + objectsPath + "servers/" + upstreamName(upstreams))
	s.note("the store has the entry of a further backend server")
	if *trouble {
		time.Sleep(silenceAfter)
		s.setDown(true)
		time.Sleep(silenceFor)
		s.setDown(false)
		s.note("the store was silent for %s and is back", silenceFor)
	}
	time.Sleep(5 * time.Second)
	s.signal(upstreamName(0), syscall.SIGTERM)
	s.note("backend server %s leaves", upstreamName(0))
	time.Sleep(8 * time.Second)
	close(stop)
	all := results()
	s.stop()
	return s.judgeDrain(all)
}

// judgeDrain counts the requests that reached a server later than the bound after the store
// had accepted that it leaves.
func (s *site) judgeDrain(all []result) int {
	statuses := make(map[string]int)
	for _, r := range all {
		statuses[fmt.Sprintf("%s %d", r.method, r.status)]++
		fmt.Fprintf(s.record, "call %s %s %.3f %d\n", r.id, r.method, r.sent.Sub(s.began).Seconds(), r.status)
	}
	leaving := make(map[string]time.Time)
	late, latest := 0, time.Duration(0)
	for _, p := range s.runs() {
		micros, err := strconv.ParseInt(p[0], 10, 64)
		must(err)
		at := time.UnixMicro(micros)
		switch p[2] {
		case "draining":
			leaving[p[1]] = at
		case "arrival":
			if since, ok := leaving[p[1]]; ok && at.Sub(since) > drainBound {
				late++
				latest = max(latest, at.Sub(since))
			}
		}
	}
	s.note("answers by status: %v (0: no whole answer)", statuses)
	if len(leaving) == 0 || len(all) < 1000 || statuses["GET "+strconv.Itoa(http.StatusOK)] == 0 {
		s.note("no server left, or too few requests were sent")
		return 2
	}
	s.note("requests that reached the server later than %s after the store's ack: %d, the last %.1f s after it", drainBound, late, latest.Seconds())
	if late > 0 {
		s.note("DRAIN is broken")
		return 1
	}
	s.note("DRAIN holds")
	return 0
}
