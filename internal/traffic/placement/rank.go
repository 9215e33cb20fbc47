package placement

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

// rankByRegion ranks the servers of the VM's region and those of all other regions.
// inRemoteShare says that the object is in the share of other regions.
func (t *Table) rankByRegion(svc *service, r *Request, object uint64, inRemoteShare bool, now time.Time) (local, remote ranking) {
	localServers, remoteServers := t.allowedServers(svc, r)
	near := t.nearDomain(svc, localServers, r)
	if t.shared && !r.Narrow && !inRemoteShare {
		// Other regions count only if this one has no server, or answers late.
		local = t.rankShared(svc, localServers, near, r, object, now)
		if local.best.server == nil || r.late(local.best) {
			remote = t.rankShared(svc, remoteServers, "", r, object, now)
		}
		return local, remote
	}
	return t.rankServers(svc, localServers, near, r, object, true, now), t.rankServers(svc, remoteServers, "", r, object, inRemoteShare, now)
}

// allowedServers returns the servers of the VM's region and those of all other regions, as far
// as the request's rules allow their regions.
func (t *Table) allowedServers(svc *service, r *Request) (local, remote []*server) {
	for _, region := range svc.regions {
		list := svc.servers[region]
		switch {
		case !sassafrastray.InRegions(r.Regions, region):
		case region == t.opt.Region:
			local = list
		default:
			remote = append(remote, list...)
		}
	}
	return local, remote
}

// nearDomain returns the failure domain of which a server is preferred for the
// request's object, or "" for any of the region.
func (t *Table) nearDomain(svc *service, list []*server, r *Request) sassafrastray.DomainName {
	if r.Bytes < heavyBytes {
		return ""
	}
	n := 0
	for _, s := range list {
		if s.Domain == t.opt.Domain && !s.leaves() && !s.evacuated && svc.allowsVersion(s, r) {
			n++
		}
	}
	if n < minNearServers {
		return ""
	}
	return t.opt.Domain
}

// rankServers ranks servers by expected time. near is the failure domain of the
// preferred ones, or empty. assumeKnown says that the object's
// requests usually go to these servers, so that the preferred one is assumed to
// know the object.
func (t *Table) rankServers(
	svc *service, list []*server, near sassafrastray.DomainName, r *Request, object uint64, assumeKnown bool, now time.Time,
) ranking {
	if t.shared && !r.Narrow {
		return t.rankShared(svc, list, near, r, object, now)
	}
	first, second := preferred(svc, list, near, r, object)
	out := ranking{best: candidate{cost: math.MaxInt64}, next: candidate{cost: math.MaxInt64}}
	for _, s := range list {
		if !svc.allowsVersion(s, r) || !s.usable(now) || slices.Contains(r.Exclude, s.Name) {
			continue
		}
		if s.isCold(now) {
			if _, ok := t.coldGap(s); !ok {
				continue
			}
		}
		c := t.estimatePenalized(svc, s, object, assumeKnown && s == first, s == first || s == second, now)
		out.considered++
		if r.Narrow && c.load < float64(s.Slots) {
			out.best, out.next = c, out.best
			return out
		}
		switch {
		case c.cost < out.best.cost:
			out.best, out.next = c, out.best
		case c.cost < out.next.cost:
			out.next = c
		}
	}
	return out
}

// estimatePenalized estimates the time until the server would answer, with the penalties for a
// server that does not know the object. isAssumed says that the server is assumed to know it,
// and isPreferred that it is one of the two that the object prefers.
func (t *Table) estimatePenalized(svc *service, s *server, object uint64, isAssumed, isPreferred bool, now time.Time) candidate {
	c := t.estimate(svc, s, object, isAssumed, now)
	if !c.warm {
		// An object that the server does not know occupies a slot
		// for longer, and evicts another from the server's cache.
		c.cost += time.Duration(svc.unknownPenalty() * float64(svc.work(false)-svc.work(true)))
		if !isPreferred {
			c.cost += time.Duration(nonPreferredPenalty * float64(svc.work(false)))
		}
	}
	return c
}

// preferred returns the two servers that an object prefers, even if they cannot
// take a request now. If near is not empty, they are of that failure domain.
func preferred(svc *service, list []*server, near sassafrastray.DomainName, r *Request, object uint64) (first, second *server) {
	if object == 0 {
		return nil, nil
	}
	var top, next uint64
	for _, s := range list {
		if s.leaves() || s.evacuated || !svc.allowsVersion(s, r) || near != "" && s.Domain != near {
			continue
		}
		switch h := mix(object, s.hash); {
		case first == nil || h > top:
			second, next = first, top
			first, top = s, h
		case second == nil || h > next:
			second, next = s, h
		}
	}
	return first, second
}

// allowsVersion reports whether the request may go to the server's version.
func (s *service) allowsVersion(v *server, r *Request) bool {
	switch {
	case r.Only != "":
		return v.Version == r.Only
	case v.Version == r.Except:
		return false
	}
	return s.base[v.Version]
}

// estimate estimates the time until the server would answer. isPreferred says that
// the server is the object's preferred one and is therefore assumed to know it.
func (t *Table) estimate(svc *service, s *server, object uint64, isPreferred bool, now time.Time) candidate {
	s.decay(now)
	c := candidate{server: s, preferred: isPreferred, load: s.load(t.regionPeers, now)}
	c.warm = object == 0 || isPreferred || s.knows(object)
	c.work = time.Duration(float64(svc.work(c.warm)) * s.slowness)
	if s.isCold(now) {
		c.work *= 2
	}
	slots := float64(max(1, s.Slots))
	if c.load >= slots {
		c.wait = time.Duration(float64(svc.meanWork) * s.slowness * (c.load - slots + 1) / slots)
	}
	c.cost = t.distance(s.region) + c.work + c.wait +
		time.Duration(loadPenalty*float64(svc.warmWork)*min(1, c.load/slots)) +
		time.Duration(s.failureRate*float64(failurePenalty))
	return c
}
