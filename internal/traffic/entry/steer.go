package entry

import (
	"io"
	"math/rand/v2"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/pace"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/retry"
)

const (
	// usualBytes is the assumed size of an answer with its header.
	usualBytes = 4 << 10

	// permille is the whole of a split.
	permille = 1000
)

// steer sends the request where it is served best, and again if that failed
// in a way that allows it. It returns nil if the answer is under way.
func (h *Handler) steer(in *inbound, s *Snapshot) *refusal {
	h.Retry.request(in.service.Name)
	in.version = version(s.Splits[in.service.Name], in.service)
	maybe := false
	for number := 1; ; number++ {
		s = h.snap.Load()
		in.config = s.Config.Number
		r := h.try(in, s)
		if r == nil {
			return nil
		}
		maybe = maybe || r.result != sassafrastray.ResultNotRun
		if maybe {
			// An earlier try may have run, whatever became of the last.
			r.result = sassafrastray.ResultUnknown
		}
		d := h.Retry.next(retry.Attempt{
			Service: in.service.Name, Number: number, Idempotent: in.route.Idempotent,
			Result: r.result, Reason: r.reason, Deadline: in.deadline, Backend: in.tried, Exclude: in.avoid,
		}, h.Clock.Now())
		if !d.Retry || !in.repeatable() {
			return r
		}
		h.Metrics.Retries.WithLabelValues(string(in.service.Name)).Inc()
		if h.Decision {
			h.Log.Info(message.Retried, "request", in.id, "service", in.service.Name, "after", r.reason, "result", r.result, "number", number)
		}
		in.avoid, in.tried = d.Exclude, ""
		if !in.sleep(d.Pause) {
			return r
		}
	}
}

// try chooses a VM and offers it the request. If the VM would let it wait, the
// second choice is asked too, and the better of the two takes it. These offers
// are one try: none of them has reached a backend server but the last.
func (h *Handler) try(in *inbound, s *Snapshot) *refusal {
	c, ok := s.Choice.Pick(h.want(in), h.Clock.Now(), rand.New(shared{}))
	h.Metrics.Choices.WithLabelValues(string(c.Reason)).Inc()
	if !ok {
		h.logChoice(in, c.Target, c.Reason)
		return nowhere(c.Reason)
	}
	var r *refusal
	var waits [2]time.Duration
	for n := 0; ; n++ {
		o, more := c.Offer(n, waits)
		if !more {
			return r
		}
		h.logChoice(in, o.Target, c.Reason)
		in.patience = o.Patience
		r = h.offer(in, s, o.Target)
		if r == nil || r.result != sassafrastray.ResultNotRun || !in.repeatable() || n == len(waits) {
			return r
		}
		switch r.reason {
		case sassafrastray.ReasonBusy:
			waits[n] = r.wait
		case sassafrastray.ReasonVM, sassafrastray.ReasonLeaving, sassafrastray.ReasonBackend:
			waits[n] = choice.Never
		default:
			return r
		}
	}
}

func (h *Handler) logChoice(in *inbound, t choice.Target, reason choice.Reason) {
	if h.Decision {
		h.Log.Info(message.Routed, "request", in.id, "service", in.service.Name, "route", in.route.Name, "team", in.team,
			"version", in.version, "to", t.VM, "domain", t.Domain, "region", t.Region, "reason", reason)
	}
}

// offer sends the request to the chosen VM.
func (h *Handler) offer(in *inbound, s *Snapshot, t choice.Target) *refusal {
	t.Sent()
	defer t.Done()
	if t.VM == h.Self.Name {
		return h.kept(in)
	}
	to, ok := s.VMs[t.VM]
	if !ok {
		return notRun(sassafrastray.ReasonVM, "gone")
	}
	return h.forward(in, to)
}

func nowhere(r choice.Reason) *refusal {
	if r == choice.ReasonFull {
		return notRun(sassafrastray.ReasonLink, "")
	}
	return notRun(sassafrastray.ReasonBackend, "no VM keeps backend servers for it")
}

func (h *Handler) want(in *inbound) choice.Request {
	bytes := int64(usualBytes)
	if n := in.ctx.Request.Header.ContentLength(); n > 0 {
		bytes += int64(n)
	}
	return choice.Request{Service: in.service.Name, Version: in.version, Team: in.team, Bytes: bytes}
}

// version draws the version that a request goes to.
func version(s move.Split, service *sassafrastray.Service) sassafrastray.VersionName {
	if s.From == "" {
		return service.Version
	}
	return s.Version(rand.IntN(permille))
}

// linkTo returns the key of the link between this VM and a failure domain, or
// "" if both are in one region.
func (h *Handler) linkTo(d sassafrastray.DomainName) string {
	c := h.snap.Load().Config
	from, to := c.RegionOf(h.Self.Domain), c.RegionOf(d)
	if from == to || c.Link(from, to) == nil {
		return ""
	}
	return pace.Key(from, to)
}

// pace returns what waits until bytes of the answer may cross the link to the
// VM that forwarded the request, or nil if there is no link between.
func (h *Handler) pace(in *inbound) func(n int) error {
	if in.origin == "" {
		return nil
	}
	key := h.linkTo(in.origin)
	if key == "" {
		return nil
	}
	return func(n int) error { return h.Pacer.Wait(in, key, n) }
}

// paceBody makes a request's body cross the link no faster than allowed.
func (h *Handler) paceBody(in *inbound, to sassafrastray.VM, body io.Reader) io.Reader {
	key := h.linkTo(to.Domain)
	if key == "" {
		return body
	}
	return &pacedBody{r: body, wait: func(n int) error { return h.Pacer.Wait(in, key, n) }}
}

// paceHead waits until a request's header and small body may cross the link.
func (h *Handler) paceHead(in *inbound, to sassafrastray.VM) *refusal {
	key := h.linkTo(to.Domain)
	if key == "" {
		return nil
	}
	if err := h.Pacer.Wait(in, key, headBytes+len(in.path)+len(in.small)); err != nil {
		return notRun(sassafrastray.ReasonLink, "")
	}
	return nil
}
