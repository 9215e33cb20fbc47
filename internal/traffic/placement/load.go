package placement

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// meanTime is the time constant of the moving average of a server's load, and
	// trustTime that with which the latest report loses its weight against the average.
	// Without the average all VMs avoid and choose the same servers in turns.
	// The average of less than meanTime weighs all reports alike.
	meanTime  = 2 * time.Second
	trustTime = 500 * time.Millisecond

	// workChange is the time after which the speed of a server's machine has changed.
	// The share of a run for which a reported speed still holds falls to zero until then.
	workChange = 600 * time.Millisecond

	// waitSpread is the uncertainty of an estimated load, in requests. It makes the cost
	// of a server grow with its load already before all slots are in use.

	waitSpread = 1.0

	// maxSampleSlowness limits what one slow response says of its server, since the work
	// of any server has a tail.
	maxSampleSlowness = 3.0

	// maxWorkPercent limits the reported speed of a machine. A wrong figure would otherwise
	// make all requests of its service look too late to be sent.
	maxWorkPercent = 500
)

// observed is the load of a server as the VMs of the region see it in responses.
type observed struct {
	// at is when the server sent the latest report, and first when it sent the first of
	// those in the average. count is the number of requests there at the time at, and mean
	// its moving average.
	at, first   time.Time
	count, mean float64
	// slowdown is the factor by which the server's machine was slower than usual, or zero
	// if it was not reported.
	slowdown float64
}

// observe records a report of a server's load. Reports that are older than the latest one
// change nothing.
func (s *server) observe(count int, workPercent int, at time.Time) {
	o := &s.observed
	n := float64(count)
	gap := at.Sub(o.at)
	switch {
	case o.at.IsZero(), gap >= reportExpiry:
		o.mean, o.first = n, at
	case gap <= 0:
		return
	default:
		o.mean += (n - o.mean) * -math.Expm1(-float64(gap)/float64(min(meanTime, at.Sub(o.first))))
	}
	o.at, o.count, o.slowdown = at, n, float64(min(maxWorkPercent, workPercent))/100
	if workPercent > 0 {
		s.service.slowdown.add(o.slowdown)
	}
}

// expectedLoad estimates the number of requests at the server now: the latest report,
// which loses its weight against the average with its age, and this VM's requests since.
func (s *server) expectedLoad(now time.Time) float64 {
	o := &s.observed
	age := now.Sub(o.at)
	if !s.isObserved(now) {
		return float64(len(s.started))
	}
	n := o.mean + (o.count-o.mean)*math.Exp(-float64(max(0, age))/float64(trustTime))
	if age > reportFresh {
		n *= float64(reportExpiry-age) / float64(reportExpiry-reportFresh)
	}
	since := 0
	for _, at := range s.started {
		if at.After(o.at) {
			since++
		}
	}
	return max(n, float64(len(s.started)-since)) + float64(since)
}

// isObserved reports whether there is a report of the server that has not expired.
func (s *server) isObserved(now time.Time) bool {
	return !s.observed.at.IsZero() && now.Sub(s.observed.at) < reportExpiry
}

// loadOf estimates the number of requests at a server.
func (t *Table) loadOf(s *server, now time.Time) float64 {
	if t.shared {
		return s.tickLoad(t.regionPeers, now)
	}
	return s.load(t.regionPeers, now)
}

// tickLoad is the expected load from which the share of other regions follows. Before the
// first report each of the peers is assumed to have as many requests there as this VM.
func (s *server) tickLoad(peers int, now time.Time) float64 {
	if s.observed.at.IsZero() {
		return float64(len(s.started) * (1 + peers))
	}
	return s.expectedLoad(now)
}

// machineSlowdown is the expected factor by which the server's machine is slower than usual
// while it works on a request for the given time.
func (s *server) machineSlowdown(work time.Duration, now time.Time) float64 {
	mean := s.service.slowdown.value
	o := &s.observed
	valid := 1 - float64(now.Sub(o.at)+work/2)/float64(workChange)
	if o.slowdown == 0 || valid <= 0 {
		return mean
	}
	return mean + (o.slowdown-mean)*min(1, valid)
}

