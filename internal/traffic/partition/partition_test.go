package partition

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

var start = time.Unix(1000, 0)

// address returns the address of the server with a number or a letter.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
}

// TestScripts runs the scripts of the data file.
func TestScripts(t *testing.T) {
	a, err := txtar.ParseFile("testdata/scripts.txtar")
	if err != nil || len(a.Files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			s := &script{t: t, d: New(), now: start, requests: map[string]uint64{}}
			for n, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
				s.n = n + 1
				s.run(strings.Fields(line))
			}
		})
	}
}

// script runs the lines of one script.
type script struct {
	t        *testing.T
	d        *Detector
	n        int
	now      time.Time
	requests map[string]uint64
}

func (s *script) run(words []string) {
	s.t.Helper()
	duration := func(i int) time.Duration {
		d, err := time.ParseDuration(words[i])
		if err != nil {
			s.t.Fatalf("line %d: %v", s.n, err)
		}
		return d
	}
	expect := func(what string, got, want bool) {
		s.t.Helper()
		if got != want {
			s.t.Errorf("line %d: %s is %v, want %v", s.n, what, got, want)
		}
	}
	switch words[0] {
	case "at":
		s.now = start.Add(duration(1))
	case "open":
		s.d.Dialed(address(int(words[1][0])), true, s.now, s.now)
	case "fail":
		s.d.Dialed(address(int(words[1][0])), false, s.now.Add(-duration(2)), s.now)
	case "begin":
		s.requests[words[1]] = s.d.Begin(duration(2), s.now)
	case "answer", "end":
		s.d.End(s.requests[words[1]], words[0] == "answer", s.now)
	case "probe", "silent":
		expect("probe", s.d.StartProbe(s.now), words[0] == "probe")
	case "partitioned", "connected":
		expect("partitioned", s.d.Partitioned(), words[0] == "partitioned")
	case "result":
		var tried, reached int
		if _, err := fmt.Sscan(words[1]+" "+words[2], &tried, &reached); err != nil {
			s.t.Fatalf("line %d: %v", s.n, err)
		}
		e, ok := s.d.EndProbe(tried, reached, s.now)
		expect("event", ok, words[3] != "nothing")
		expect("begin", e.Partitioned, words[3] == "begins")
	default:
		s.t.Fatalf("line %d: unknown word %s", s.n, words[0])
	}
}

// network is the part of the world between one VM and its servers. Connections open
// within a millisecond, hang until dialTimeout, or are refused at once.
type network struct {
	d       *Detector
	rng     *rand.Rand
	now     time.Time
	domains int
	servers int
	// cut says that a server is not reached, refuses that connections to it are refused
	// and not hung, and lives that those which were open go on working.
	cut            func(server int) bool
	refuses, lives bool
	idle           map[int]bool
	later          []later
	probes         int
}

// later is something that happens at a time.
type later struct {
	at time.Time
	do func()
}

const dialTimeout = 400 * time.Millisecond

func (w *network) after(d time.Duration, do func()) {
	w.later = append(w.later, later{w.now.Add(d), do})
}

// step advances the time by ten milliseconds.
func (w *network) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	due := w.later
	w.later = nil
	for _, l := range due {
		if l.at.After(w.now) {
			w.later = append(w.later, l)
		} else {
			l.do()
		}
	}
	if w.d.StartProbe(w.now) {
		w.probe()
	}
}

// dial opens a connection and calls done with whether it opened.
func (w *network) dial(server int, done func(open bool)) {
	from, wait := w.now, time.Duration(0)
	if w.cut(server) && !w.refuses {
		wait = dialTimeout
	}
	w.after(wait, func() {
		open := !w.cut(server)
		w.d.Dialed(address(server), open, from, w.now)
		done(open)
	})
}

// probe opens connections to one server of each of ProbeServers failure domains.
func (w *network) probe() {
	w.probes++
	ended, reached := 0, 0
	n := min(ProbeServers, w.domains)
	for i, domain := range w.rng.Perm(w.domains) {
		if i >= n {
			break
		}
		w.dial(domain+w.domains*w.rng.IntN(w.servers/w.domains), func(open bool) {
			if ended++; open {
				reached++
			}
			if ended == n {
				w.d.EndProbe(n, reached, w.now)
			}
		})
	}
}

