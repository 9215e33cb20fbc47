package main

import (
	"flag"
	"fmt"
	"strconv"
	"time"
)

// arrival is a request that reached a cold server.
type arrival struct{ sent, at time.Time }

// runCold checks FAILBACK: a backend server restarts under the name that it had while the
// store is down, and is cold then.
func runCold(args []string) int {
	f := flag.NewFlagSet("cold", flag.ExitOnError)
	dir := f.String("dir", ".", "folder of the record")
	program := f.String("program", "", "the program of the VMs")
	trouble := f.Bool("trouble", true, "let the store be down meanwhile")
	must(f.Parse(args))
	const vms, upstreams = 3, 2
	s := newSite(*dir, *program, vms, upstreams, 0, false)
	defer s.close()
	s.note("%d VMs and %d backend servers are ready", vms, upstreams)
	stop := make(chan struct{})
	results := s.callers(vms, 300, stop)
	time.Sleep(8 * time.Second)
	if *trouble {
		s.setDown(true)
		s.note("the store is down (silent)")
	}
	time.Sleep(500 * time.Millisecond)
	for i := range upstreams {
		s.kill(upstreamName(i))
	}
	s.note("the backend servers crash")
	time.Sleep(700 * time.Millisecond)
	for i := range upstreams {
		s.startUpstream(upstreamName(i), s.upstreamAddr(i), coldStart)
	}
	s.note("they start again under their names, cold for %s", coldStart)
	time.Sleep(3300 * time.Millisecond)
	if *trouble {
		s.setDown(false)
		s.note("the store is back after 4.5 s")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	all := results()
	s.stop()
	return s.judgeCold(all)
}

// judgeCold counts, for each second, the requests that were sent and arrived in it at a
// cold server.
func (s *site) judgeCold(all []result) int {
	sent := make(map[string]time.Time, len(all))
	statuses := make(map[string]int)
	for _, r := range all {
		sent[r.id] = r.sent
		statuses[fmt.Sprintf("%s %d", r.method, r.status)]++
	}
	cold := make(map[string][]arrival)
	for _, p := range s.runs() {
		micros, err := strconv.ParseInt(p[0], 10, 64)
		must(err)
		at := time.UnixMicro(micros)
		switch {
		case p[2] == "crash":
			s.note("backend server %s crashes at %.3f s, overrun while cold", p[1], at.Sub(s.began).Seconds())
		case p[2] == "arrival" && p[4] == "true":
			cold[p[1]] = append(cold[p[1]], arrival{sent[p[3]], at})
		}
	}
	most, when, where := 0, time.Time{}, "-"
	for name, arrivals := range cold {
		for _, first := range arrivals {
			n := 0
			for _, r := range arrivals {
				if !r.sent.Before(first.sent) && r.at.Sub(first.sent) < time.Second {
					n++
				}
			}
			if n > most {
				most, when, where = n, first.sent, name
			}
		}
	}
	for _, r := range all {
		fmt.Fprintf(s.record, "call %s %s %.3f %d\n", r.id, r.method, r.sent.Sub(s.began).Seconds(), r.status)
	}
	bound := float64(coldPerSecond)*coldOvershoot + coldSlack
	s.note("answers by status: %v (0: no whole answer)", statuses)
	s.note("most requests at a cold server in one second: %d, at %s from %.3f s on; bound %.0f", most, where, when.Sub(s.began).Seconds(), bound)
	if len(all) < 1000 {
		s.note("too few requests were sent")
		return 2
	}
	if float64(most) > bound {
		s.note("FAILBACK is broken")
		return 1
	}
	s.note("FAILBACK holds")
	return 0
}
