// Package store calls the platform's object store and its list of VMs over
// HTTP.
//
// A Client does not retry failed calls. Its errors distinguish a call that the
// store did not accept from a write whose outcome is unknown, so that callers can
// decide whether to retry it.
package store

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/object/connpool"
)

const (
	// Timeout bounds each call whose context has no earlier deadline. For a
	// watch, it starts at the end of the wait.
	Timeout = 5 * time.Second

	headerVersion   = "Version"
	headerIfVersion = "If-Version"
	headerDomain    = "Domain"
	headerClient    = "Client"
)

type (
	// Client implements sassafrastray.Store and sassafrastray.VMList. It is safe
	// for concurrent use.
	Client struct {
		base       string
		domain     sassafrastray.DomainName
		clientName string
		pool       *connpool.Pool
	}

	// watchResponse is the response to a watch.
	watchResponse struct {
		Revision int64                  `json:"revision"`
		Objects  []sassafrastray.Object `json:"objects"`
	}
)

var (
	_ sassafrastray.Store  = (*Client)(nil)
	_ sassafrastray.VMList = (*Client)(nil)
)

// New returns a client of the platform at addr. Each call carries the failure
// domain and the client's name.
func New(addr netip.AddrPort, domain sassafrastray.DomainName, clientName string) *Client {
	return &Client{base: "http://" + addr.String(), domain: domain, clientName: clientName, pool: connpool.New(addr)}
}

// Close closes the idle connections. It does not affect calls in progress.
func (c *Client) Close() { c.pool.Close() }

// Get returns the object, or ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (sassafrastray.Object, error) {
	req, resp := c.request(fasthttp.MethodGet, objectPath(key))
	defer release(req, resp)
	if err := c.read(ctx, req, resp, Timeout); err != nil {
		return sassafrastray.Object{}, errors.Wrapf(err, "get %s", key)
	}
	v, err := parseVersion(resp)
	if err != nil {
		return sassafrastray.Object{}, errors.Wrapf(errors.Mark(err, sassafrastray.ErrUnavailable), "get %s", key)
	}
	value := append([]byte{}, resp.Body()...)
	return sassafrastray.Object{Key: key, Version: v, Value: value}, nil
}

// Put writes the value if the object's version still equals version, and returns
// the new version. It returns ErrConflict, ErrUnknown or ErrUnavailable.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > sassafrastray.MaxObjectBytes {
		return 0, errors.Newf("put %s: value of %d bytes is above %d", key, len(value), sassafrastray.MaxObjectBytes)
	}
	req, resp := c.request(fasthttp.MethodPut, objectPath(key))
	defer release(req, resp)
	req.Header.Set(headerIfVersion, strconv.FormatInt(version, 10))
	req.SetBody(value)
	v, err := c.write(ctx, req, resp)
	return v, errors.Wrapf(err, "put %s", key)
}

// Delete removes the object if its version still equals version. It returns
// ErrNotFound if the key is absent, and otherwise the same errors as Put.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	req, resp := c.request(fasthttp.MethodDelete, objectPath(key))
	defer release(req, resp)
	req.Header.Set(headerIfVersion, strconv.FormatInt(version, 10))
	_, err := c.write(ctx, req, resp)
	return errors.Wrapf(err, "delete %s", key)
}

// List returns the objects whose keys have the prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]sassafrastray.Object, error) {
	var found []sassafrastray.Object
	err := c.readJSON(ctx, "/list?prefix="+url.QueryEscape(prefix), Timeout, &found)
	return found, errors.Wrapf(err, "list %s", prefix)
}

// Watch waits until objects with the prefix have changed since the revision
// after, and returns them with the revision to continue from. It returns no
// objects when wait has passed.
func (c *Client) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]sassafrastray.Object, int64, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatInt(after, 10)},
		"wait":   {wait.String()},
	}
	var response watchResponse
	err := c.readJSON(ctx, "/watch?"+q.Encode(), wait+Timeout, &response)
	if err != nil {
		return nil, after, errors.Wrapf(err, "watch %s", prefix)
	}
	return response.Objects, response.Revision, nil
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]sassafrastray.VM, error) {
	var vms []sassafrastray.VM
	err := c.readJSON(ctx, "/vms", Timeout, &vms)
	return vms, errors.Wrap(err, "list VMs")
}

// request returns a request for the path without a body, and a response to fill.
// The caller must pass both to release.
func (c *Client) request(method, path string) (*fasthttp.Request, *fasthttp.Response) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.Header.Set(headerDomain, string(c.domain))
	req.Header.Set(headerClient, c.clientName)
	return req, resp
}

// readJSON makes a GET call and decodes the response into v.
func (c *Client) readJSON(ctx context.Context, path string, limit time.Duration, v any) error {
	req, resp := c.request(fasthttp.MethodGet, path)
	defer release(req, resp)
	if err := c.read(ctx, req, resp, limit); err != nil {
		return err
	}
	return errors.Mark(errors.Wrap(json.Unmarshal(resp.Body(), v), "decode"), sassafrastray.ErrUnavailable)
}

// read makes a read-only call. Since such a call is safe to retry, every transport
// error is marked ErrUnavailable.
func (c *Client) read(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration) error {
	if _, err := c.pool.Do(ctx, req, resp, limit); err != nil {
		return errors.Mark(err, sassafrastray.ErrUnavailable)
	}
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return sassafrastray.ErrNotFound
	default:
		return errors.Wrapf(sassafrastray.ErrUnavailable, "status %d", code)
	}
}

// write makes a conditional write and returns the new version.
func (c *Client) write(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (int64, error) {
	if sent, err := c.pool.Do(ctx, req, resp, Timeout); err != nil {
		if sent {
			return 0, errors.Mark(err, sassafrastray.ErrUnknown)
		}
		return 0, errors.Mark(err, sassafrastray.ErrUnavailable)
	}
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		v, err := parseVersion(resp)
		if err != nil {
			return 0, errors.Mark(err, sassafrastray.ErrUnknown)
		}
		return v, nil
	case fasthttp.StatusPreconditionFailed:
		return 0, sassafrastray.ErrConflict
	case fasthttp.StatusNotFound:
		return 0, sassafrastray.ErrNotFound
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return 0, errors.Wrapf(sassafrastray.ErrUnavailable, "status %d", code)
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return 0, errors.Newf("store rejected the call: status %d", code)
	default:
		return 0, errors.Wrapf(sassafrastray.ErrUnknown, "status %d", code)
	}
}

// objectPath returns the escaped path of a key, without escaping its slashes.
func objectPath(key string) string { return (&url.URL{Path: "/objects/" + key}).EscapedPath() }

func parseVersion(resp *fasthttp.Response) (int64, error) {
	v, err := strconv.ParseInt(string(resp.Header.Peek(headerVersion)), 10, 64)
	return v, errors.Wrap(err, "header "+headerVersion)
}

func release(req *fasthttp.Request, resp *fasthttp.Response) {
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}