// expect estimates the time until the server would answer, from the reports of all VMs.
func (t *Table) expect(svc *service, s *server, warm bool, now time.Time) candidate {
	s.decay(now)
	c := candidate{server: s, warm: warm, load: s.expectedLoad(now)}
	base := svc.work(warm)
	c.slowdown = s.slowness * s.machineSlowdown(base, now)
	c.work = time.Duration(float64(base) * c.slowdown)
	if s.isCold(now) {
		c.work *= 2
	}
	slots := float64(max(1, s.Slots))
	turn := float64(svc.meanWork) * c.slowdown / slots
	queued := c.load - slots + 1
	if queued > 0 {
		c.wait = time.Duration(turn * queued)
	}
	spread := (queued + math.Sqrt(queued*queued+waitSpread*waitSpread)) / 2
	if s.observed.at.IsZero() {
		// Before the first report the peers may have chosen the server as often.
		spread += float64(len(s.started)) * float64(t.regionPeers)
	}
	c.cost = t.distance(s.region) + c.work + time.Duration(turn*spread) + time.Duration(s.failureRate*float64(failurePenalty))
	return c
}

// reportAge returns the age of the latest report of a server's load, or -1 if there is none.
func (t *Table) reportAge(s *server, now time.Time) time.Duration {
	switch {
	case !t.shared:
		return s.age(now)
	case s.observed.at.IsZero():
		return -1
	}
	return max(0, now.Sub(s.observed.at))
}

// finish records that a request of this VM has ended.
func (s *server) finish(c *Choice) {
	if i := slices.Index(s.started, c.began); i >= 0 {
		s.started = slices.Delete(s.started, i, i+1)
	}
	if c.Knowledge == NewObject {
		if i := slices.Index(s.learning, uint32(c.object)); i >= 0 {
			s.learning = slices.Delete(s.learning, i, i+1)
		}
	}
}

// reserveShared completes a choice where runs are shared, and counts it at the server.
func (t *Table) reserveShared(out *Choice, c candidate, now time.Time) {
	s := c.server
	out.began, out.wait, out.slowdown, out.rank = now, c.wait, c.slowdown, -1
	if out.slowdown == 0 {
		out.slowdown = s.slowness
	}
	s.started = append(s.started, now)
	if out.object == 0 {
		return
	}
	id := uint32(out.object)
	if _, ok := s.objects[id]; ok {
		out.rank = s.rank(id)
	}
	if c.warm {
		out.Knowledge = KnownObject
		s.hold(id, now)
		return
	}
	out.Knowledge = NewObject
	s.learning = append(s.learning, id)
}

// doneShared records what the end of a request of this VM says of its server. It returns
// the processing time that it took and that was expected, both for a machine of the usual
// speed.
func (t *Table) doneShared(c *Choice, e End, work time.Duration, report *sassafrastray.BackendLoad, now time.Time) (took, expected time.Duration) {
	s, svc, id := c.server, c.server.service, uint32(c.object)
	s.finish(c)
	took, expected = work, time.Duration(float64(c.work+c.wait)/c.slowdown)
	if report != nil && report.WorkPercent > 0 {
		took = time.Duration(float64(took) * 100 / float64(min(maxWorkPercent, report.WorkPercent)))
	}
	t.observeEnd(c, e, report, now)
	if e == OK {
		cold := svc.looksCold(took - time.Duration(float64(c.wait)/c.slowdown))
		if id != 0 {
			s.hold(id, now)
			if c.rank >= 0 {
				svc.recordHit(c.rank, cold)
			}
		}
		if c.Load < float64(s.Slots) && s.slowness < 2 && !s.isCold(now) {
			svc.recordShared(took, c.Warm, id != 0 && cold)
		}
		if c.Warm && id != 0 && cold {
			// The server is not slow; it did not know the object.
			expected += svc.work(false) - svc.work(true)
		}
	}
	return min(took, time.Duration(maxSampleSlowness*float64(expected))), expected
}

// observeEnd records the load that the server reported, or that a request which it did not
// run tells.
func (t *Table) observeEnd(c *Choice, e End, report *sassafrastray.BackendLoad, now time.Time) {
	if e == Wrong || report == nil && e != Shed {
		return
	}
	s, count, percent, object := c.server, 0, 0, uint32(0)
	if report != nil {
		count, percent = max(0, report.Running+report.Waiting-1), report.WorkPercent
	}
	switch e {
	case Shed:
		count = max(count, s.Slots*(1+shedQueue))
	case OK:
		object = uint32(c.object)
		if object != 0 {
			s.service.countRun(object, now)
		}
	}
	s.observe(count, percent, now.Add(-t.distance(s.region)/2))
	if t.servers[s.Name] != s {
		// The response is one of an incarnation that has ended.
		return
	}
	t.recordRun(s, object, count, percent, now)
}

// average is a moving average that begins with the plain average of its first samples.
type average struct {
	value float64
	count int
}

func (a *average) add(v float64) {
	a.count = min(a.count+1, int(4/gain))
	a.value += (v - a.value) / float64(a.count)
}
