package crash

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestHandler checks that a handler that panics answers that the request may have run,
// closes its connection, and leaves a log line with the place of the error.
func TestHandler(t *testing.T) {
	var out bytes.Buffer
	var nobody map[string]int
	h := Handler(slog.New(slog.NewTextHandler(&out, nil)), "callers", func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString("half an answer")
		nobody["x"]++
	})
	var ctx fasthttp.RequestCtx
	h(&ctx)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusBadGateway || !ctx.Response.ConnectionClose() {
		t.Errorf("status %d, closes %v, want 502 and a closed connection", got, ctx.Response.ConnectionClose())
	}
	for _, want := range []string{"callers", "nil map", "crash_test.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log line lacks %q: %s", want, out.String())
		}
	}
}

// TestContain checks that the function that defers Contain returns after a panic.
func TestContain(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	for range 2 {
		func() {
			defer Contain(log, "tick")
			panic("unexpected")
		}()
	}
	if n := strings.Count(out.String(), "unexpected"); n < 2 {
		t.Errorf("%d panics are logged, want 2", n)
	}
}
