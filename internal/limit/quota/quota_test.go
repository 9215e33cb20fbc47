package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

func fourDomains() []sassafrastray.FailureDomain {
	return []sassafrastray.FailureDomain{
		{Name: "a", Region: "north", Places: 1},
		{Name: "b", Region: "north", Places: 1},
		{Name: "c", Region: "south", Places: 1},
		{Name: "d", Region: "south", Places: 1},
	}
}

// TestSharesSumToTheLimit checks that the places' units are the limit's.
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

// TestTakeWithinBaseShare checks a single VM that owns the whole limit.
func TestTakeWithinBaseShare(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New("a1", 1, rand.New(rand.NewPCG(1, 2)), DefaultOptions())
	b.Configure([]Limit{{Key: "s/t", Rate: 5, Burst: 5}}, fourDomains()[:1], now)
	b.Hold(&sassafrastray.Place{Domain: "a"}, now)
	admitted := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		b.Tick(now)
		if b.Take("s/t", 1, now).OK {
			admitted++
		}
	}
	if admitted < 45 || admitted > 50 {
		t.Errorf("admitted %d of 50 in ten seconds after settling", admitted)
	}
	if v := b.Take("s/x", 1, now); v.Known {
		t.Errorf("unknown key: %+v", v)
	}
}

// pairOfBooks returns two Books whose places own a limit of four units, past
// the time in which shares settle.
func pairOfBooks(now time.Time) (lender, borrower *Book) {
	domains := fourDomains()[:2]
	for _, d := range domains {
		opt := DefaultOptions()
		opt.Domain = d.Name
		b := New(sassafrastray.VMName(d.Name)+"1", 1, rand.New(rand.NewPCG(1, 2)), opt)
		b.Configure([]Limit{{Key: "s/t", Rate: 4, Burst: 4}}, domains, now.Add(-time.Minute))
		b.Hold(&sassafrastray.Place{Domain: d.Name}, now.Add(-time.Minute))
		b.Tick(now)
		lender, borrower = borrower, b
	}
	return lender, borrower
}

// TestGrantForAnEarlierIncarnation checks that a process does not use a loan
// for which an earlier process of its VM asked, although the numbers agree.
func TestGrantForAnEarlierIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, old := pairOfBooks(now)
	ask := Message{From: old.self, FromInc: 1, To: lender.self, ToInc: 1, Asks: []Ask{{ID: 1, Key: "s/t", Units: 1}}}
	late := lender.Receive(ask, now)
	if len(late) != 1 || late[0].Grants[0].Units != 1 {
		t.Fatalf("no grant: %+v", late)
	}
	b := New(old.self, 2, rand.New(rand.NewPCG(1, 2)), old.opt)
	b.Configure([]Limit{{Key: "s/t", Rate: 4, Burst: 4}}, old.domains, now)
	e := b.entries["s/t"]
	b.send(e, &neighbour{Peer: Peer{Name: lender.self, Inc: 1}}, Ask{Units: 1}, now.Add(2*time.Second))
	b.Receive(late[0], now.Add(2*time.Second))
	if len(e.loans) != 0 {
		t.Errorf("the loan of the earlier process is in use: %+v", e.loans)
	}
}

// TestLoanRateWithinWhatIsLeft is a failure that the stateful test found: a
// share that grew lent units at a rate that earlier loans had taken.
func TestLoanRateWithinWhatIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, old := pairOfBooks(now)
	for id := range uint64(2) {
		if id == 1 {
			lender.Configure([]Limit{{Key: "s/t", Rate: 4, Burst: 6}}, lender.domains, now)
		}
		ask := Ask{ID: id + 1, Key: "s/t", Units: 2 - int64(id)}
		lender.Receive(Message{From: old.self, FromInc: 1, To: lender.self, ToInc: 1, Asks: []Ask{ask}}, now)
	}
	e := lender.entries["s/t"]
	if _, rate := e.lentOut(); rate+e.rate > e.baseRate()+1e-9 {
		t.Errorf("lent %v and kept %v of %v", rate, e.rate, e.baseRate())
	}
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	book, _ := pairOfBooks(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		book.lastTick = now
		book.Take("s/t", 1, now)
	}
}
