package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"sassafrastray"
)

// scripts are the values of the Script header that faultyServer handles. The usual
// response is listed several times to be drawn more often.
var scripts = []string{
	"ok", "ok", "ok", "chunked", "closing", "cut-none", "cut-head", "cut-body", "cut-chunk",
	"late", "crossed", "twice", "unframed", "garbage", "unread",
}

// result is what the caller received for one request.
type result struct {
	id, script string
	outcome    Outcome
	body       []byte
	err        error
}

func exchange(p *Pool, f *faultyServer, id, script string, fresh bool) result {
	return exchangeWithin(40*time.Millisecond, p, f.address(), id, script, fresh)
}

func exchangeWithin(limit time.Duration, p *Pool, address netip.AddrPort, id, script string, fresh bool) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost("test.example")
	req.Header.Set("Request-Id", id)
	req.Header.Set("Script", script)
	x := p.Start(Call{
		Address: address, RequireFresh: fresh, Deadline: time.Now().Add(limit), ProgressTimeout: limit,
	})
	r := result{id: id, script: script, outcome: x.Do(req, resp)}
	if r.outcome.Failure == None && resp.BodyStream() != nil {
		r.body, r.err = io.ReadAll(resp.BodyStream())
	}
	return r
}

// TestExchanges sends requests to a server that truncates, delays, mixes up and
// repeats its responses. It checks that no request is executed twice, that one
// reported as not sent is never executed, and that a body which ends without an
// error is the one that the server sent for this request.
func TestExchanges(t *testing.T) {
	f := newFaultyServer(t)
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := New(sassafrastray.SystemClock{}, Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 8})
		defer p.Close()
		for range rapid.IntRange(1, 4).Draw(rt, "rounds") {
			plan := rapid.SliceOfN(rapid.SampledFrom(scripts), 1, 6).Draw(rt, "scripts")
			fresh := rapid.Bool().Draw(rt, "fresh")
			got := make([]result, len(plan))
			var wg sync.WaitGroup
			for i, s := range plan {
				serial++
				id := fmt.Sprintf("r%d", serial)
				wg.Go(func() { got[i] = exchange(p, f, id, s, fresh) })
			}
			wg.Wait()
			for _, r := range got {
				check(rt, f, r)
			}
		}
	})
}

// check fails the test if the result contradicts what the server did.
func check(t *rapid.T, f *faultyServer, r result) {
	if n := f.executed(r.id); n > 1 {
		t.Fatalf("%s (%s) was executed %d times", r.id, r.script, n)
	} else if n == 1 && !r.outcome.Sent {
		t.Fatalf("%s (%s) was executed but reported as not sent", r.id, r.script)
	}
	if r.outcome.Failure == None && r.err == nil && !bytes.Equal(r.body, body(r.id)) {
		t.Fatalf("%s (%s) got the body of another response: %.40q", r.id, r.script, r.body)
	}
	if r.outcome.Failure == None && r.err == nil && (strings.HasPrefix(r.script, "cut") || r.script == "unframed") {
		t.Fatalf("%s (%s) was truncated but ended without an error", r.id, r.script)
	}
	if r.script == "ok" && r.outcome.Failure == Crossed {
		t.Fatalf("%s got a response to another request", r.id)
	}
}

// TestAbort checks that an exchange in progress ends when it is aborted.
func TestAbort(t *testing.T) {
	f := newFaultyServer(t)
	p := New(sassafrastray.SystemClock{}, Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 8})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("/")
	req.Header.SetHost("test.example")
	req.Header.Set("Request-Id", "aborted")
	req.Header.Set("Script", "late")
	x := p.Start(Call{Address: f.address(), Deadline: time.Now().Add(time.Minute), ProgressTimeout: time.Minute})
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

// TestSilentConnectionClosesIdleOnes checks that the idle connections to an address
// are closed when an exchange with it times out without a response, and that new
// connections still work.
func TestSilentConnectionClosesIdleOnes(t *testing.T) {
	f := newFaultyServer(t)
	p := New(sassafrastray.SystemClock{}, Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 8})
	defer p.Close()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { exchange(p, f, fmt.Sprintf("warm-%d", i), "ok", false) })
	}
	wg.Wait()
	if r := exchange(p, f, "silent", "late", false); r.outcome.Failure != Silent {
		t.Fatalf("got %q, want silent", r.outcome.Failure)
	}
	if n := len(p.idle[f.address()]); n != 0 {
		t.Errorf("%d idle connections from before the timeout are kept", n)
	}
	if r := exchange(p, f, "after", "ok", false); r.outcome.Failure != None {
		t.Errorf("exchange on a new connection: %q %v", r.outcome.Failure, r.outcome.Err)
	}
}
