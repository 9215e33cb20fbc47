package bandwidth

import (
	"time"

	"sassafrastray"
)

const (
	// freshFor is how long a reported load is used unchanged.
	freshFor = 2 * time.Second
	// staleAfter is the age at which a reported load below an equal share of the
	// link is replaced by that share. A higher load is used until forgetAfter.
	staleAfter = 10 * time.Second
	// forgetAfter is the time after its last report at which a VM is dropped. Until
	// then, it counts beside a VM that may have replaced it.
	forgetAfter = 30 * time.Second
)

type (
	// Headroom estimates how many bytes per second are left on each link. The
	// estimate is used to choose a region; the Pacer enforces the cap. A Headroom
	// is not safe for concurrent use.
	Headroom struct {
		links map[string]*usage
	}

	usage struct {
		limit   float64 // bytes per second that paced streams may use
		senders int     // places whose VMs send over the link
		reports map[sassafrastray.VMName]report
	}

	report struct {
		load float64 // bytes per second
		at   time.Time
	}
)

// NewHeadroom returns a Headroom without links.
func NewHeadroom() *Headroom { return &Headroom{links: make(map[string]*usage)} }

// Configure sets the links, and keeps the reports of links that stay configured.
func (h *Headroom) Configure(links []sassafrastray.Link, domains []sassafrastray.FailureDomain) {
	kept := make(map[string]*usage, len(links))
	for _, l := range links {
		u := &usage{limit: float64(l.BytesPerSecond) * rateShare, reports: make(map[sassafrastray.VMName]report)}
		for _, d := range domains {
			if d.Region == l.From {
				u.senders += d.Places
			}
		}
		if old := h.links[Key(l.From, l.To)]; old != nil {
			u.reports = old.reports
		}
		kept[Key(l.From, l.To)] = u
	}
	h.links = kept
}

// Report records how many bytes per second a VM sent over a link as of the given
// time. A report older than the last one of the VM is ignored.
func (h *Headroom) Report(key string, vm sassafrastray.VMName, load float64, at time.Time) {
	u := h.links[key]
	if u == nil || at.Before(u.reports[vm].at) {
		return
	}
	u.reports[vm] = report{load: max(0, load), at: at}
}

// Left returns how many bytes per second the link can carry in addition to its
// current load. A VM without a report is assumed to send an equal share of the
// link. As a VM's report ages, its assumed load grows towards that share.
func (h *Headroom) Left(key string, now time.Time) float64 {
	u := h.links[key]
	if u == nil || u.senders == 0 {
		return 0
	}
	share := u.limit / float64(u.senders)
	left := u.limit
	known := 0
	for vm, r := range u.reports {
		if now.Sub(r.at) > forgetAfter {
			delete(u.reports, vm)
			continue
		}
		known++
		left -= r.assumedLoad(share, now)
	}
	left -= share * float64(max(0, u.senders-known))
	return max(0, left)
}

// assumedLoad returns the load that the VM is assumed to send, given the age of its
// report.
func (r report) assumedLoad(share float64, now time.Time) float64 {
	age := now.Sub(r.at)
	if age <= freshFor || r.load >= share {
		return r.load
	}
	staleness := min(1, float64(age-freshFor)/float64(staleAfter-freshFor))
	return r.load + (share-r.load)*staleness
}
