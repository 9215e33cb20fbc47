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
	// announceEvery is the time between two looks at which servers live.
	announceEvery = 500 * time.Millisecond

	callTimeout = time.Second
)

type (
	// Server is a backend server as it registers itself.
	Server struct {
		server.Settings
		// Born tells runs of the server apart.
		Born int64
		// Dead servers are not registered, Leaving ones say so.
		Dead, Leaving bool
	}

	// Announcer registers backend servers and removes those that died.
	Announcer struct {
		base string
		http fasthttp.Client
		told map[sassafrastray.BackendName]Server
	}
)

// NewAnnouncer returns an announcer at the store.
func NewAnnouncer(store netip.AddrPort) *Announcer {
	return &Announcer{base: "http://" + store.String() + objectsPath + "servers", told: make(map[sassafrastray.BackendName]Server)}
}

// Run announces the servers until ctx ends.
func (a *Announcer) Run(ctx context.Context, servers func() []Server) {
	t := time.NewTicker(announceEvery)
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

// announce tells the store of a server that changed. A call that fails is
// repeated in the next round.
func (a *Announcer) announce(s Server) {
	old, told := a.told[s.Name]
	if told && old.Dead == s.Dead && old.Leaving == s.Leaving && old.Born == s.Born {
		return
	}
	var ok bool
	switch {
	case s.Dead && told && !old.Dead:
		ok = a.call(fasthttp.MethodDelete, "/"+string(s.Name), nil)
	case s.Dead:
		ok = true
	default:
		o := Object{Metadata: Metadata{Name: string(s.Name)}, Spec: spec(s)}
		ok = a.call(fasthttp.MethodPost, "", o) || a.call(fasthttp.MethodPut, "/"+string(s.Name), o)
	}
	if ok {
		a.told[s.Name] = s
	}
}

func spec(s Server) json.RawMessage {
	state := "ready"
	if s.Leaving {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service": s.Service, "addr": s.Listen, "zone": s.Domain, "version": s.Version, "slots": s.Slots,
		"state": state, "cold-left-ms": 0, "seq": 1, "born": s.Born,
	})
	if err != nil {
		panic("registry: entry can't be encoded: " + err.Error())
	}
	return b
}

func (a *Announcer) call(method, path string, body any) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(a.base + path)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return false
		}
		req.SetBody(b)
	}
	return a.http.DoTimeout(req, resp, callTimeout) == nil && resp.StatusCode() == fasthttp.StatusOK
}
