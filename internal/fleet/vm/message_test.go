package vm

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/operator/message"
)

// crashLog is a log handler that counts the tasks that ended unexpectedly and keeps
// the last one.
type crashLog struct {
	count *atomic.Int64
	last  *atomic.Value
}

func newCrashLog() crashLog { return crashLog{&atomic.Int64{}, &atomic.Value{}} }

// Enabled reports whether the level is that of crashes.
func (crashLog) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelError }

// Handle counts a line about a crash.
func (c crashLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == message.Crash {
		c.count.Add(1)
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "error" || a.Key == "stack" {
				c.last.Store(a.Value.String())
			}
			return true
		})
	}
	return nil
}

// WithAttrs returns the same handler.
func (c crashLog) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup returns the same handler.
func (c crashLog) WithGroup(string) slog.Handler { return c }

// sendMessage sends a message to a VM as another VM does, and returns the answer's
// status and body.
func sendMessage(w *world, vm int, path, body string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.vms[vm].PeerAddress.String() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(peer.TokenHeader, string(peer.NewToken([]byte("0123456789abcdef"))))
	req.SetBodyString(body)
	if newClient().DoTimeout(req, resp, 5*time.Second) != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

// TestMessages sends each message of the data file to a VM and checks that no task of
// the VM ends unexpectedly, that the message is answered, and that the VM goes on
// answering callers.
func TestMessages(t *testing.T) {
	t.Parallel()
	a, err := txtar.ParseFile("testdata/messages.txtar")
	if err != nil {
		t.Fatal(err)
	}
	w := newWorld(t, []sassafrastray.DomainName{"a"}, 2)
	crashes := newCrashLog()
	w.running[0].post(func(time.Time) { w.running[0].log = slog.New(crashes) })
	for _, f := range a.Files {
		path, body, _ := strings.Cut(string(f.Data), "\n")
		if status, answer := sendMessage(w, 0, path, body); status == 0 || answer == "internal error" {
			t.Errorf("%s: got %d %q", f.Name, status, answer)
		}
		// Two ticks use what the message changed.
		time.Sleep(3 * tickInterval)
		if n := crashes.count.Swap(0); n > 0 {
			t.Errorf("%s: %d tasks ended unexpectedly: %v", f.Name, n, crashes.last.Load())
		}
	}
	if a := w.ask(0, request{method: "GET", path: "/orders", key: goodKey}); a.status != fasthttp.StatusOK {
		t.Errorf("after the messages a caller gets %d %s %v", a.status, a.reason, a.err)
	}
}
