// Package neighbor is the protocol among the VMs of a fleet that share a
// platform's store: heartbeats and copies of what the store said, as JSON over
// HTTP on the inner listener.
package neighbor

import (
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/upstream"
)

// Paths of the protocol.
const (
	BeatPath = "/beat"
	CopyPath = "/copy"
	NewsPath = "/news"
)

const (
	// maxMessage is the size of the largest message in bytes.
	maxMessage = 8 << 20

	// progress bounds each wait for a part of a message.
	progress = time.Second
)

type (
	// Beat is what a VM tells about itself.
	Beat struct {
		VM       sassafrastray.VM          `json:"vm"`
		Inc      sassafrastray.Incarnation `json:"inc"`
		Sequence uint64                    `json:"seq"`
		// Ready tells that callers may be sent to the VM.
		Ready bool `json:"ready,omitempty"`
		// Idle tells that callers are not sent to the VM, as others of its
		// region are larger.
		Idle bool `json:"idle,omitempty"`
		// Config is the number of its configuration, Latest the revisions of
		// the latest changes that its copy of the store holds, and Store
		// whether it reaches the store.
		Config   int64                         `json:"config,omitempty"`
		Latest   map[sassafrastray.Topic]int64 `json:"latest,omitempty"`
		Store    bool                          `json:"store,omitempty"`
		Uses     ratelimit.TeamUsage           `json:"uses,omitempty"`
		Evidence rollout.Evidence              `json:"evidence,omitempty"`
		// Summary takes the place of Uses and Evidence in heartbeats between
		// the regions of a large fleet.
		Summary *Summary `json:"summary,omitempty"`
		// Seen is the incarnation that the sender knows of the receiver.
		Seen sassafrastray.Incarnation `json:"seen,omitempty"`
		// Digest stands for the VMs that the sender knows; Fleet has them,
		// if the receiver's digest differed.
		Digest uint64             `json:"digest,omitempty"`
		Fleet  []sassafrastray.VM `json:"fleet,omitempty"`
	}

	// News is a change of the store that a VM passes on.
	News struct {
		From  sassafrastray.VM    `json:"from"`
		Batch sassafrastray.Batch `json:"batch"`
	}

	// Summary is what the VMs of one region tell together.
	Summary struct {
		Region sassafrastray.RegionName `json:"region"`
		ratelimit.Report
		Evidence rollout.Evidence `json:"evidence,omitempty"`
	}

	// Service is what a VM does with messages.
	Service interface {
		// Beat takes in a heartbeat and returns the VM's own.
		Beat(b *Beat) *Beat
		// Copy returns the VM's copy of the topics of the store in which it
		// holds later changes.
		Copy(held map[sassafrastray.Topic]int64) []sassafrastray.Batch
		// News takes in changes of the store that another VM passes on.
		News(n *News)
	}

	// Client calls other VMs.
	Client struct {
		pool  *upstream.Pool
		clock sassafrastray.Clock
	}
)

// Member returns the part of the heartbeat that membership reads.
func (b *Beat) Member() member.Beat {
	return member.Beat{VM: b.VM, Incarnation: b.Inc, Sequence: b.Sequence, Config: b.Config}
}

// Report returns the part of the heartbeat that quotas read.
func (b *Beat) Report() ratelimit.Report {
	r := ratelimit.Report{Uses: b.Uses, VMs: 1}
	if b.Idle {
		r.Idle = 1
	}
	return r
}

// New returns a client that uses the pool's connections.
func New(pool *upstream.Pool, clock sassafrastray.Clock) *Client {
	return &Client{pool: pool, clock: clock}
}

// Beat sends a heartbeat and returns the other VM's own.
func (c *Client) Beat(to netip.AddrPort, b *Beat, timeout time.Duration) (*Beat, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "heartbeat")
	}
	var answer Beat
	if err := c.call(to, BeatPath, body, &answer, timeout); err != nil {
		return nil, errors.Wrap(err, "heartbeat")
	}
	return &answer, nil
}

// Copy returns the other VM's copy of the topics of the store in which it holds
// changes after those given.
func (c *Client) Copy(to netip.AddrPort, held map[sassafrastray.Topic]int64, timeout time.Duration) ([]sassafrastray.Batch, error) {
	body, err := json.Marshal(held)
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	var batches []sassafrastray.Batch
	err = c.call(to, CopyPath, body, &batches, timeout)
	return batches, errors.Wrap(err, "copy")
}

// News passes a change of the store on.
func (c *Client) News(to netip.AddrPort, n *News, timeout time.Duration) error {
	body, err := json.Marshal(n)
	if err != nil {
		return errors.Wrap(err, "news")
	}
	var ok bool
	return errors.Wrap(c.call(to, NewsPath, body, &ok, timeout), "news")
}

func (c *Client) call(to netip.AddrPort, path string, body []byte, v any, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(path)
	req.Header.SetHost(to.String())
	if body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(body)
	}
	x := c.pool.Start(upstream.Call{Address: to, Deadline: c.clock.Now().Add(timeout), ProgressTimeout: progress})
	if out := x.Do(req, resp); out.Failure != upstream.None {
		return errors.Newf("%s: %v", out.Failure, out.Err)
	}
	b, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxMessage))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("status %d: %.100s", resp.StatusCode(), b)
	}
	return errors.Wrap(json.Unmarshal(b, v), "decode")
}

// Handle answers one message of another VM.
func Handle(ctx *fasthttp.RequestCtx, s Service) {
	switch string(ctx.Path()) {
	case BeatPath:
		var b Beat
		if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
			ctx.Error("heartbeat: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
		reply(ctx, s.Beat(&b))
	case CopyPath:
		var held map[sassafrastray.Topic]int64
		if err := json.Unmarshal(ctx.PostBody(), &held); err != nil {
			ctx.Error("copy: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
		reply(ctx, s.Copy(held))
	case NewsPath:
		var n News
		if err := json.Unmarshal(ctx.PostBody(), &n); err != nil {
			ctx.Error("news: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.News(&n)
		reply(ctx, true)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error("encode: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
