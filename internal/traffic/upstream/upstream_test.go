package upstream

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"sassafrastray"
)

var scripts = []string{
	"ok", "ok", "ok", "chunked", "closing", "cut-none", "cut-head", "cut-body", "cut-chunk",
	"late", "crossed", "twice", "endless", "garbage", "unread",
}

// answered is what a caller got for one request.
type answered struct {
	id, script string
	out        Outcome
	body       []byte
	err        error
}

func exchange(p *Pool, f *faulty, id, script string, proved bool) answered {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost("test.example")
	req.Header.Set("Request-Id", id)
	req.Header.Set("Script", script)
	x := p.Start(Call{
		Address: f.address(), Proved: proved,
		Deadline: time.Now().Add(40 * time.Millisecond), Progress: 40 * time.Millisecond,
	})
	a := answered{id: id, script: script, out: x.Do(req, resp)}
	if a.out.Failure == None && resp.BodyStream() != nil {
		a.body, a.err = io.ReadAll(resp.BodyStream())
	}
	return a
}

// TestExchanges sends requests to a server that cuts, delays, crosses and
// repeats its answers. The oracle: no request is executed twice; one reported
// as not sent is never executed; a body that ends without an error is the one
// that the server sent for this very request.
func TestExchanges(t *testing.T) {
	f := newFaulty(t)
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := New(sassafrastray.SystemClock{}, Options{Dial: time.Second, Idle: time.Minute, MaxIdle: 8})
		defer p.Close()
		for range rapid.IntRange(1, 4).Draw(rt, "rounds") {
			plan := rapid.SliceOfN(rapid.SampledFrom(scripts), 1, 6).Draw(rt, "scripts")
			proved := rapid.Bool().Draw(rt, "proved")
			got := make([]answered, len(plan))
			var wg sync.WaitGroup
			for i, s := range plan {
				serial++
				id := fmt.Sprintf("r%d", serial)
				wg.Go(func() { got[i] = exchange(p, f, id, s, proved) })
			}
			wg.Wait()
			for _, a := range got {
				check(rt, f, a)
			}
		}
	})
}

func check(t *rapid.T, f *faulty, a answered) {
	if n := f.executed(a.id); n > 1 {
		t.Fatalf("%s (%s) was executed %d times", a.id, a.script, n)
	} else if n == 1 && !a.out.Sent {
		t.Fatalf("%s (%s) was executed but reported as not sent", a.id, a.script)
	}
	if a.out.Failure == None && a.err == nil && !bytes.Equal(a.body, body(a.id)) {
		t.Fatalf("%s (%s) got another body: %.40q", a.id, a.script, a.body)
	}
	if a.out.Failure == None && a.err == nil && (strings.HasPrefix(a.script, "cut") || a.script == "endless") {
		t.Fatalf("%s (%s) looks whole", a.id, a.script)
	}
	if a.script == "ok" && a.out.Failure == Crossed {
		t.Fatalf("%s got an answer to another request", a.id)
	}
}

// TestAbort checks that an exchange under way ends when it is aborted.
func TestAbort(t *testing.T) {
	f := newFaulty(t)
	p := New(sassafrastray.SystemClock{}, Options{Dial: time.Second, Idle: time.Minute, MaxIdle: 8})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("/")
	req.Header.SetHost("test.example")
	req.Header.Set("Request-Id", "aborted")
	req.Header.Set("Script", "late")
	x := p.Start(Call{Address: f.address(), Deadline: time.Now().Add(time.Minute), Progress: time.Minute})
	go func() {
		for f.executed("aborted") == 0 {
			time.Sleep(time.Millisecond)
		}
		x.Abort()
	}()
	if out := x.Do(req, resp); out.Failure != Aborted || !out.Sent {
		t.Fatalf("got %+v, want aborted and sent", out)
	}
}

// TestSilentConnections checks that idle connections as old as one that went
// silent are not used again, and that new ones are.
func TestSilentConnections(t *testing.T) {
	f := newFaulty(t)
	p := New(sassafrastray.SystemClock{}, Options{Dial: time.Second, Idle: time.Minute, MaxIdle: 8})
	defer p.Close()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { exchange(p, f, fmt.Sprintf("warm-%d", i), "ok", false) })
	}
	wg.Wait()
	if a := exchange(p, f, "silent", "late", false); a.out.Failure != Silent {
		t.Fatalf("got %q, want silent", a.out.Failure)
	}
	if n := len(p.idle[f.address()]); n != 0 {
		t.Errorf("%d connections as old as the silent one are kept", n)
	}
	if a := exchange(p, f, "after", "ok", false); a.out.Failure != None {
		t.Errorf("a new connection fails: %q %v", a.out.Failure, a.out.Err)
	}
}
