package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// keepReport is the age up to which a server's own report of its load is
	// taken as it is; fadeReport is the age at which it counts no more.
	keepReport = time.Second
	fadeReport = 4 * time.Second

	// knownObjects bounds the objects that a server is taken to know.
	knownObjects = 48

	// gain is the weight of a new sample in a moving average.
	gain = 0.2

	// forgetFailures and forgetSlowness are the times after which half of
	// what counts against a server is forgotten, so that it is tried again.
	forgetFailures = 3 * time.Second
	forgetSlowness = 4 * time.Second

	// failurePenalty is the time that a server which fails always appears to
	// need on top of its work.
	failurePenalty = 2 * time.Second

	// firstBlock is how long a server that refuses connections is left out;
	// it doubles up to lastBlock while it goes on.
	firstBlock = 400 * time.Millisecond
	lastBlock  = 4 * time.Second

	// strikes is how many timeouts in a row leave a server out.
	strikes = 2

	// wrongBlock is how long a server is left out after another one answered
	// at its address.
	wrongBlock = 10 * time.Second

	// most is the greatest factor by which a server is taken to be slow.
	most = 12.0

	// shedQueue is how many requests per slot wait at a server that sheds.
	shedQueue = 3
)

// Ends of a request at its backend server.
const (
	OK        End = "ok"        // it answered
	Failed    End = "failed"    // it failed, or its answer was not whole
	Timeout   End = "timeout"   // it did not answer in time
	Refused   End = "refused"   // no connection could be opened
	Shed      End = "shed"      // it answered that it did not run the request
	Wrong     End = "wrong"     // another server has its address
	Cancelled End = "cancelled" // the caller left, or nothing was sent
)

type (
	// End tells how a request ended at a backend server.
	End string

	// server is one run of a backend server.
	server struct {
		sassafrastray.BackendServer
		service   *service
		region    sassafrastray.RegionName
		hash      uint64
		evacuated bool
		coldUntil time.Time
		nextCold  time.Time

		inflight int
		// others is how many requests of other VMs the server had at
		// reported.
		others   int
		reported time.Time

		// failing is the moving average of failures, slow that of the ratio
		// of measured to expected time, as of marked.
		failing float64
		slow    float64
		marked  time.Time

		timeouts     int
		block        time.Duration
		blockedUntil time.Time
		// trial is set while the one request after a block is under way.
		trial bool

		// known has the objects that the server handled for this VM, and
		// when.
		known map[uint64]time.Time
	}
)

func newServer(b *sassafrastray.BackendServer, svc *service, region sassafrastray.RegionName, evacuated bool) *server {
	return &server{
		BackendServer: *b, service: svc, region: region, evacuated: evacuated,
		hash: xxhash.Sum64String(string(b.Name)), slow: 1, known: make(map[uint64]time.Time),
	}
}

// load estimates the requests at the server, those of other VMs included. Before
// its first report, each of the mates is taken to have sent it as many as this VM.
func (s *server) load(mates int, now time.Time) float64 {
	n := float64(s.inflight)
	switch age := now.Sub(s.reported); {
	case s.reported.IsZero():
		n *= float64(1 + mates)
	case age >= fadeReport:
	case age <= keepReport:
		n += float64(s.others)
	default:
		n += float64(s.others) * float64(fadeReport-age) / float64(fadeReport-keepReport)
	}
	return n
}

// age returns the age of the server's own report of its load, or -1 if there
// was none.
func (s *server) age(now time.Time) time.Duration {
	if s.reported.IsZero() {
		return -1
	}
	return now.Sub(s.reported)
}

// fade lets what counts against the server be forgotten.
func (s *server) fade(now time.Time) {
	if s.marked.IsZero() {
		s.marked = now
		return
	}
	d := now.Sub(s.marked)
	if d <= 0 {
		return
	}
	s.marked = now
	s.failing *= half(d, forgetFailures)
	s.slow = 1 + (s.slow-1)*half(d, forgetSlowness)
}

func half(d, life time.Duration) float64 { return math.Exp2(-float64(d) / float64(life)) }

// usable tells whether the server may get a request at all.
func (s *server) usable(now time.Time) bool {
	if s.Leaving || s.evacuated {
		return false
	}
	if now.Before(s.blockedUntil) || s.trial {
		return false
	}
	return !s.isCold(now) || !now.Before(s.nextCold)
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// knows tells whether the server handled the object for this VM.
func (s *server) knows(object uint64) bool {
	_, ok := s.known[object]
	return ok
}

// learn notes that the server handled the object.
func (s *server) learn(object uint64, now time.Time) {
	s.known[object] = now
	if len(s.known) <= knownObjects {
		return
	}
	var oldest uint64
	first := now
	for o, at := range s.known {
		if !at.After(first) {
			oldest, first = o, at
		}
	}
	delete(s.known, oldest)
}

// end takes in how a request ended. Expected is the time that it should have
// taken.
func (s *server) end(e End, took, expected time.Duration, now time.Time) {
	s.fade(now)
	s.trial = false
	switch e {
	case OK:
		s.failing *= 1 - gain
		s.timeouts, s.block = 0, 0
		if expected > 0 {
			ratio := min(most, max(0.5, float64(took)/float64(expected)))
			s.slow += gain * (ratio - s.slow)
		}
	case Failed:
		s.failing += gain * (1 - s.failing)
	case Timeout:
		s.failing += gain * (1 - s.failing)
		s.slow = min(most, s.slow+1)
		if s.timeouts++; s.timeouts >= strikes {
			s.leaveOut(now)
		}
	case Refused:
		s.failing += gain * (1 - s.failing)
		s.leaveOut(now)
	case Wrong:
		s.blockedUntil = now.Add(wrongBlock)
	case Shed:
		s.others, s.reported = max(s.others, s.Slots*(1+shedQueue)-s.inflight), now
	}
}

func (s *server) leaveOut(now time.Time) {
	s.block = min(lastBlock, max(firstBlock, 2*s.block))
	s.blockedUntil = now.Add(s.block)
}

// probation tells whether the next request is the one after a block.
func (s *server) probation() bool { return s.block > 0 }
