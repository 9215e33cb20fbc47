package evidence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// digestWindows is the number of windows that a digest carries. A peer that
	// misses fewer digests in a row than this loses no counts.
	digestWindows = 4
	// maxRows bounds the number of rows in a digest.
	maxRows = 200
)

type (
	// Digest holds the newest windows of one VM's own counts, as sent to its
	// peers.
	Digest struct {
		VM  sassafrastray.VMName      `json:"vm"`
		Inc sassafrastray.Incarnation `json:"inc"`
		// Seq increases with each digest of one incarnation.
		Seq int64 `json:"seq"`
		// Window is the number of the sender's newest window.
		Window int64 `json:"window"`
		Rows   []Row `json:"rows,omitempty"`
	}

	// Row holds the counts of one route, version and backend server in one
	// window.
	Row struct {
		Service sassafrastray.ServiceName `json:"service"`
		Version sassafrastray.VersionName `json:"version"`
		Route   sassafrastray.RouteName   `json:"route"`
		Backend sassafrastray.BackendName `json:"backend,omitempty"`
		// Age is the number of windows between the row's window and the
		// sender's newest one.
		Age    int    `json:"age,omitempty"`
		OK     uint32 `json:"ok,omitempty"`
		Failed uint32 `json:"failed,omitempty"`
		// First is the histogram bucket of the first element of Latency.
		First   int      `json:"first,omitempty"`
		Latency []uint16 `json:"latency,omitempty"`
	}
)

// Digest returns the ledger's own newest windows for its peers. If there are
// more rows than fit, the oldest windows are left out first.
func (l *Ledger) Digest(now time.Time) Digest {
	idx := l.index(now)
	l.seq++
	d := Digest{VM: l.self, Inc: l.inc, Seq: l.seq, Window: idx}
	for k, s := range l.own.series {
		for age := range digestWindows {
			if c := &s.ring[(idx-int64(age))%windowCount]; c.index == idx-int64(age) && c.ok+c.failed > 0 {
				d.Rows = append(d.Rows, c.row(k, age))
			}
		}
	}
	slices.SortFunc(d.Rows, compareRows)
	d.Rows = d.Rows[:min(len(d.Rows), maxRows)]
	return d
}

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Backend, b.Backend))
}

func (c *cell) row(k key, age int) Row {
	r := Row{
		Service: k.service, Version: k.version, Route: k.route, Backend: k.backend,
		Age: age, OK: c.ok, Failed: c.failed,
	}
	first, last := 0, len(c.latency)
	for first < last && c.latency[first] == 0 {
		first++
	}
	for last > first && c.latency[last-1] == 0 {
		last--
	}
	if first < last {
		r.First, r.Latency = first, slices.Clone(c.latency[first:last])
	}
	return r
}

// Merge adds a peer's digest. It ignores digests that are not newer than one
// already merged or belong to an earlier incarnation, so digests may arrive
// twice, late and in any order.
func (l *Ledger) Merge(d Digest, now time.Time) {
	if d.VM == l.self || len(d.Rows) > maxRows {
		return
	}
	idx := l.index(now)
	p := l.peer(d, idx)
	if p == nil {
		return
	}
	p.seq = d.Seq
	p.lowerOffset(idx-d.Window, d.Window)
	for _, r := range d.Rows {
		k, ok := l.key(r.Service, r.Version, r.Route, r.Backend)
		at := d.Window + p.offset - int64(r.Age)
		if !ok || !r.valid() || at > idx || at <= idx-windowCount {
			continue
		}
		p.seriesOf(k).cell(at).set(r)
	}
}

// peer returns the source to merge the digest into, or nil if the digest is to
// be ignored.
func (l *Ledger) peer(d Digest, idx int64) *source {
	p := l.peers[d.VM]
	if p != nil && (d.Inc < p.inc || d.Inc == p.inc && d.Seq <= p.seq) {
		return nil
	}
	if p == nil && len(l.peers) >= maxPeers && !l.evict(idx) {
		return nil
	}
	if p == nil || d.Inc > p.inc {
		p = &source{inc: d.Inc, offset: idx - d.Window, series: map[key]*series{}}
		l.peers[d.VM] = p
	}
	return p
}

// lowerOffset sets the offset of a source if it is below the current one, because
// the smallest offset comes from the digest with the shortest delay. The windows move
// with it. Those that the digest can still carry are left out, since they would be
// counted a second time.
func (s *source) lowerOffset(offset, newest int64) {
	if offset >= s.offset {
		return
	}
	shift := offset - s.offset
	carried := newest + s.offset - digestWindows
	s.offset = offset
	for _, sr := range s.series {
		ring := sr.ring
		sr.ring = [windowCount]cell{}
		for i := range ring {
			c := &ring[i]
			if c.ok+c.failed == 0 || c.index > carried {
				continue
			}
			if c.index += shift; c.index <= sr.rolledUp {
				sr.minute(c.index / windowCount).plus(c)
				continue
			}
			sr.ring[c.index%windowCount] = *c
		}
	}
}

// evict drops one peer without recent counts, and reports whether there was
// one.
func (l *Ledger) evict(idx int64) bool {
	for _, name := range slices.Sorted(maps.Keys(l.peers)) {
		if !l.peers[name].recent(idx) {
			delete(l.peers, name)
			return true
		}
	}
	return false
}

func (s *source) recent(idx int64) bool {
	for _, sr := range s.series {
		for i := range sr.ring {
			if sr.ring[i].index > idx-windowCount {
				return true
			}
		}
	}
	return false
}

func (r *Row) valid() bool {
	return r.Age >= 0 && r.Age < digestWindows && r.First >= 0 && r.First+len(r.Latency) <= bucketCount
}

func (c *cell) set(r Row) {
	if c == nil {
		return
	}
	*c = cell{index: c.index, ok: r.OK, failed: r.Failed}
	copy(c.latency[r.First:], r.Latency)
}
