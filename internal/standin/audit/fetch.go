package audit

import (
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/standin/execlog"
)

// fetchTimeout limits the time to read one log of executions.
const fetchTimeout = time.Minute

// Fetch reads the executions of the backend servers with the given control
// address.
func Fetch(control netip.AddrPort) ([]execlog.Entry, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + control.String() + "/control/executed")
	h := fasthttp.HostClient{Addr: control.String(), StreamResponseBody: true}
	defer h.CloseIdleConnections()
	if err := h.DoTimeout(req, resp, fetchTimeout); err != nil {
		return nil, errors.Wrap(err, "read executions")
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("read executions: status %d", resp.StatusCode())
	}
	var entries []execlog.Entry
	for d := json.NewDecoder(resp.BodyStream()); ; {
		var e execlog.Entry
		err := d.Decode(&e)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read executions")
		}
		entries = append(entries, e)
	}
}
