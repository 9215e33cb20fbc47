// Package registry stands in for the platform's metadata store: objects by kind
// and name with a specification and a status, conditional writes, lists, watches
// with a bounded history, and the faults that its control interface switches on.
package registry

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	objectsPath = "/api/objects/"
	statusPart  = "status"

	// longestWait bounds the wait of a watch.
	longestWait = 30 * time.Second
)

type (
	// Metadata is what the store keeps of an object besides its content.
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"mod-revision"`
	}

	// Object is one object.
	Object struct {
		Metadata Metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
		Status   json.RawMessage `json:"status"`
	}

	// event is one change of an object.
	event struct {
		Object  Object `json:"object"`
		Deleted bool   `json:"deleted"`
		kind    string
	}

	// Faults are what goes wrong. The zero value is a store that works.
	Faults struct {
		// Down turns calls away: with "busy" they get 503, with "reset" their
		// connection is closed, with "silent" nothing comes back.
		Down string `json:"down"`
		// Only limits Down to calls that arrive at these IP addresses.
		Only []string `json:"only"`
		// Lost lets writes take effect without an answer.
		Lost bool `json:"lost"`
	}

	// Registry is the store.
	Registry struct {
		mu       sync.Mutex
		revision int64
		objects  map[string]map[string]Object
		history  []event
		// forgotten is the revision up to which the history is gone.
		forgotten int64
		faults    Faults
		changed   chan struct{}
		calls     int
	}
)

// New returns an empty store.
func New() *Registry {
	return &Registry{revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// Handle answers the calls of clients.
func (r *Registry) Handle(ctx *fasthttp.RequestCtx) {
	r.mu.Lock()
	r.calls++
	faults := r.faults
	r.mu.Unlock()
	if faults.hit(ctx) {
		turnAway(ctx, faults.Down)
		return
	}
	parts := strings.Split(strings.TrimPrefix(string(ctx.Path()), objectsPath), "/")
	if !strings.HasPrefix(string(ctx.Path()), objectsPath) || parts[0] == "" || len(parts) > 3 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsGet() {
		r.write(ctx, parts)
		if faults.Lost {
			turnAway(ctx, "reset")
		}
		return
	}
	switch {
	case len(parts) == 2:
		r.get(ctx, parts[0], parts[1])
	case len(parts) == 1 && ctx.QueryArgs().Has("watch"):
		r.watch(ctx, parts[0])
	default:
		r.list(ctx, parts[0])
	}
}

// hit tells whether the store turns the call away.
func (f *Faults) hit(ctx *fasthttp.RequestCtx) bool {
	return f.Down != "" && (len(f.Only) == 0 || slices.Contains(f.Only, ctx.LocalIP().String()))
}

// Control answers calls of the test: PUT /control/faults with Faults, DELETE
// /control/history, GET /control/calls.
func (r *Registry) Control(ctx *fasthttp.RequestCtx) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch string(ctx.Path()) {
	case "/control/faults":
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.faults = f
		r.wake()
	case "/control/history":
		r.history, r.forgotten = nil, r.revision
		r.wake()
	case "/control/calls":
		reply(ctx, fasthttp.StatusOK, r.calls)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (r *Registry) get(ctx *fasthttp.RequestCtx, kind, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.objects[kind][name]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply(ctx, fasthttp.StatusOK, o)
}

func (r *Registry) list(ctx *fasthttp.RequestCtx, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := []Object{}
	after := string(ctx.QueryArgs().Peek("after"))
	for name, o := range r.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	const page = 10
	more := len(items) > page
	if more {
		items = items[:page]
	}
	reply(ctx, fasthttp.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": r.revision})
}

// watch waits for events of a kind. It ends when the faults change, as a call
// under way does when a store goes down.
func (r *Registry) watch(ctx *fasthttp.RequestCtx, kind string) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("watch")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(string(ctx.QueryArgs().Peek("wait-ms")))
	if err != nil {
		ms = 0
	}
	timer := time.NewTimer(min(longestWait, time.Duration(ms)*time.Millisecond))
	defer timer.Stop()
	for over := false; ; {
		r.mu.Lock()
		if after < r.forgotten {
			r.mu.Unlock()
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if r.faults.hit(ctx) {
			r.mu.Unlock()
			turnAway(ctx, "reset")
			return
		}
		events := []event{}
		for _, e := range r.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := r.revision, r.changed
		r.mu.Unlock()
		if len(events) > 0 || over {
			reply(ctx, fasthttp.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		}
	}
}

func (r *Registry) write(ctx *fasthttp.RequestCtx, parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var o Object
	if len(ctx.PostBody()) > 0 {
		if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	kind, name := parts[0], o.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old, exists := r.objects[kind][name]
	switch {
	case ctx.IsPost() && exists, exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(ctx, fasthttp.StatusConflict, old)
	case ctx.IsPost():
		r.put(ctx, kind, Object{Metadata: Metadata{Name: name}, Spec: o.Spec})
	case !exists:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case ctx.IsDelete():
		delete(r.objects[kind], name)
		r.revision++
		old.Metadata.Revision = r.revision
		r.history = append(r.history, event{old, true, kind})
		r.wake()
	case len(parts) == 3 && parts[2] == statusPart:
		old.Status = o.Status
		r.put(ctx, kind, old)
	default:
		old.Spec = o.Spec
		r.put(ctx, kind, old)
	}
}

// put stores an object and answers with it. The lock is held.
func (r *Registry) put(ctx *fasthttp.RequestCtx, kind string, o Object) {
	r.revision++
	o.Metadata.Revision = r.revision
	if r.objects[kind] == nil {
		r.objects[kind] = make(map[string]Object)
	}
	r.objects[kind][o.Metadata.Name] = o
	r.history = append(r.history, event{o, false, kind})
	r.wake()
	reply(ctx, fasthttp.StatusOK, o)
}

// wake makes the waiting calls look again. The lock is held.
func (r *Registry) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func turnAway(ctx *fasthttp.RequestCtx, how string) {
	if how == "busy" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if how == "silent" {
			// The client gives up by itself.
			_, _ = c.Read(make([]byte, 1))
		}
	})
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("registry: answer can't be encoded: " + err.Error())
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
