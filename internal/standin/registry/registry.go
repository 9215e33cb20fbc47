// Package registry simulates the platform's metadata store for tests: objects by
// kind and name with a specification and a status, conditional writes, lists,
// watches over a history that a test can discard, and the faults that are set
// through its control interface. It also has the client that registers the
// simulated backend servers.
package registry

import (
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	objectsPath   = "/api/objects/"
	statusSegment = "status"

	// maxWatchWait bounds the wait that a watch asks for.
	maxWatchWait = 30 * time.Second
)

type (
	// Metadata is an object's name and the store's revision at its last write.
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"mod-revision"`
	}

	// Object is one object of the store, in its encoding on the wire.
	Object struct {
		Metadata Metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
		Status   json.RawMessage `json:"status"`
	}

	// event is one write or deletion of an object.
	event struct {
		Object  Object `json:"object"`
		Deleted bool   `json:"deleted"`
		kind    string
	}

	// Faults are the faults that the store injects. The zero value injects none.
	Faults struct {
		// Down rejects calls: "busy" answers with 503, "reset" closes the
		// connection, "silent" keeps it open without a response.
		Down string `json:"down"`
		// OnlyAddrs limits Down to calls that arrive at these local IP addresses;
		// empty means all.
		OnlyAddrs []string `json:"only"`
		// LoseResponses lets writes take effect but closes the connection without
		// a response.
		LoseResponses bool `json:"lost"`
		// Divert replaces the addresses of backend servers in the responses to calls
		// that arrive at DivertAddrs, so that these VMs don't reach the servers.
		Divert      string   `json:"divert"`
		DivertAddrs []string `json:"diverted"`
	}

	// Registry is the state of the store and its HTTP handlers.
	Registry struct {
		mu       sync.Mutex
		revision int64
		objects  map[string]map[string]Object
		history  []event
		// compacted is the revision up to which the history was discarded.
		// Watches from an earlier one get 410.
		compacted int64
		// era counts the returns to older copies from 1, and changes holds all writes
		// that led to the current state.
		era     int64
		changes []change
		now     func() time.Time
		faults  Faults
		changed chan struct{}
		calls   int
	}
)

// New returns an empty store.
func New() *Registry {
	return &Registry{revision: 1, era: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), now: time.Now}
}

// Handle serves the calls of clients, or fails them as the faults demand.
func (r *Registry) Handle(ctx *fasthttp.RequestCtx) {
	r.mu.Lock()
	r.calls++
	faults := r.faults
	r.mu.Unlock()
	defer r.nameEra(ctx)
	if faults.rejects(ctx) {
		reject(ctx, faults.Down)
		return
	}
	parts := strings.Split(strings.TrimPrefix(string(ctx.Path()), objectsPath), "/")
	if !strings.HasPrefix(string(ctx.Path()), objectsPath) || parts[0] == "" || len(parts) > 3 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsGet() {
		r.write(ctx, parts)
		if faults.LoseResponses {
			reject(ctx, "reset")
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

// nameEra sets the era of an answer.
func (r *Registry) nameEra(ctx *fasthttp.RequestCtx) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx.Response.Header.Set(eraHeader, strconv.FormatInt(r.era, 10))
}

// rejects reports whether the store rejects the call.
func (f *Faults) rejects(ctx *fasthttp.RequestCtx) bool {
	return f.Down != "" && (len(f.OnlyAddrs) == 0 || slices.Contains(f.OnlyAddrs, ctx.LocalIP().String()))
}

// rewriteServers writes the entries of all backend servers again, so that watches return
// them. The caller holds r.mu.
func (r *Registry) rewriteServers() {
	for _, name := range slices.Sorted(maps.Keys(r.objects["servers"])) {
		r.record("servers", r.objects["servers"][name], false)
	}
}

// divert returns the object as the call's response has it.
func (f *Faults) divert(ctx *fasthttp.RequestCtx, kind string, o Object) Object {
	var spec map[string]json.RawMessage
	if f.Divert == "" || kind != "servers" || !slices.Contains(f.DivertAddrs, ctx.LocalIP().String()) || json.Unmarshal(o.Spec, &spec) != nil {
		return o
	}
	spec["addr"], _ = json.Marshal(f.Divert)
	b, err := json.Marshal(spec)
	if err != nil {
		panic("registry: encode specification: " + err.Error())
	}
	o.Spec = b
	return o
}

// Control handles requests on the control interface: PUT /control/faults replaces
// the Faults, DELETE /control/history discards the history, PUT /control/restore carries
// out a Restore, and GET /control/calls returns the number of calls of clients so far.
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
		diverts := f.Divert != r.faults.Divert || !slices.Equal(f.DivertAddrs, r.faults.DivertAddrs)
		r.faults = f
		if diverts {
			r.rewriteServers()
		}
		r.notifyWaiters()
	case "/control/history":
		r.history, r.compacted = nil, r.revision
		r.notifyWaiters()
	case "/control/restore":
		r.restore(ctx)
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
			items = append(items, r.faults.divert(ctx, kind, o))
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	const pageSize = 10
	hasMore := len(items) > pageSize
	if hasMore {
		items = items[:pageSize]
	}
	reply(ctx, fasthttp.StatusOK, map[string]any{"items": items, "has-more": hasMore, "store-revision": r.revision})
}

// watch waits for events of a kind. If a fault that rejects the call is set
// meanwhile, the connection is closed, as it is when a real store goes down
// during a call.
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
	timer := time.NewTimer(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	defer timer.Stop()
	for timedOut := false; ; {
		r.mu.Lock()
		if after < r.compacted || after > r.revision {
			r.mu.Unlock()
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if r.faults.rejects(ctx) {
			r.mu.Unlock()
			reject(ctx, "reset")
			return
		}
		events := []event{}
		for _, e := range r.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				e.Object = r.faults.divert(ctx, kind, e.Object)
				events = append(events, e)
			}
		}
		revision, changed := r.revision, r.changed
		r.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(ctx, fasthttp.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
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
		r.record(kind, old, true)
	case len(parts) == 3 && parts[2] == statusSegment:
		old.Status = o.Status
		r.put(ctx, kind, old)
	default:
		old.Spec = o.Spec
		r.put(ctx, kind, old)
	}
}

// put stores an object and replies with it. The caller holds r.mu.
func (r *Registry) put(ctx *fasthttp.RequestCtx, kind string, o Object) {
	reply(ctx, fasthttp.StatusOK, r.record(kind, o, false))
}

// notifyWaiters makes the waiting watches read the state again. The caller holds
// r.mu.
func (r *Registry) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// reject fails the call in the given mode, which is a value of Faults.Down.
func reject(ctx *fasthttp.RequestCtx, mode string) {
	if mode == "busy" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if mode == "silent" {
			// Holds the connection until the client's own timeout closes it.
			_, _ = c.Read(make([]byte, 1))
		}
	})
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("registry: encode response: " + err.Error())
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
