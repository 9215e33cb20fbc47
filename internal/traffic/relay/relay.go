// Package relay passes requests on through another VM. A VM that is partitioned from all
// backend servers sends callers' requests to a VM that reaches them, its helper. The
// helper handles a relayed request like one of its own caller, but for these: the sender
// has charged the team's quota, the tries at servers are limited by what the sender
// allows, and the request is not relayed again. The helper trusts the sender with no more
// than that: it finds the route and the team by itself, and refuses requests of VMs that
// have another configuration.
//
// A relayed request has Header with a Request, and each answer to it Header with a Result,
// which tells an answer of a backend server from one of the helper itself.
package relay

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/hop"
)

// Header marks relayed requests and the answers to them.
const Header = "Sassafrastray-Relay"

type (
	// Request is what the sender says of a request.
	Request struct {
		// Config is the number of the configuration by which the sender admitted it.
		Config int64 `json:"config"`
		// Tries is how many backend servers it may be sent to, or zero if the route has no
		// limit.
		Tries int `json:"tries,omitempty"`
		// First means that it has not been sent to a backend server yet.
		First bool `json:"first,omitempty"`
	}

	// Result is what the helper says of its answer.
	Result struct {
		// Backend is the server that gave the answer, or empty if the helper refuses the
		// request with Reason and Result, after which it may succeed after Wait.
		Backend sassafrastray.BackendName `json:"backend,omitempty"`
		Reason  sassafrastray.Reason      `json:"reason,omitempty"`
		Result  sassafrastray.Result      `json:"result,omitempty"`
		Wait    time.Duration             `json:"wait,omitempty"`
		Detail  string                    `json:"detail,omitempty"`
	}
)

// IsRelayed reports whether a request was sent by another VM.
func IsRelayed(h *fasthttp.RequestHeader) bool { return len(h.Peek(Header)) > 0 }

// Write sets the header of a request.
func (r Request) Write(h *fasthttp.RequestHeader) { h.SetBytesV(Header, encode(r)) }

// Write sets the header of an answer.
func (r Result) Write(h *fasthttp.ResponseHeader) { h.SetBytesV(Header, encode(r)) }

// ReadRequest reads the header of a request and removes it.
func ReadRequest(h *fasthttp.RequestHeader) (Request, error) {
	var r Request
	err := json.Unmarshal(h.Peek(Header), &r)
	hop.Delete(h, Header)
	if err == nil && r.Tries < 0 {
		err = errors.Newf("%d tries", r.Tries)
	}
	return r, errors.Wrap(err, "relayed request")
}

// ReadResult reads the header of an answer and removes it.
func ReadResult(h *fasthttp.ResponseHeader) (Result, error) {
	var r Result
	err := json.Unmarshal(h.Peek(Header), &r)
	hop.Delete(h, Header)
	if err == nil && (r.Backend == "") != (r.Reason != "") {
		err = errors.New("neither a backend server nor a reason")
	}
	return r, errors.Wrap(err, "answer to a relayed request")
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("relay: encoding failed: " + err.Error())
	}
	return b
}
