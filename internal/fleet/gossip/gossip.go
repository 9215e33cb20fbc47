// Package gossip implements the protocol between the VMs of a fleet that share a
// platform's store: heartbeats, which also spread the list of known VMs, and copies
// and updates of the store's contents. Messages are JSON over HTTP on the inner
// listener.
package gossip

import (
	"bytes"
	"io"
	"net/netip"
	"net/url"
	"time"

	"github.com/goccy/go-json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/deflate"
	"sassafrastray/internal/fleet/duty"
	"sassafrastray/internal/fleet/listener"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/replica"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/limit/usage"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
	"sassafrastray/internal/traffic/upstream"
)

// Paths of the protocol.
const (
	HeartbeatPath = "/beat"
	CopyPath      = "/copy"
	UpdatePath    = "/news"
	MemoryPath    = "/memory"
	TokenPath     = "/token"
	UsagePath     = "/usage"
)

const (
	// maxMessageSize bounds a message and its answer in bytes.
	maxMessageSize = 8 << 20

	// progressTimeout bounds each wait for a part of a message.
	progressTimeout = time.Second

	// minCompressSize is the size in bytes above which parts of the store are
	// compressed.
	minCompressSize = 1 << 10

	// relayParameter names, in the query of an update, a VM that the receiver
	// forwards it to.
	relayParameter = "to"
)

type (
	// Heartbeat is the state that a VM reports about itself.
	Heartbeat struct {
		VM          sassafrastray.VM          `json:"vm"`
		Incarnation sassafrastray.Incarnation `json:"inc"`
		Sequence    uint64                    `json:"seq"`
		// Ready VMs may be returned to callers by look-ups.
		Ready bool `json:"ready,omitempty"`
		// Idle VMs are left out of look-ups, since others of their region are
		// larger.
		Idle bool `json:"idle,omitempty"`
		// Partitioned VMs reach no backend servers. Look-ups return them only if there
		// are no others.
		Partitioned bool `json:"cut,omitempty"`
		// New VMs do not know the demand of their teams yet.
		New bool `json:"new,omitempty"`
		// Config is the number of the VM's configuration, Latest the revision of the
		// latest change of each topic in its replica of the store, Era the earliest era
		// of these, and StoreReachable whether it reaches the store.
		Config         int64                         `json:"config,omitempty"`
		Era            int64                         `json:"era,omitempty"`
		Latest         map[sassafrastray.Topic]int64 `json:"latest,omitempty"`
		StoreReachable bool                          `json:"store,omitempty"`
		// Failed is how long ago the sender's latest failed call to the store failed, or
		// zero if that is longer ago than other VMs need to know.
		Failed time.Duration `json:"failed,omitempty"`
		// Confirmed is how long ago Config was last known to be the latest one in the
		// store, or zero if it never was.
		Confirmed time.Duration `json:"confirmed,omitempty"`
		// Asked is when the receiver sent the heartbeat that this one answers, or zero if
		// it is not an answer.
		Asked time.Time           `json:"-"`
		Uses  ratelimit.TeamUsage `json:"uses,omitempty"`
		// Quotas has what the sender lends to the receiver of the teams' quotas. It is
		// nil in messages to VMs that are not known yet.
		Quotas   *ratelimit.Transfer `json:"quotas,omitempty"`
		Evidence rollout.Evidence    `json:"evidence,omitempty"`
		// Limits are the limits that backend servers named to the sender lately.
		Limits []placement.LimitReport `json:"limits,omitempty"`
		// Quarantine has the latest crashes of backend servers and the requests that are
		// kept from them.
		Quarantine *quarantine.Report `json:"quarantine,omitempty"`
		// Runs has the latest runs that the sender saw at backend servers, encoded. Only
		// VMs of the same region of a large fleet send it to each other.
		Runs string `json:"runs,omitempty"`
		// Shares has the sender's shares of other regions. Only VMs of the same region of a
		// large fleet send it to each other.
		Shares []placement.ShareReport `json:"shares,omitempty"`
		// Summary replaces Uses and Evidence in heartbeats between the regions of a
		// large fleet.
		Summary *Summary `json:"summary,omitempty"`
		// Wall is the sender's wall clock in milliseconds since 1970, and Claim what it knows
		// of the duty to report usage. They are set only where usage is reported.
		Wall  int64       `json:"wall,omitempty"`
		Claim *duty.Claim `json:"claim,omitempty"`
		// Received is when the receiver got the message, or zero if it is not known.
		Received time.Time `json:"-"`
		// Seen is the latest incarnation of the receiver that the sender knows.
		Seen sassafrastray.Incarnation `json:"seen,omitempty"`
		// Digest is a hash of the VMs that the sender knows, and Known their number.
		// Fleet lists them, if the receiver's digest differed; in a large fleet only
		// some of these messages have the list.
		Digest uint64             `json:"digest,omitempty"`
		Known  int                `json:"known,omitempty"`
		Fleet  []sassafrastray.VM `json:"fleet,omitempty"`
	}

	// Update is a change of the store that a VM forwards.
	Update struct {
		From  sassafrastray.VM    `json:"from"`
		Batch sassafrastray.Batch `json:"batch"`
	}

	// Token is the answer to a question for a token of a team's quota, and how long to
	// wait if there is none.
	Token struct {
		OK   bool          `json:"ok,omitempty"`
		Wait time.Duration `json:"wait,omitempty"`
	}

	// Relay is an encoded Update and the VMs that its receiver forwards it to.
	Relay struct {
		Body []byte
		To   []sassafrastray.VMName
	}

	// Summary adds up the figures of the VMs of one region.
	Summary struct {
		Region sassafrastray.RegionName `json:"region"`
		ratelimit.Report
		// Digest is the hash of the VMs that all VMs of the region know, or zero if they
		// know different ones.
		Digest   uint64           `json:"digest,omitempty"`
		Evidence rollout.Evidence `json:"evidence,omitempty"`
		// Shares has the region's shares of other regions.
		Shares []placement.ShareReport `json:"shares,omitempty"`
	}

	// Handler processes the messages of other VMs.
	Handler interface {
		// Heartbeat processes a heartbeat and returns the VM's own.
		Heartbeat(h *Heartbeat) *Heartbeat
		// Copy returns the topics of the VM's replica that have changes later than
		// the held revisions.
		Copy(held map[sassafrastray.Topic]int64) []sassafrastray.Batch
		// Update processes a change of the store that another VM forwards, and forwards
		// it as it came.
		Update(u *Update, r Relay)
		// Memory returns what the VM knows and a copy of the store may lack. Config is
		// the number of the configuration that the other VM has.
		Memory(config int64) replica.Memory
		// Token returns a token of a team's quota for a request that waits at another
		// VM.
		Token(team sassafrastray.TeamName) Token
		// Usage processes the counts of another VM and returns what this one knows of
		// the duty to report them, or nil if it reports none.
		Usage(m *usage.Message) *duty.Claim
	}

	// Client calls other VMs.
	Client struct {
		pool  *upstream.Pool
		clock sassafrastray.Clock
	}
)

