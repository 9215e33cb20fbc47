package registry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/server"
)

const (
	// announceInterval is the time between two comparisons of the servers' state
	// with what was registered.
	announceInterval = 500 * time.Millisecond

	callTimeout = time.Second
)

type (
	// Server is a backend server and the state that it registers.
	Server struct {
		server.Settings
		// StartedUnixMs is the time of the server's start in milliseconds since
		// the Unix epoch. It distinguishes a restarted server from its earlier
		// run.
		StartedUnixMs int64
		// Crashed servers are not registered; draining ones register as draining.
		Crashed, Draining bool
	}

	// Announcer registers backend servers with the metadata store and removes
	// those that crashed.
	Announcer struct {
		baseURL string
		http    fasthttp.Client
		// registered holds the state of each server that the store last accepted.
		registered map[sassafrastray.BackendName]Server
	}
)

// NewAnnouncer returns an announcer that registers with the store at an address.
func NewAnnouncer(store netip.AddrPort) *Announcer {
	return &Announcer{baseURL: "http://" + store.String() + objectsPath + "servers", registered: make(map[sassafrastray.BackendName]Server)}
}

// Run registers the servers and their changes until ctx ends.
func (a *Announcer) Run(ctx context.Context, servers func() []Server) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		for _, s := range servers() {
			a.announce(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// announce writes a server's state to the store if it changed since the last
// successful write. The next round repeats a call that fails.
func (a *Announcer) announce(s Server) {
	old, registered := a.registered[s.Name]
	if registered && old.Crashed == s.Crashed && old.Draining == s.Draining && old.StartedUnixMs == s.StartedUnixMs {
		return
	}
	var ok bool
	switch {
	case s.Crashed && registered && !old.Crashed:
		ok = a.call(fasthttp.MethodDelete, "/"+string(s.Name), nil)
	case s.Crashed:
		ok = true
	default:
		o := Object{Metadata: Metadata{Name: string(s.Name)}, Spec: spec(s)}
		ok = a.call(fasthttp.MethodPost, "", o) || a.call(fasthttp.MethodPut, "/"+string(s.Name), o)
	}
	if ok {
		a.registered[s.Name] = s
	}
}

// spec returns the specification of a server's object in the store.
func spec(s Server) json.RawMessage {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service": s.Service, "addr": s.Listen, "zone": s.Domain, "version": s.Version, "slots": s.Slots,
		"state": state, "cold-left-ms": 0, "seq": 1, "born": s.StartedUnixMs,
	})
	if err != nil {
		panic("registry: encode spec: " + err.Error())
	}
	return b
}

// call makes one call to the store and reports whether it succeeded with 200.
func (a *Announcer) call(method, path string, body any) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(a.baseURL + path)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return false
		}
		req.SetBody(b)
	}
	return a.http.DoTimeout(req, resp, callTimeout) == nil && resp.StatusCode() == fasthttp.StatusOK
}
