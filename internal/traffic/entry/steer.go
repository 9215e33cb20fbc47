package entry

import (
	"io"
	"math/rand/v2"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/retry"
)

const (
	// assumedResponseBytes is the assumed size of a response with its header.
	assumedResponseBytes = 4 << 10

	// splitTotal is the sum of the shares of a split, which are per mille.
	splitTotal = 1000
)

// steer sends the request to the VM that is chosen for it, and retries after a
// failure that allows it. It returns nil if the response is set in the request's
// context; its body may still be streaming.
func (h *Handler) steer(in *inbound, s *Snapshot) *refusal {
	h.Retries.request(in.service.Name)
	in.version = drawVersion(s.Splits[in.service.Name], in.service)
	mayHaveRun := false
	for number := 1; ; number++ {
		s = h.snap.Load()
		in.config = s.Config.Number
		r := h.try(in, s)
		if r == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || r.result != sassafrastray.ResultNotRun
		if mayHaveRun {
			// An earlier try may have run, even if the last one did not.
			r.result = sassafrastray.ResultUnknown
		}
		d := h.Retries.next(retry.Attempt{
			Service: in.service.Name, Number: number, Idempotent: in.route.Idempotent,
			Result: r.result, Reason: r.reason, Deadline: in.deadline, Backend: in.tried, Exclude: in.exclude,
		}, h.Clock.Now())
		if !d.Retry || !in.repeatable() {
			return r
		}
		h.Metrics.Retries.WithLabelValues(string(in.service.Name)).Inc()
		if h.LogDecisions {
			h.Log.Info(message.Retried, "request", in.id, "service", in.service.Name, "after", r.reason, "result", r.result, "number", number)
		}
		in.exclude, in.tried = d.Exclude, ""
		if !in.sleep(d.Backoff) {
			return r
		}
	}
}

// try chooses a VM and offers it the request. If the request would have to wait
// there, it is offered to the second choice too, and then to the VM with the
// shorter wait. These offers count as one try, because only the last of them can
// have reached a backend server.
func (h *Handler) try(in *inbound, s *Snapshot) *refusal {
	c, ok := s.Choice.Pick(h.choiceRequest(in), h.Clock.Now(), rand.New(runtimeSource{}))
	h.Metrics.Choices.WithLabelValues(string(c.Reason)).Inc()
	if !ok {
		h.logChoice(in, c.Target, c.Reason)
		return noTarget(c.Reason)
	}
	var r *refusal
	var waits [2]time.Duration
	for n := 0; ; n++ {
		o, more := c.Offer(n, waits)
		if !more {
			return r
		}
		h.logChoice(in, o.Target, c.Reason)
		in.maxWait = o.MaxWait
		r = h.offer(in, s, o.Target)
		if r == nil || r.result != sassafrastray.ResultNotRun || !in.repeatable() || n == len(waits) {
			return r
		}
		switch r.reason {
		case sassafrastray.ReasonBusy:
			waits[n] = r.retryAfter
		case sassafrastray.ReasonVM, sassafrastray.ReasonLeaving, sassafrastray.ReasonBackend:
			waits[n] = choice.Never
		default:
			return r
		}
	}
}

func (h *Handler) logChoice(in *inbound, t choice.Target, reason choice.Reason) {
	if h.LogDecisions {
		h.Log.Info(message.Routed, "request", in.id, "service", in.service.Name, "route", in.route.Name, "team", in.team,
			"version", in.version, "to", t.VM, "domain", t.Domain, "region", t.Region, "reason", reason)
	}
}

// offer sends the request to the chosen VM.
func (h *Handler) offer(in *inbound, s *Snapshot, t choice.Target) *refusal {
	t.Sent()
	defer t.Done()
	if t.VM == h.Self.Name {
		return h.serveLocal(in)
	}
	to, ok := s.VMs[t.VM]
	if !ok {
		return notRun(sassafrastray.ReasonVM, "gone")
	}
	return h.forward(in, to)
}

func noTarget(r choice.Reason) *refusal {
	if r == choice.ReasonFull {
		return notRun(sassafrastray.ReasonLink, "")
	}
	return notRun(sassafrastray.ReasonBackend, "no VM keeps backend servers for it")
}

func (h *Handler) choiceRequest(in *inbound) choice.Request {
	bytes := int64(assumedResponseBytes)
	if n := in.ctx.Request.Header.ContentLength(); n > 0 {
		bytes += int64(n)
	}
	return choice.Request{Service: in.service.Name, Version: in.version, Team: in.team, Bytes: bytes}
}

// drawVersion draws a request's version at random by the shares of the split.
func drawVersion(s move.Split, service *sassafrastray.Service) sassafrastray.VersionName {
	if s.From == "" {
		return service.Version
	}
	return s.Version(rand.IntN(splitTotal))
}

// linkKey returns the pacer's key of the link from this VM's region to that of a
// failure domain, or "" if that is the same region or no link is configured.
func (h *Handler) linkKey(d sassafrastray.DomainName) string {
	c := h.snap.Load().Config
	from, to := c.RegionOf(h.Self.Domain), c.RegionOf(d)
	if from == to || c.Link(from, to) == nil {
		return ""
	}
	return bandwidth.Key(from, to)
}

// responsePacer returns a function that waits until n bytes of the response may
// cross the link to the VM that forwarded the request. It returns nil if the
// response crosses no link.
func (h *Handler) responsePacer(in *inbound) func(n int) error {
	if in.origin == "" {
		return nil
	}
	key := h.linkKey(in.origin)
	if key == "" {
		return nil
	}
	return func(n int) error { return h.Pacer.Wait(in, key, n) }
}

// paceBody limits the rate at which a request's body crosses the link.
func (h *Handler) paceBody(in *inbound, to sassafrastray.VM, body io.Reader) io.Reader {
	key := h.linkKey(to.Domain)
	if key == "" {
		return body
	}
	return &pacedBody{r: body, wait: func(n int) error { return h.Pacer.Wait(in, key, n) }}
}

// paceHeader waits until a request's header and buffered body may cross the link.
func (h *Handler) paceHeader(in *inbound, to sassafrastray.VM) *refusal {
	key := h.linkKey(to.Domain)
	if key == "" {
		return nil
	}
	if err := h.Pacer.Wait(in, key, assumedHeaderBytes+len(in.path)+len(in.bodyBytes)); err != nil {
		return notRun(sassafrastray.ReasonLink, "")
	}
	return nil
}