// Member returns the part of the heartbeat that the membership table uses.
func (h *Heartbeat) Member() member.Heartbeat {
	return member.Heartbeat{VM: h.VM, Incarnation: h.Incarnation, Sequence: h.Sequence, Config: h.Config}
}

// Report returns the part of the heartbeat that the quota limiter uses.
func (h *Heartbeat) Report() ratelimit.Report {
	r := ratelimit.Report{Uses: h.Uses, VMs: 1}
	if h.Idle {
		r.Idle = 1
	}
	if h.New {
		r.New = 1
	}
	return r
}

// New returns a client that uses the pool's connections.
func New(pool *upstream.Pool, clock sassafrastray.Clock) *Client {
	return &Client{pool: pool, clock: clock}
}

// Heartbeat sends a heartbeat and returns the other VM's own.
func (c *Client) Heartbeat(to netip.AddrPort, h *Heartbeat, timeout time.Duration) (*Heartbeat, error) {
	body, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "heartbeat")
	}
	var answer Heartbeat
	if err := c.call(to, HeartbeatPath, body, "", &answer, timeout); err != nil {
		return nil, errors.Wrap(err, "heartbeat")
	}
	return &answer, nil
}

// Copy returns the topics of the other VM's replica that have changes later than the
// held revisions.
func (c *Client) Copy(to netip.AddrPort, held map[sassafrastray.Topic]int64, timeout time.Duration) ([]sassafrastray.Batch, error) {
	body, err := json.Marshal(held)
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	var batches []sassafrastray.Batch
	err = c.call(to, CopyPath, body, "", &batches, timeout)
	for i := range batches {
		batches[i].MarkUnusable()
	}
	return batches, errors.Wrap(err, "copy")
}

// Encode returns the update as it is sent.
func (u *Update) Encode() ([]byte, error) {
	b, err := json.Marshal(u)
	return deflate.Compress(b), errors.Wrap(err, "news")
}

// Update forwards a change of the store.
func (c *Client) Update(to netip.AddrPort, r Relay, timeout time.Duration) error {
	q := make(url.Values)
	for _, name := range r.To {
		q.Add(relayParameter, string(name))
	}
	path := UpdatePath
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	var ok bool
	return errors.Wrap(c.call(to, path, r.Body, deflate.Encoding, &ok, timeout), "news")
}

// Memory returns what the other VM knows and a copy of the store may lack. Config is the
// number of the configuration that this VM has.
func (c *Client) Memory(to netip.AddrPort, config int64, timeout time.Duration) (replica.Memory, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return replica.Memory{}, errors.Wrap(err, "memory")
	}
	var m replica.Memory
	if err := c.call(to, MemoryPath, body, "", &m, timeout); err != nil {
		return replica.Memory{}, errors.Wrap(err, "memory")
	}
	return m, errors.Wrap(m.Validate(), "memory")
}

