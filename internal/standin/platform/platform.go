// Package platform simulates the platform for tests: it serves the object store
// and the list of VMs over HTTP, and injects the faults that are set through its
// control interface.
package platform

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/call"
	"sassafrastray/internal/standin/fault"
	"sassafrastray/internal/standin/object"
	"sassafrastray/internal/standin/tcp"
	"sassafrastray/internal/standin/vmlist"
)

const (
	headerVersion   = "Version"
	headerIfVersion = "If-Version"
	headerDomain    = "Domain"
	headerClient    = "Client"

	objectsPath = "/objects/"
	// defaultWait applies to watches without a valid wait parameter.
	defaultWait = 30 * time.Second
)

type (
	// Platform is the state of the simulated platform and its HTTP handlers.
	Platform struct {
		clock sassafrastray.Clock
		log   *slog.Logger

		mu       sync.Mutex
		objects  *object.Table
		vms      *vmlist.List
		faults   *fault.Injector
		calls    *call.Counter
		listener *tcp.Listener
		// changed is closed and replaced at each change of the state, so
		// that waiting calls read the state again.
		changed chan struct{}
	}

	// request is a parsed call of a client.
	request struct {
		kind   call.Kind
		key    string
		domain sassafrastray.DomainName
		client string
	}

	// watchResponse is the body of the response to a watch.
	watchResponse struct {
		Revision int64                  `json:"revision"`
		Objects  []sassafrastray.Object `json:"objects"`
	}
)

// New returns a platform without objects that serves the VM list of vms.
func New(clock sassafrastray.Clock, log *slog.Logger, r *rand.Rand, vms *vmlist.List) *Platform {
	return &Platform{
		clock:   clock,
		log:     log,
		objects: object.New(),
		vms:     vms,
		faults:  fault.New(r),
		calls:   call.New(),
		changed: make(chan struct{}),
	}
}

// Handle serves the calls of clients, or fails them as the faults demand.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	r, ok := parse(ctx)
	if !ok {
		ctx.Error("no such call", fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.calls.Add(r.client, r.kind)
	action := p.faults.Decide(r.kind, r.domain, p.clock.Now())
	delay := p.faults.Settings().Delay
	p.mu.Unlock()
	time.Sleep(delay)
	switch action {
	case fault.Serve:
		p.serve(ctx, r)
	case fault.LoseResponse:
		p.serve(ctx, r)
		closeUnanswered(ctx)
	default:
		fail(ctx, action)
	}
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx, r request) {
	switch r.kind {
	case call.Get:
		p.get(ctx, r)
	case call.Put, call.Delete:
		p.write(ctx, r)
	case call.List:
		p.mu.Lock()
		found := p.objects.List(string(ctx.QueryArgs().Peek("prefix")))
		p.mu.Unlock()
		writeJSON(ctx, found)
	case call.Watch:
		p.watch(ctx, r)
	case call.VMs:
		p.mu.Lock()
		vms := p.vms.VMs(p.clock.Now())
		p.mu.Unlock()
		writeJSON(ctx, vms)
	}
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, r request) {
	p.mu.Lock()
	o, err := p.objects.Get(r.key)
	p.mu.Unlock()
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(headerVersion, strconv.FormatInt(o.Version, 10))
	ctx.SetBody(o.Value)
}

func (p *Platform) write(ctx *fasthttp.RequestCtx, r request) {
	expected, err := strconv.ParseInt(string(ctx.Request.Header.Peek(headerIfVersion)), 10, 64)
	if err != nil {
		ctx.Error(headerIfVersion+" is not a number", fasthttp.StatusBadRequest)
		return
	}
	body := append([]byte{}, ctx.PostBody()...)
	if len(body) > sassafrastray.MaxObjectBytes {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	version, err := p.apply(r, body, expected)
	switch {
	case errors.Is(err, sassafrastray.ErrConflict):
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case errors.Is(err, sassafrastray.ErrNotFound):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		ctx.Response.Header.Set(headerVersion, strconv.FormatInt(version, 10))
	}
}

func (p *Platform) apply(r request, value []byte, expected int64) (version int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.kind == call.Put {
		version, err = p.objects.Put(r.key, value, expected)
	} else {
		version, err = p.objects.Delete(r.key, expected)
	}
	if err == nil {
		p.notifyWaiters()
	}
	return version, err
}

// notifyWaiters makes the waiting calls read the state again. The caller holds
// p.mu.
func (p *Platform) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// watch waits until an object below the prefix changes or the wait is over. A
// fault that is set meanwhile ends it in the way it ends other calls.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, r request) {
	q := ctx.QueryArgs()
	prefix := string(q.Peek("prefix"))
	after, err := strconv.ParseInt(string(q.Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("after is not a number", fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(q.Peek("wait")))
	if err != nil {
		wait = defaultWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	closed, stop := ctx.Conn().(*tcp.Conn).WatchClose()
	defer stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for timedOut := false; ; {
		p.mu.Lock()
		resp := watchResponse{p.objects.Revision(), p.objects.Changes(prefix, after)}
		action := p.faults.DomainAction(r.domain)
		changed := p.changed
		p.mu.Unlock()
		if action != fault.Serve {
			fail(ctx, action)
			return
		}
		if len(resp.Objects) > 0 || timedOut {
			writeJSON(ctx, resp)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-closed:
			closeUnanswered(ctx)
			return
		}
	}
}

// addWaiting adds n to the number of watches in progress.
func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Watches += n
}

// parse reads the kind of the call and its key from the method and the path. It
// returns false if the API has no such call.
func parse(ctx *fasthttp.RequestCtx) (request, bool) {
	r := request{
		domain: sassafrastray.DomainName(ctx.Request.Header.Peek(headerDomain)),
		client: string(ctx.Request.Header.Peek(headerClient)),
	}
	if r.client == "" {
		r.client = ctx.RemoteIP().String()
	}
	path := string(ctx.URI().PathOriginal())
	if key, ok := strings.CutPrefix(path, objectsPath); ok {
		kinds := map[string]call.Kind{"GET": call.Get, "PUT": call.Put, "DELETE": call.Delete}
		var err error
		r.kind = kinds[string(ctx.Method())]
		r.key, err = url.PathUnescape(key)
		return r, err == nil && r.kind != "" && r.key != ""
	}
	r.kind = map[string]call.Kind{"/list": call.List, "/watch": call.Watch, "/vms": call.VMs}[path]
	return r, r.kind != "" && ctx.IsGet()
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("platform: encode response: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
