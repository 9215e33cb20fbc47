package pace

import (
	"time"

	"sassafrastray"
)

const (
	// freshFor is how long a figure holds as it was reported.
	freshFor = 2 * time.Second
	// staleAfter is when a figure says nothing any more.
	staleAfter = 10 * time.Second
	// forgetAfter is when a VM that reports nothing is no longer counted
	// beside the VMs that took its place.
	forgetAfter = 30 * time.Second
)

type (
	// Headroom tells how many bytes a second are left on each link. It is an
	// estimate for the choice of a region; the Pacer enforces the cap. It is
	// not safe for concurrent use.
	Headroom struct {
		links map[string]*usage
	}

	usage struct {
		limit   float64 // bytes per second that paced streams may use
		senders int     // VMs that are meant to send over the link
		figures map[sassafrastray.VMName]figure
	}

	figure struct {
		load float64 // bytes per second
		at   time.Time
	}
)

// NewHeadroom returns a Headroom for no links.
func NewHeadroom() *Headroom { return &Headroom{links: make(map[string]*usage)} }

// Configure sets the links and keeps the figures of those that stay.
func (h *Headroom) Configure(links []sassafrastray.Link, domains []sassafrastray.FailureDomain) {
	kept := make(map[string]*usage, len(links))
	for _, l := range links {
		u := &usage{limit: float64(l.BytesPerSecond) * rateShare, figures: make(map[sassafrastray.VMName]figure)}
		for _, d := range domains {
			if d.Region == l.From {
				u.senders += d.Places
			}
		}
		if old := h.links[Key(l.From, l.To)]; old != nil {
			u.figures = old.figures
		}
		kept[Key(l.From, l.To)] = u
	}
	h.links = kept
}

// Report notes how many bytes a second a VM sent over a link at a time. A
// figure older than the one known is ignored.
func (h *Headroom) Report(key string, vm sassafrastray.VMName, load float64, at time.Time) {
	u := h.links[key]
	if u == nil || at.Before(u.figures[vm].at) {
		return
	}
	u.figures[vm] = figure{load: max(0, load), at: at}
}

// Left returns the bytes a second that the link can take on top of what it
// carries. As a figure ages, the VM's assumed load grows towards an equal
// share of the link, which a VM without a figure is assumed to send.
func (h *Headroom) Left(key string, now time.Time) float64 {
	u := h.links[key]
	if u == nil || u.senders == 0 {
		return 0
	}
	share := u.limit / float64(u.senders)
	left := u.limit
	known := 0
	for vm, f := range u.figures {
		if now.Sub(f.at) > forgetAfter {
			delete(u.figures, vm)
			continue
		}
		known++
		left -= f.assumed(share, now)
	}
	left -= share * float64(max(0, u.senders-known))
	return max(0, left)
}

// assumed returns the load that the figure still proves.
func (f figure) assumed(share float64, now time.Time) float64 {
	age := now.Sub(f.at)
	if age <= freshFor || f.load >= share {
		return f.load
	}
	doubt := min(1, float64(age-freshFor)/float64(staleAfter-freshFor))
	return f.load + (share-f.load)*doubt
}
