package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// reportFresh is the age up to which a server's report of its load
	// counts in full. Its weight then falls to zero at reportExpiry.
	reportFresh  = time.Second
	reportExpiry = 4 * time.Second

	// maxKnownObjects limits the number of objects that a server is assumed
	// to know.
	maxKnownObjects = 48

	// gain is the weight of a new sample in a moving average.
	gain = 0.2

	// failureHalfLife and slownessHalfLife are the half-lives of a server's
	// failure rate and slowness. The decay ensures that it is tried again.
	failureHalfLife  = 3 * time.Second
	slownessHalfLife = 4 * time.Second

	// failurePenalty is the time added to the expected time of a server with
	// a failure rate of 1.
	failurePenalty = 2 * time.Second

	// minBlock is how long a server gets no requests after it refused a
	// connection, or after timeoutsToBlock timeouts. The time doubles, up to
	// maxBlock, for each further refusal or timeout until the server answers.
	minBlock = 400 * time.Millisecond
	maxBlock = 4 * time.Second

	// timeoutsToBlock is the number of consecutive timeouts that block a
	// server.
	timeoutsToBlock = 2

	// wrongServerBlock is how long a server is blocked after another one
	// answered at its address.
	wrongServerBlock = 10 * time.Second

	// maxSlowness limits the slowness factor of a server.
	maxSlowness = 12.0

	// shedQueue is the number of queued requests per slot assumed at a
	// server that sheds.
	shedQueue = 3
)

// Ways in which a request ends at its backend server.
const (
	OK        End = "ok"        // it answered
	Failed    End = "failed"    // it failed, or its answer was incomplete
	Timeout   End = "timeout"   // it did not answer in time
	Refused   End = "refused"   // no connection could be opened
	Shed      End = "shed"      // it answered that it did not run the request
	Wrong     End = "wrong"     // another server has its address
	Cancelled End = "cancelled" // the caller left, or nothing was sent
)

type (
	// End says how a request ended at a backend server.
	End string

	// server is one incarnation of a backend server; a restart makes a new
	// one.
	server struct {
		sassafrastray.BackendServer
		service   *service
		region    sassafrastray.RegionName
		hash      uint64
		evacuated bool
		coldUntil time.Time
		nextCold  time.Time

		inflight int
		// othersLoad is the number of other VMs' requests at the server at
		// the time reportedAt.
		othersLoad int
		reportedAt time.Time

		// limit is the rate that the server says it takes, or nil.
		limit *limit
		// answeredAt is when an answer to this VM last named a limit or ended it.
		answeredAt time.Time

		// saysLeaving means that an answer of the server said that it leaves, and
		// pausedUntil is the end of the pause that its answers named.
		saysLeaving bool
		pausedUntil time.Time

		// failureRate is the moving average of failures, and slowness the
		// moving average of the ratio of measured to expected time.
		// Both have decayed up to decayedAt.
		failureRate float64
		slowness    float64
		decayedAt   time.Time

		// timeouts is the number of timeouts since the last answer, and
		// block the length of the latest block after a refusal or timeouts,
		// zero if the server has answered since.
		timeouts     int
		block        time.Duration
		blockedUntil time.Time
		// trial is set while the single request that follows a block is
		// running.
		trial bool

		// known maps the objects that the server handled for this VM to
		// the time when it last did.
		known map[uint64]time.Time

		// The fields below are used where the VMs of the region share their reports of
		// runs. since is when this incarnation replaced another one, started are the
		// starts of this VM's requests in progress, and objects maps the low 32 bits of
		// objects to the time when the server last handled them for any VM.
		since   time.Time
		started []time.Time
		// learning are the objects of this VM's requests in progress that the server is
		// not known to hold.
		learning []uint32
		observed observed
		objects  map[uint32]time.Time
		// borrowsObjects means that objects is the map of the server that this one is a
		// copy of, and is copied before it is written.
		borrowsObjects bool
	}
)

