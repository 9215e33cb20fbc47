package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/object/connpool"
)

// fetch requests a page of a VM and returns its status and body.
func fetch(ctx context.Context, vm netip.AddrPort, path string, limit time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + vm.String() + path)
	pool := connpool.New(vm)
	defer pool.Close()
	if _, err := pool.Do(ctx, req, resp, limit); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// get fetches a page that a VM must answer with 200.
func get(ctx context.Context, vm netip.AddrPort, path string) ([]byte, error) {
	status, body, err := fetch(ctx, vm, path, requestTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "get %s of %v", path, vm)
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Newf("get %s of %v: status %d: %s", path, vm, status, body)
	}
	return body, nil
}
