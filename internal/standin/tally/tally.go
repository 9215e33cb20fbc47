// Package tally counts what becomes of the requests of a run, with their
// latencies.
package tally

import (
	"cmp"
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/outcome"
)

const (
	// maxLatency is the greatest latency told apart.
	maxLatency = 10 * time.Minute
	digits     = 3
)

type (
	// Counts are the outcomes of some requests.
	Counts struct {
		Sent int `json:"sent"`
		// Inside counts those for which the team's quota had room.
		Inside int `json:"inside"`
		OK     int `json:"ok"`
		// Served counts the requests that went well, for each team and
		// service up to those inside, and Denied the refusals beyond those
		// that the quota asks for. They compare numbers, as a team above
		// its quota may be served other requests than those inside.
		Served int `json:"served"`
		Denied int `json:"denied"`
		// Refused and Failed are by reason.
		Refused   map[string]int `json:"refused"`
		Failed    map[string]int `json:"failed"`
		Wrong     int            `json:"wrong"`
		Broken    int            `json:"broken"`
		Late      int            `json:"late"`
		Unreached int            `json:"unreached"`
		Redials   int            `json:"redials"`
		// Latency is of the requests that went well, and Refusal of those
		// that were refused, both from the intended time of sending.
		Latency Latency `json:"latency"`
		Refusal Latency `json:"refusal"`
	}

	// Latency is the distribution of latencies.
	Latency struct {
		P50  time.Duration `json:"p50"`
		P99  time.Duration `json:"p99"`
		P999 time.Duration `json:"p999"`
		Max  time.Duration `json:"max"`
	}

	// Row is the counts of one team at one service, or of all together
	// where a name is empty.
	Row struct {
		Team    sassafrastray.TeamName    `json:"team,omitempty"`
		Service sassafrastray.ServiceName `json:"service,omitempty"`
		Kind    string                    `json:"kind,omitempty"`
		Counts
	}

	// Book collects outcomes. Callers lock it.
	Book struct {
		accounts map[account]*sums
		step     time.Duration
		series   map[sassafrastray.TeamName][]*moment
		details  map[string]int
	}

	account struct {
		team    sassafrastray.TeamName
		service sassafrastray.ServiceName
		kind    string
	}

	sums struct {
		Counts
		ok, refused *hdrhistogram.Histogram
	}
)

// numbers are left out of explanations, so that those that differ only by an
// address count together.
var numbers = regexp.MustCompile(`[0-9]+`)

// New returns an empty book for a run of the given length.
func New(length time.Duration) *Book {
	return &Book{
		accounts: map[account]*sums{},
		step:     max(time.Second, (length / maxSteps).Round(time.Second)),
		series:   map[sassafrastray.TeamName][]*moment{},
		details:  map[string]int{},
	}
}

// Add counts the outcome of a request that ended the given time after its
// intended time of sending.
func (b *Book) Add(a arrival.Arrival, o outcome.Outcome, latency time.Duration) {
	team, service := a.Names()
	for _, k := range []account{
		{team, service, ""},
		{team, "", ""},
		{"", service, ""},
		{"", service, a.Kind.Name},
		{"", "", ""},
	} {
		s := b.accounts[k]
		if s == nil {
			s = newSums()
			b.accounts[k] = s
		}
		s.add(a, o, latency)
	}
	b.at(team, a.At).add(o, latency)
	if o.Class != outcome.OK && o.Class != outcome.Refused {
		b.details[string(o.Class)+": "+numbers.ReplaceAllString(o.Detail, "#")]++
	}
}

// Details counts what went wrong by class and explanation, without the numbers
// in it. Refusals are not among it.
func (b *Book) Details() map[string]int { return b.details }

// Rows returns one row for each team and service, sorted.
func (b *Book) Rows() []Row {
	return b.rows(func(k account) bool { return k.team != "" && k.service != "" })
}

// Teams returns one row for each team.
func (b *Book) Teams() []Row {
	return b.rows(func(k account) bool { return k.team != "" && k.service == "" })
}

// Services returns one row for each service.
func (b *Book) Services() []Row {
	return b.rows(func(k account) bool { return k.team == "" && k.service != "" && k.kind == "" })
}

// Kinds returns one row for each kind of request.
func (b *Book) Kinds() []Row {
	return b.rows(func(k account) bool { return k.kind != "" })
}

// Total returns the sum of all.
func (b *Book) Total() Row {
	if s := b.accounts[account{}]; s != nil {
		return Row{Counts: b.counts(account{}, s)}
	}
	return Row{}
}

func (b *Book) rows(want func(account) bool) []Row {
	var rows []Row
	for k, s := range b.accounts {
		if want(k) {
			rows = append(rows, Row{k.team, k.service, k.kind, b.counts(k, s)})
		}
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Kind, y.Kind))
	})
	return rows
}

func newSums() *sums {
	s := &sums{ok: histogram(digits), refused: histogram(digits)}
	s.Refused, s.Failed = map[string]int{}, map[string]int{}
	return s
}

func (s *sums) add(a arrival.Arrival, o outcome.Outcome, latency time.Duration) {
	s.Sent++
	s.Redials += o.Redials
	if a.InQuota {
		s.Inside++
	}
	switch o.Class {
	case outcome.OK:
		s.OK++
		record(s.ok, latency)
	case outcome.Refused:
		s.Refused[o.Label()]++
		record(s.refused, latency)
	case outcome.Failed:
		s.Failed[o.Label()]++
	case outcome.Wrong:
		s.Wrong++
	case outcome.Broken:
		s.Broken++
	case outcome.Late:
		s.Late++
	case outcome.Unreached:
		s.Unreached++
	default:
		panic("tally: unknown class " + string(o.Class))
	}
}

// counts completes the sums of an account. What is served and denied is summed
// over the teams and services that belong to it, so that no surplus of one
// hides a want of another.
func (b *Book) counts(k account, s *sums) Counts {
	c := s.Counts
	c.Latency, c.Refusal = latency(s.ok), latency(s.refused)
	if k.kind != "" {
		c.Served, c.Denied = s.quota()
		return c
	}
	for part, sums := range b.accounts {
		if part.team == "" || part.service == "" || (k.team != "" && k.team != part.team) ||
			(k.service != "" && k.service != part.service) {
			continue
		}
		served, denied := sums.quota()
		c.Served += served
		c.Denied += denied
	}
	return c
}

// quota returns how many requests were served of those inside the quota, and
// how many refusals were more than the quota asks for.
func (s *sums) quota() (served, denied int) {
	refused := 0
	for _, n := range s.Refused {
		refused += n
	}
	return min(s.OK, s.Inside), max(0, refused-(s.Sent-s.Inside))
}

// Share returns how many requests went well of those that the quota had room
// for.
func (c Counts) Share() float64 {
	if c.Inside == 0 {
		return 1
	}
	return float64(c.Served) / float64(c.Inside)
}

func histogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d, time.Microsecond), maxLatency).Microseconds()
	if err := h.RecordValue(us); err != nil {
		panic("tally: " + err.Error())
	}
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{at(50), at(99), at(99.9), time.Duration(h.Max()) * time.Microsecond}
}
