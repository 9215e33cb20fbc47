package ingress

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/traffic/quarantine"
	"sassafrastray/internal/traffic/upstream"
)

// minFingerprintBody is how many bytes of a body that is not held as a whole must be held
// for a fingerprint.
const minFingerprintBody = 4 << 10

// print returns the fingerprint of the request: its method, host, path, team and body. Of a
// body that is not held as a whole it has the beginning and the length. It is zero if that
// is not enough to identify the request.
func (q *request) print() quarantine.Fingerprint {
	if q.fingerprint != 0 || q.rest != nil && len(q.body) < minFingerprintBody {
		return q.fingerprint
	}
	d := xxhash.New()
	add := func(b []byte) {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(b))))
		_, _ = d.Write(b)
	}
	add(q.ctx.Method())
	add(q.ctx.Host())
	add(q.header.RequestURI())
	add([]byte(q.team))
	add(q.body)
	if q.rest != nil {
		add(binary.LittleEndian.AppendUint64(nil, uint64(q.header.ContentLength())))
	}
	q.fingerprint = quarantine.Fingerprint(d.Sum64())
	return q.fingerprint
}

// checkQuarantine refuses a request that backend servers crash with.
func (h *Handler) checkQuarantine(q *request) *refusal {
	if !h.Quarantine.Watches(q.service) {
		return nil
	}
	v := h.Quarantine.Check(q.print())
	if !v.Refused {
		return nil
	}
	r := notRun(sassafrastray.ReasonHarmful, "")
	r.retryAfter = v.RetryAfter
	return r
}

// checkCrash finds out whether the server crashed with the request: the connection ended
// without a response and no other can be opened, though other servers are reached. One
// that leaves may just have ended.
func (h *Handler) checkCrash(q *request, a *attempt) {
	s := &a.choice.Server
	if a.out.Failure != upstream.Cut || !a.out.Sent || s.Leaving || !h.Pool.Refuses(s.Address, q.deadline) || !h.Partition.Reaches(s.Address) {
		return
	}
	a.crashed = true
	h.Quarantine.Crash(s, q.print())
}

// recordAnswer clears the request of crashes of the service's servers.
func (h *Handler) recordAnswer(q *request, a *attempt) {
	if h.Quarantine.Watches(q.service) {
		h.Quarantine.Answered(q.service, q.print(), h.Clock.Now().Sub(a.start))
	}
}

// isHarmful reports whether another server must not get the request, because more than one
// has crashed with it.
func (h *Handler) isHarmful(q *request, a *attempt) bool {
	return a != nil && a.crashed && h.Quarantine.Crashes(q.print()) > 1
}