// Token asks the other VM for a token of a team's quota.
func (c *Client) Token(to netip.AddrPort, team sassafrastray.TeamName, timeout time.Duration) (Token, error) {
	body, err := json.Marshal(team)
	if err != nil {
		return Token{}, errors.Wrap(err, "token")
	}
	var t Token
	err = c.call(to, TokenPath, body, "", &t, timeout)
	return t, errors.Wrap(err, "token")
}

// Usage sends the counts of this VM and returns what the other one knows of the duty to
// report them.
func (c *Client) Usage(to netip.AddrPort, m *usage.Message, timeout time.Duration) (duty.Claim, error) {
	var claim duty.Claim
	body, err := json.Marshal(m)
	if err != nil {
		return claim, errors.Wrap(err, "usage")
	}
	encoding := ""
	if len(body) > minCompressSize {
		body, encoding = deflate.Compress(body), deflate.Encoding
	}
	err = c.call(to, UsagePath, body, encoding, &claim, timeout)
	return claim, errors.Wrap(err, "usage")
}

// call sends a message in the encoding, or in none if that is empty, and decodes the
// answer into v.
func (c *Client) call(to netip.AddrPort, path string, body []byte, encoding string, v any, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(path)
	req.Header.SetHost(to.String())
	req.Header.Set(upstream.IDHeader, upstream.NewID())
	req.Header.Set(fasthttp.HeaderAcceptEncoding, deflate.Encoding)
	if encoding != "" {
		req.Header.SetContentEncoding(encoding)
	}
	if body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(body)
	}
	x := c.pool.Start(upstream.Call{Address: to, Deadline: c.clock.Now().Add(timeout), ProgressTimeout: progressTimeout})
	if out := x.Do(req, resp); out.Failure != upstream.None {
		return errors.Newf("%s: %v", out.Failure, out.Err)
	}
	b, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxMessageSize))
	if err == nil && string(resp.Header.ContentEncoding()) == deflate.Encoding {
		b, err = deflate.Decompress(b, maxMessageSize)
	}
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("status %d: %.100s", resp.StatusCode(), b)
	}
	return errors.Wrap(json.Unmarshal(b, v), "decode")
}

// Handle answers one message of another VM.
func Handle(ctx *fasthttp.RequestCtx, handler Handler) {
	defer upstream.EchoID(ctx)
	switch string(ctx.Path()) {
	case HeartbeatPath:
		var h Heartbeat
		if _, ok := decode(ctx, "heartbeat", &h); ok {
			reply(ctx, handler.Heartbeat(&h))
		}
	case CopyPath:
		var held map[sassafrastray.Topic]int64
		if _, ok := decode(ctx, "copy", &held); ok {
			reply(ctx, handler.Copy(held))
			compress(ctx)
		}
	case UpdatePath:
		var u Update
		if body, ok := decode(ctx, "news", &u); ok {
			u.Batch.MarkUnusable()
			handler.Update(&u, relay(ctx, body))
			reply(ctx, true)
		}
	case MemoryPath:
		var config int64
		if _, ok := decode(ctx, "memory", &config); ok {
			reply(ctx, handler.Memory(config))
			compress(ctx)
		}
	case TokenPath:
		var team sassafrastray.TeamName
		if _, ok := decode(ctx, "token", &team); ok {
			reply(ctx, handler.Token(team))
		}
	case UsagePath:
		var m usage.Message
		if _, ok := decode(ctx, "usage", &m); !ok {
			return
		}
		claim := handler.Usage(&m)
		if claim == nil {
			ctx.Error("usage is not reported", fasthttp.StatusNotFound)
			return
		}
		reply(ctx, claim)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// relay returns the received update and the VMs that it is forwarded to.
func relay(ctx *fasthttp.RequestCtx, body []byte) Relay {
	r := Relay{Body: bytes.Clone(body)}
	for _, name := range ctx.QueryArgs().PeekMulti(relayParameter) {
		r.To = append(r.To, sassafrastray.VMName(name))
	}
	return r
}

// decode decodes a message and returns its body as it came. If it fails it answers with
// an error and returns false.
func decode(ctx *fasthttp.RequestCtx, what string, v any) (body []byte, ok bool) {
	body, err := listener.ReadBody(ctx, maxMessageSize)
	plain := body
	if err == nil && string(ctx.Request.Header.ContentEncoding()) == deflate.Encoding {
		plain, err = deflate.Decompress(body, maxMessageSize)
	}
	if err == nil {
		err = json.Unmarshal(plain, v)
	}
	if err != nil {
		ctx.Error(what+": "+err.Error(), fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
	}
	return body, err == nil
}

// compress compresses a large answer for a VM that accepts that.
func compress(ctx *fasthttp.RequestCtx) {
	if b := ctx.Response.Body(); len(b) > minCompressSize && ctx.Request.Header.HasAcceptEncoding(deflate.Encoding) {
		ctx.SetBody(deflate.Compress(b))
		ctx.Response.Header.SetContentEncoding(deflate.Encoding)
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
