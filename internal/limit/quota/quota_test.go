package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

// fourDomains returns two regions with two failure domains of one place each.
func fourDomains() []sassafrastray.FailureDomain {
	return []sassafrastray.FailureDomain{
		{Name: "a", Region: "north", Places: 1},
		{Name: "b", Region: "north", Places: 1},
		{Name: "c", Region: "south", Places: 1},
		{Name: "d", Region: "south", Places: 1},
	}
}

// TestSharesSumToTheLimit checks that the units of all places sum to those of
// the limit.
func TestSharesSumToTheLimit(t *testing.T) {
	domains := fourDomains()
	for burst := range 30 {
		sum := int64(0)
		for _, d := range domains {
			units, _ := unitsOf(Limit{Key: "s/t", Burst: float64(burst)}, sassafrastray.Place{Domain: d.Name}, domains)
			sum += units
		}
		if sum != int64(burst) {
			t.Errorf("burst %d: shares sum to %d", burst, sum)
		}
	}
}

// TestTakeWithinBaseShare checks the admissions of a single VM that owns the
// whole limit.
func TestTakeWithinBaseShare(t *testing.T) {
	now := time.Unix(1000, 0)
	lim := New("a1", 1, rand.New(rand.NewPCG(1, 2)), DefaultOptions())
	lim.Configure([]Limit{{Key: "s/t", Rate: 5, Burst: 5}}, fourDomains()[:1], now)
	lim.SetPlace(&sassafrastray.Place{Domain: "a"}, now)
	admitted := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		lim.Tick(now)
		if lim.Take("s/t", 1, now).OK {
			admitted++
		}
	}
	if admitted < 45 || admitted > 50 {
		t.Errorf("admitted %d of 50 in ten seconds after settling", admitted)
	}
	if v := lim.Take("s/x", 1, now); v.Known {
		t.Errorf("unknown key: %+v", v)
	}
}

// lenderAndBorrower returns two Limiters whose places own a limit of four
// units, after their shares have settled.
func lenderAndBorrower(now time.Time) (lender, borrower *Limiter) {
	domains := fourDomains()[:2]
	for _, d := range domains {
		opt := DefaultOptions()
		opt.Domain = d.Name
		lim := New(sassafrastray.VMName(d.Name)+"1", 1, rand.New(rand.NewPCG(1, 2)), opt)
		lim.Configure([]Limit{{Key: "s/t", Rate: 4, Burst: 4}}, domains, now.Add(-time.Minute))
		lim.SetPlace(&sassafrastray.Place{Domain: d.Name}, now.Add(-time.Minute))
		lim.Tick(now)
		lender, borrower = borrower, lim
	}
	return lender, borrower
}

// TestGrantForAnEarlierIncarnation checks that a process does not use a loan
// that an earlier process of its VM requested, even though the IDs are equal.
func TestGrantForAnEarlierIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, old := lenderAndBorrower(now)
	request := Message{From: old.self, FromInc: 1, To: lender.self, ToInc: 1, LoanRequests: []LoanRequest{{ID: 1, Key: "s/t", Units: 1}}}
	late := lender.Receive(request, now)
	if len(late) != 1 || late[0].Grants[0].Units != 1 {
		t.Fatalf("no grant: %+v", late)
	}
	lim := New(old.self, 2, rand.New(rand.NewPCG(1, 2)), old.opt)
	lim.Configure([]Limit{{Key: "s/t", Rate: 4, Burst: 4}}, old.domains, now)
	e := lim.entries["s/t"]
	lim.send(e, &knownPeer{Peer: Peer{Name: lender.self, Inc: 1}}, LoanRequest{Units: 1}, now.Add(2*time.Second))
	lim.Receive(late[0], now.Add(2*time.Second))
	if len(e.loans) != 0 {
		t.Errorf("the loan of the earlier process is in use: %+v", e.loans)
	}
}

// TestLoanRateWithinRemainingRate guards against a lender that, after its share has
// grown, lends units with a rate that earlier loans already have.
func TestLoanRateWithinRemainingRate(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, old := lenderAndBorrower(now)
	for id := range uint64(2) {
		if id == 1 {
			lender.Configure([]Limit{{Key: "s/t", Rate: 4, Burst: 6}}, lender.domains, now)
		}
		request := LoanRequest{ID: id + 1, Key: "s/t", Units: 2 - int64(id)}
		lender.Receive(Message{From: old.self, FromInc: 1, To: lender.self, ToInc: 1, LoanRequests: []LoanRequest{request}}, now)
	}
	e := lender.entries["s/t"]
	if _, rate := e.lentOut(); rate+e.rate > e.baseRate()+1e-9 {
		t.Errorf("lent %v and kept %v of %v", rate, e.rate, e.baseRate())
	}
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	lim, _ := lenderAndBorrower(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		lim.lastTick = now
		lim.Take("s/t", 1, now)
	}
}