func newServer(b *sassafrastray.BackendServer, svc *service, region sassafrastray.RegionName, evacuated bool) *server {
	return &server{
		BackendServer: *b, service: svc, region: region, evacuated: evacuated,
		hash: xxhash.Sum64String(string(b.Name)), slowness: 1, known: make(map[uint64]time.Time),
		objects: make(map[uint32]time.Time),
	}
}

// load estimates the number of requests at the server, those of other VMs
// included. Before the server's first report, each of the peers is assumed to
// have as many requests there as this VM.
func (s *server) load(peers int, now time.Time) float64 {
	n := float64(s.inflight)
	switch age := now.Sub(s.reportedAt); {
	case s.reportedAt.IsZero():
		n *= float64(1 + peers)
	case age >= reportExpiry:
	case age <= reportFresh:
		n += float64(s.othersLoad)
	default:
		n += float64(s.othersLoad) * float64(reportExpiry-age) / float64(reportExpiry-reportFresh)
	}
	return n
}

// age returns the age of the server's load report, or -1 if there is none.
func (s *server) age(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// decay reduces the failure rate and the slowness by the time that has passed.
func (s *server) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
		return
	}
	d := now.Sub(s.decayedAt)
	if d <= 0 {
		return
	}
	s.decayedAt = now
	s.failureRate *= decayFactor(d, failureHalfLife)
	s.slowness = 1 + (s.slowness-1)*decayFactor(d, slownessHalfLife)
}

func decayFactor(d, half time.Duration) float64 { return math.Exp2(-float64(d) / float64(half)) }

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time) bool {
	if s.leaves() || s.evacuated {
		return false
	}
	if now.Before(s.blockedUntil) || s.trial || s.isLimited(now) || s.isPaused(now) {
		return false
	}
	return !s.isCold(now) || !now.Before(s.nextCold)
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// knows reports whether the server handled the object for this VM recently.
func (s *server) knows(object uint64) bool {
	_, ok := s.known[object]
	return ok
}

// learn records that the server handled the object, and drops the oldest object
// if there are too many.
func (s *server) learn(object uint64, now time.Time) {
	s.known[object] = now
	if len(s.known) <= maxKnownObjects {
		return
	}
	var oldest uint64
	oldestAt := now
	for o, at := range s.known {
		if !at.After(oldestAt) {
			oldest, oldestAt = o, at
		}
	}
	delete(s.known, oldest)
}

// end records how a request ended. took and expected are its measured and its
// expected processing time.
func (s *server) end(e End, took, expected time.Duration, now time.Time) {
	s.decay(now)
	s.trial = false
	switch e {
	case OK:
		s.failureRate *= 1 - gain
		s.timeouts, s.block = 0, 0
		if expected > 0 {
			ratio := min(maxSlowness, max(0.5, float64(took)/float64(expected)))
			s.slowness += gain * (ratio - s.slowness)
		}
	case Failed:
		s.failureRate += gain * (1 - s.failureRate)
	case Timeout:
		s.failureRate += gain * (1 - s.failureRate)
		s.slowness = min(maxSlowness, s.slowness+1)
		if s.timeouts++; s.timeouts >= timeoutsToBlock {
			s.blockFrom(now)
		}
	case Refused:
		s.failureRate += gain * (1 - s.failureRate)
		s.blockFrom(now)
	case Wrong:
		s.blockedUntil = now.Add(wrongServerBlock)
	case Shed:
		s.othersLoad, s.reportedAt = max(s.othersLoad, s.Slots*(1+shedQueue)-s.inflight), now
	}
}

// forgetFailures makes the server usable as if no request had failed there.
func (s *server) forgetFailures(now time.Time) {
	s.decay(now)
	s.failureRate, s.slowness, s.timeouts = 0, 1, 0
	if s.block > 0 && !s.isPaused(now) {
		s.block, s.blockedUntil, s.trial = 0, time.Time{}, false
	}
}

func (s *server) blockFrom(now time.Time) {
	s.block = min(maxBlock, max(minBlock, 2*s.block))
	s.blockedUntil = now.Add(s.block)
}

// probation reports whether the server was blocked and has not answered since.
func (s *server) probation() bool { return s.block > 0 }
