package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/placement"
)

// anyServer is a Placement that sends each request to one server.
type anyServer struct{ sassafrastray.BackendServer }

func (p anyServer) Pick(placement.Request) (placement.Choice, bool) {
	return placement.Choice{Server: p.BackendServer, Reason: placement.Preferred, Expected: 10 * time.Millisecond}, true
}

func (anyServer) Takes(placement.Choice) bool                      { return true }
func (anyServer) Named(sassafrastray.BackendName) placement.Choice { return placement.Choice{} }
func (anyServer) SetLimit(placement.Choice, float64)               {}
func (anyServer) EndLimit(placement.Choice)                        {}

func (anyServer) SetLeaving(placement.Choice)              {}
func (anyServer) SetPause(placement.Choice, time.Duration) {}

func (anyServer) Done(placement.Choice, placement.End, time.Duration, *sassafrastray.BackendLoad) {}

// TestLargeBodiesShareMemory sends requests with large bodies and answers from callers
// that read slowly, more than the memory for held bodies has room for. All must be
// whole, the memory must never be overdrawn, and all of it must be free at the end.
func TestLargeBodiesShareMemory(t *testing.T) {
	const callers, size, room = 12, 300 << 10, 1 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	answer := bytes.Repeat([]byte("answer "), size/7)
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			if ctx.IsPost() && len(ctx.PostBody()) != size {
				ctx.Error("body cut short", fasthttp.StatusBadRequest)
				return
			}
			ctx.Response.Header.Set("Id", string(ctx.Request.Header.Peek("Id")))
			ctx.SetBody(answer)
		})
	}()
	h := newHandler(&serverList{})
	h.Placement = anyServer{sassafrastray.BackendServer{Name: "a", Address: ln.Addr().(*net.TCPAddr).AddrPort()}}
	h.memory = newMemory(room / memoryShare)
	address := listen(t, h)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			method, path, body := http.MethodGet, "/read/x", io.Reader(http.NoBody)
			if i%2 == 0 {
				method, path, body = http.MethodPost, "/write/x", bytes.NewReader(make([]byte, size))
			}
			req, err := http.NewRequest(method, "http://"+address+path, body)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h"
			req.Header.Set("Id", fmt.Sprint("r", i))
			resp, err := (&http.Transport{}).RoundTrip(req)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			defer resp.Body.Close()
			time.Sleep(200 * time.Millisecond)
			if got, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(got, answer) {
				t.Errorf("request %d: status %d, %d bytes, %v", i, resp.StatusCode, len(got), err)
			}
		})
	}
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	least := int64(room)
	for done := false; !done; {
		select {
		case <-ended:
			done = true
		case <-time.After(time.Millisecond):
			least = min(least, h.memory.free.Load())
		}
	}
	if least > room-size {
		t.Errorf("at least %d of %d bytes were free: no body was held", least, room)
	}
	for end := time.Now().Add(time.Second); h.memory.free.Load() != room && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if free := h.memory.free.Load(); free != room {
		t.Errorf("%d of %d bytes are free at the end", free, room)
	}
}
