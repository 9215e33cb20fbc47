package ingress

import (
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/relay"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// maxHelpers is how many VMs a request may be relayed to, one after the other, while
	// none of them takes it.
	maxHelpers = 3

	// relaysPerCore bounds the relayed requests that a VM handles at a time for each of
	// its processor cores, to about half of what it can handle, and minRelays is the
	// bound of a VM that has little or whose capacity is not known.
	relaysPerCore = 500
	minRelays     = 16

	// relayRetryAfter is the Retry-After of a request that no VM takes.
	relayRetryAfter = 300 * time.Millisecond
)

// HandleRelayed handles a request that another VM relays to this one.
func (h *Handler) HandleRelayed(ctx *fasthttp.RequestCtx) {
	r, err := relay.ReadRequest(&ctx.Request.Header)
	q := h.receive(ctx)
	q.relayed = &r
	if err != nil {
		h.finish(q, notRun(sassafrastray.ReasonMalformed, err.Error()))
		return
	}
	h.handle(q)
}

// admitRelayed refuses a relayed request that this VM can't take. The sender then tries
// another VM.
func (h *Handler) admitRelayed(q *request, s *Snapshot) *refusal {
	switch {
	case s.Config.Number != q.relayed.Config:
		return notRun(sassafrastray.ReasonStaleConfig, "the VMs have different configurations")
	case h.Partition.Partitioned():
		return notRun(sassafrastray.ReasonVM, "partitioned")
	case h.relayed.Load() > h.maxRelayed():
		return notRun(sassafrastray.ReasonVM, "too many relayed requests")
	}
	return nil
}

func (h *Handler) maxRelayed() int64 { return max(minRelays, int64(relaysPerCore*h.Cores)) }

// relay sends the request to another VM, if this one is partitioned from all backend
// servers and another one can help. It returns false otherwise. A refusal is final: the
// helper has made all tries that the request allows.
func (h *Handler) relay(q *request) (a *attempt, r *refusal, ok bool) {
	if q.relayed != nil {
		return nil, nil, false
	}
	var exclude []sassafrastray.VMName
	for len(exclude) < maxHelpers {
		vm, ok := h.Partition.Helper(q.regions, exclude)
		if !ok {
			break
		}
		if r != nil {
			h.logTry(q, a, r, true, 0)
		}
		q.helper = vm.Name
		a, r = h.relayTo(q, vm)
		q.choice = a.choice
		if r == nil || !refusedByVM(r) || !q.repeatable() {
			return a, r, true
		}
		exclude = append(exclude, vm.Name)
	}
	if r != nil && r.retryAfter == 0 {
		r.retryAfter = relayRetryAfter
	}
	return a, r, r != nil
}

// refusedByVM reports whether a helper could not take a request that another may take.
func refusedByVM(r *refusal) bool {
	if r.result != sassafrastray.ResultNotRun {
		return false
	}
	return r.reason == sassafrastray.ReasonVM || r.reason == sassafrastray.ReasonStaleConfig || r.reason == sassafrastray.ReasonLeaving
}

// relayTo sends the request to one helper, which is released when its answer begins.
func (h *Handler) relayTo(q *request, vm sassafrastray.VM) (*attempt, *refusal) {
	defer h.Partition.Release(vm.Name)
	a := &attempt{start: h.Clock.Now(), resp: fasthttp.AcquireResponse(), helper: vm.Name}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h.copyRequest(q, req)
	if len(q.key) > 0 {
		req.Header.SetBytesV(h.Dialect.Key, q.key)
	}
	relay.Request{Config: q.config, Tries: q.triesLeft(), First: q.sent == 0}.Write(&req.Header)
	call := h.newCall(q, req, vm.PeerAddress)
	x := h.Relays.Start(call)
	q.attach(x)
	a.out = x.Do(req, a.resp)
	if a.out.Failure != upstream.None {
		r := h.exchangeFailure(q, a)
		if r.reason == sassafrastray.ReasonBackend {
			r.reason = sassafrastray.ReasonVM
		}
		return a, r
	}
	res, err := relay.ReadResult(&a.resp.Header)
	if err != nil {
		h.discard(a)
		return a, &refusal{reason: sassafrastray.ReasonBadResponse, result: sassafrastray.ResultUnknown, detail: err.Error()}
	}
	if res.Reason != "" {
		h.discard(a)
		r := &refusal{reason: res.Reason, result: sassafrastray.ResultUnknown, retryAfter: res.Wait, detail: res.Detail}
		if res.Result == sassafrastray.ResultNotRun {
			r.result = sassafrastray.ResultNotRun
		}
		return a, r
	}
	a.choice = h.Placement.Named(res.Backend)
	h.reportWords(a)
	r := h.readResponse(q, a)
	if r == nil {
		h.endLimit(a)
	}
	h.durations.record(q.route.Name, h.Clock.Now().Sub(a.start))
	return a, r
}
