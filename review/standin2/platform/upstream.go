package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeat is how often a backend server writes its entry.
	heartbeat = 1500 * time.Millisecond

	// stayTime is how long a server that leaves goes on serving. The pages ask for
	// drain-ms and a little longer, at times many seconds.
	stayTime = 6 * time.Second

	// reportSize is the length in bytes of a long answer.
	reportSize = 1 << 20

	// firstPart is how much of a long body is read before the work on it begins.
	firstPart = 64 << 10
)

// upstream is one run of a backend server.
type upstream struct {
	id, service, addr, zone, version, store string
	slots                                   int
	work, cold, silence                     time.Duration
	// coldPerSecond is what it tolerates while it is cold. It crashes at crashFactor
	// times as much, if that is set.
	coldPerSecond, crashFactor int
	// steady avoids the silence of long requests, which last as long without it.
	steady bool

	started  time.Time
	log      *os.File
	busy     chan struct{}
	mu       sync.Mutex
	waiting  int
	arrivals []time.Time
}

// runUpstream serves requests and registers the server until the process ends.
func runUpstream(args []string) {
	u := &upstream{started: time.Now()}
	f := flag.NewFlagSet("upstream", flag.ExitOnError)
	f.StringVar(&u.id, "id", "", "name of the entry")
	f.StringVar(&u.service, "service", "", "service")
	f.StringVar(&u.addr, "addr", "", "address")
	f.StringVar(&u.zone, "zone", "", "zone")
	f.StringVar(&u.version, "version", "v1", "version of the software")
	f.StringVar(&u.store, "store", "", "address of the store")
	f.IntVar(&u.slots, "slots", 8, "requests processed at a time")
	f.DurationVar(&u.work, "work", 20*time.Millisecond, "time of a request")
	f.DurationVar(&u.cold, "cold", 0, "time for which the server is cold")
	f.IntVar(&u.coldPerSecond, "cold-per-s", 10, "requests a second that it tolerates while cold")
	f.IntVar(&u.crashFactor, "crash-factor", 0, "crash at so many times that rate")
	f.DurationVar(&u.silence, "silence", 0, "pause within a long answer, or before a long body is read")
	f.BoolVar(&u.steady, "steady", false, "be never silent")
	record := f.String("record", "", "file to which the runs are appended")
	must(f.Parse(args))
	var err error
	u.log, err = os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	must(err)
	u.busy = make(chan struct{}, u.slots)
	ln, err := net.Listen("tcp", u.addr)
	must(err)
	u.write("start", "-")
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	go u.register(leave)
	must(http.Serve(ln, u))
}

// write appends a line with the time in microseconds to the record.
func (u *upstream) write(what, id string) {
	fmt.Fprintf(u.log, "%d %s %s %s %t\n", time.Now().UnixMicro(), u.id, what, id, u.isCold())
}

func (u *upstream) isCold() bool { return time.Since(u.started) < u.cold }

// coldLeft returns for how many milliseconds the server stays cold.
func (u *upstream) coldLeft() int64 { return max(0, (u.cold - time.Since(u.started)).Milliseconds()) }

// register writes the server's entry at once and then with each heartbeat, and repeats a
// call that fails. After SIGTERM the entry says that the server leaves; it goes on serving
// for stayTime after the store has accepted that, and ends.
func (u *upstream) register(leave <-chan os.Signal) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	announced, state := u.coldLeft(), "ready"
	for seq := 1; ; seq++ {
		if announced > 0 && !u.isCold() {
			announced = 0
		}
		spec := map[string]any{
			"service": u.service, "addr": u.addr, "zone": u.zone, "version": u.version, "slots": u.slots, "state": state,
			"cold-left-ms": announced, "seq": seq, "born": u.started.UnixMilli(),
		}
		if err := u.call(client, spec); err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if state == "draining" {
			u.write("draining", "-")
			time.Sleep(stayTime)
			u.write("end", "-")
			os.Exit(0)
		}
		select {
		case <-leave:
			state = "draining"
		case <-time.After(heartbeat):
		}
	}
}

func (u *upstream) call(client *http.Client, spec map[string]any) error {
	b, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": u.id}, "spec": spec})
	must(err)
	base := "http://" + u.store + objectsPath + "servers"
	status, err := send(client, http.MethodPost, base, b)
	if err == nil && status == http.StatusConflict {
		status, err = send(client, http.MethodPut, base+"/"+u.id, b)
	}
	if err == nil && status != http.StatusOK {
		err = errors.New(http.StatusText(status))
	}
	return err
}

func send(client *http.Client, method, url string, body []byte) (int, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}

// admit counts a request and crashes if there are far too many of them while cold. It
// returns false if the queue is full.
func (u *upstream) admit(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.write("arrival", id)
	if u.isCold() && u.crashFactor > 0 {
		now := time.Now()
		u.arrivals = append(u.arrivals, now)
		n := 0
		for _, t := range u.arrivals {
			if now.Sub(t) < time.Second {
				n++
			}
		}
		if n > u.crashFactor*u.coldPerSecond {
			u.write("crash", "-")
			os.Exit(1)
		}
	}
	if u.waiting >= 4*u.slots {
		return false
	}
	u.waiting++
	return true
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/photos/") {
		u.photo(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		if left := u.coldLeft(); left > 0 {
			w.Header().Set("X-Cold-Ms", strconv.FormatInt(left, 10))
		}
		return
	}
	if !u.admit(id) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/reports/") {
		u.report(w, id)
		return
	}
	u.busy <- struct{}{}
	work := u.work
	if u.isCold() {
		work *= 2
	}
	time.Sleep(work)
	<-u.busy
	u.mu.Lock()
	u.waiting--
	running := len(u.busy)
	u.mu.Unlock()
	w.Header().Set("X-Response-Stamp", u.id+"."+id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running, max(0, u.waiting-running), u.slots))
	_, _ = io.WriteString(w, "answer to "+id)
}

// report sends a long answer. In its middle it is silent, or it sends it in small parts
// over the same time.
func (u *upstream) report(w http.ResponseWriter, id string) {
	w.Header().Set("X-Response-Stamp", u.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(reportSize))
	parts := 2
	if u.steady {
		parts = 32
	}
	part := bytes.Repeat([]byte("r"), reportSize/parts)
	what := "whole"
	for i := range parts {
		if i > 0 {
			time.Sleep(u.silence / time.Duration(parts-1))
		}
		if _, err := w.Write(part); err != nil {
			what = "cut"
			break
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	u.write(what, id)
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
}

// photo works on a long body for a while: on its first part before it reads the rest, or
// on all of it.
func (u *upstream) photo(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	first := int64(firstPart)
	if u.steady {
		first = r.ContentLength
	}
	_, err := io.CopyN(io.Discard, r.Body, first)
	u.write("begins", id)
	time.Sleep(u.silence)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		u.write("cut", id)
		return
	}
	u.write("whole", id)
	w.Header().Set("X-Response-Stamp", u.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}
