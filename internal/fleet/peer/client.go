package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/deflate"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// progressTimeout bounds each wait for a part of a control message.
	progressTimeout = 2 * time.Second

	// maxMessageSize is the size of the largest control message in bytes.
	maxMessageSize = 4 << 20

	tokenPurpose = "inner protocol 1"
)

type (
	// Client sends messages of the inner protocol to other VMs.
	Client struct {
		self   sassafrastray.VM
		token  Token
		pool   *upstream.Pool
		clock  sassafrastray.Clock
		faults *Faults
	}

	// message is an outgoing message.
	message struct {
		path       string
		body       []byte
		compressed bool
	}

	// Token proves that a message comes from a VM of the system. It is derived
	// from the secret that the VMs share.
	Token string
)

// NewToken derives the token from the shared secret.
func NewToken(secret []byte) Token {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(tokenPurpose))
	return Token(hex.EncodeToString(m.Sum(nil)))
}

// Valid reports whether a presented token is this one.
func (t Token) Valid(presented []byte) bool {
	return subtle.ConstantTimeCompare([]byte(t), presented) == 1
}

// New returns a client that sends messages as the VM self.
func New(self sassafrastray.VM, token Token, pool *upstream.Pool, clock sassafrastray.Clock, faults *Faults) *Client {
	return &Client{self: self, token: token, pool: pool, clock: clock, faults: faults}
}

// SendHeartbeat sends a heartbeat and returns the other VM's own heartbeat.
func (c *Client) SendHeartbeat(to sassafrastray.VM, h *Heartbeat, timeout time.Duration) (*Heartbeat, error) {
	var answer Heartbeat
	if err := c.call(to, message{path: HeartbeatPath, compressed: h.Relay != nil}, h, &answer, timeout); err != nil {
		return nil, errors.Wrap(err, "heartbeat")
	}
	return &answer, nil
}

// FetchConfig returns the other VM's encoded configuration if it is newer than
// the given one, and nil otherwise.
func (c *Client) FetchConfig(to sassafrastray.VM, have config.Stamp, timeout time.Duration) ([]byte, error) {
	body, err := json.Marshal(have)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	b, err := c.roundTrip(to, message{path: ConfigPath, body: body}, timeout)
	return b, errors.Wrap(err, "configuration from peer")
}

// SendQuota sends a message about quota loans and returns the answers.
func (c *Client) SendQuota(to sassafrastray.VM, m quota.Message, timeout time.Duration) ([]quota.Message, error) {
	var answers []quota.Message
	err := c.call(to, message{path: QuotaPath}, m, &answers, timeout)
	return answers, errors.Wrap(err, "quota message")
}

func (c *Client) call(to sassafrastray.VM, m message, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	m.body, m.compressed = body, m.compressed && len(body) > minCompressSize
	if m.compressed {
		m.body = deflate.Compress(body)
	}
	answer, err := c.roundTrip(to, m, timeout)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decode")
}

func (c *Client) roundTrip(to sassafrastray.VM, m message, timeout time.Duration) ([]byte, error) {
	if err := c.faults.transit(c.self.Domain, to.Domain, timeout); err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(m.path)
	req.Header.SetHost(string(to.Name))
	req.Header.Set(upstream.IDHeader, upstream.NewID())
	c.Sign(&req.Header)
	if m.body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(m.body)
	}
	if m.compressed {
		req.Header.SetContentEncoding(deflate.Encoding)
	}
	x := c.pool.Start(upstream.Call{Address: to.PeerAddress, Deadline: c.clock.Now().Add(timeout), ProgressTimeout: progressTimeout})
	if out := x.Do(req, resp); out.Failure != upstream.None {
		return nil, errors.Newf("%s: %v", out.Failure, out.Err)
	}
	answer, err := readAll(resp)
	if err != nil {
		return nil, err
	}
	if string(resp.Header.ContentEncoding()) == deflate.Encoding {
		if answer, err = deflate.Decompress(answer, maxMessageSize); err != nil {
			return nil, err
		}
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return answer, nil
	case fasthttp.StatusNoContent:
		return nil, nil
	}
	return nil, errors.Newf("status %d: %.100s", resp.StatusCode(), answer)
}

// Sign adds the headers that authenticate a request to another VM.
func (c *Client) Sign(h *fasthttp.RequestHeader) {
	h.Set(TokenHeader, string(c.token))
	h.Set(FromHeader, string(c.self.Name))
	h.Set(DomainHeader, string(c.self.Domain))
}

func readAll(resp *fasthttp.Response) ([]byte, error) {
	s := resp.BodyStream()
	if s == nil {
		return nil, nil
	}
	b, err := io.ReadAll(io.LimitReader(s, maxMessageSize+1))
	if err == nil && len(b) > maxMessageSize {
		err = errors.New("message too large")
	}
	return b, errors.Wrap(err, "read answer")
}