// request sends a request to any server, on an idle connection if there is one. One
// connection in five is closed after an answer.
func (w *network) request(work time.Duration) {
	server := w.rng.IntN(w.servers)
	id := w.d.Begin(100*time.Millisecond, w.now)
	send := func(reached bool) {
		if !reached {
			w.after(time.Second, func() { w.d.End(id, false, w.now) })
			return
		}
		w.after(work, func() {
			answered := !w.cut(server) || w.lives
			w.d.End(id, answered, w.now)
			w.idle[server] = answered && w.rng.IntN(5) > 0
		})
	}
	if w.idle[server] {
		w.idle[server] = false
		send(!w.cut(server) || w.lives)
		return
	}
	w.dial(server, func(open bool) {
		if !open {
			w.d.End(id, false, w.now)
			return
		}
		send(true)
	})
}

// TestPartitionIsDetected lets a VM be partitioned from its servers, all of them or those
// of some failure domains. It must detect a partition within two seconds of the first
// request, must not take the loss of a part for one, must detect the end within two
// seconds, and must not probe more than once a second and a few times more.
func TestPartitionIsDetected(t *testing.T) {
	for _, c := range []struct {
		name           string
		rate           float64
		refuses, lives bool
		domains, lost  int
	}{
		{"hanging", 20, false, false, 6, 6},
		{"hanging, few requests", 1, false, false, 6, 6},
		{"hanging, many requests", 500, false, false, 9, 9},
		{"reset and refused", 20, true, false, 6, 6},
		{"old connections live on", 20, true, true, 6, 6},
		{"old connections live on, many requests", 200, true, true, 6, 6},
		{"many failure domains", 50, false, false, 84, 84},
		{"one domain", 20, false, false, 1, 1},
		{"one domain lost", 20, false, false, 6, 1},
		{"one domain refuses", 200, true, false, 6, 1},
		{"all but one domain lost", 20, false, false, 6, 5},
		{"a third of many domains lost", 200, false, false, 84, 28},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			cut := false
			w := &network{
				d: New(), rng: rng, now: start, domains: c.domains, servers: 8 * c.domains, refuses: c.refuses, lives: c.lives, idle: map[int]bool{},
			}
			w.cut = func(server int) bool { return cut && server%c.domains < c.lost }
			run := func(d time.Duration, until func() bool) (time.Duration, bool) {
				for begin := w.now; w.now.Sub(begin) < d; {
					if rng.Float64() < c.rate/100 {
						w.request(time.Duration(20+rng.IntN(150)) * time.Millisecond)
					}
					w.step()
					if until() {
						return w.now.Sub(begin), true
					}
				}
				return d, false
			}
			if _, ok := run(20*time.Second, w.d.Partitioned); ok {
				t.Fatal("partitioned before the cut")
			}
			cut, w.probes = true, 0
			const lasts = 20 * time.Second
			took, detected := run(lasts, w.d.Partitioned)
			allowed := 2*time.Second + time.Duration(float64(2*time.Second)/c.rate)
			switch {
			case c.lost < c.domains && detected:
				t.Errorf("partitioned after %v, though %d of %d domains are reached", took, c.domains-c.lost, c.domains)
			case c.lost == c.domains && (!detected || took > allowed):
				t.Errorf("detected %v after %v, %v allowed", detected, took, allowed)
			}
			if detected {
				run(lasts-took, func() bool { return !w.d.Partitioned() })
				if !w.d.Partitioned() {
					t.Error("the partition ended before the cut")
				}
				t.Logf("detected after %v", took)
			}
			if most := int(lasts/time.Second) + 5; w.probes > most {
				t.Errorf("%d probes during the cut, at most %d allowed", w.probes, most)
			}
			cut = false
			if took, ok := run(5*time.Second, func() bool { return !w.d.Partitioned() }); !ok || took > 2*time.Second {
				t.Errorf("the end was detected %v, after %v", ok, took)
			}
		})
	}
}
